package org.dragonflymux.core.balance;

import org.dragonflymux.core.name.FailureDomain;
import org.dragonflymux.core.name.ServiceName;
import org.dragonflymux.core.name.TargetId;

/**
 * What a target says of itself in the store.
 *
 * @param id the target
 * @param service the service it belongs to
 * @param address its address, an IP number with a port
 * @param domain its failure domain
 * @param slots how many requests it runs at once
 * @param draining whether it is about to leave
 * @param coldMillis how much longer it stays cold
 * @param incarnation the time of its start; a later one under the same name is another life
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
