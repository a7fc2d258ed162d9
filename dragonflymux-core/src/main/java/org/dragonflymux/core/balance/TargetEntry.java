package org.dragonflymux.core.balance;

import org.dragonflymux.core.name.FailureDomain;
import org.dragonflymux.core.name.ServiceName;
import org.dragonflymux.core.name.TargetId;

/**
 * A target's registration in the store, written by the target itself.
 *
 * @param id the target
 * @param service the service it belongs to
 * @param address its IP address and port
 * @param domain its failure domain
 * @param slots maximum number of requests that it runs at once
 * @param draining whether it is shutting down and gets no new requests
 * @param coldMillis how much longer it stays cold
 * @param incarnation its start time; a restart under the same name is a new incarnation
 */
public record TargetEntry(
        TargetId id,
        ServiceName service,
        String address,
        FailureDomain domain,
        int slots,
        boolean draining,
        long coldMillis,
        long incarnation) {}
