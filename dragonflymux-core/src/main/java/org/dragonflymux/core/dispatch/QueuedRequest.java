package org.dragonflymux.core.dispatch;

import java.time.Instant;
import org.dragonflymux.core.message.ServiceRequest;

/**
 * A request that waits for, or runs on, a lane's target.
 *
 * @param id the dispatcher's number of the request
 * @param request the request
 * @param keyHash the hash of its key
 * @param weight the customer's share
 * @param repeatable whether it may run more than once
 * @param fingerprint a hash of all that the target sees of the request
 * @param suspect whether it ran when a target crashed, so that it must run alone
 * @param deadline when the caller stops waiting
 */
public record QueuedRequest(
        long id,
        ServiceRequest request,
        long keyHash,
        int weight,
        boolean repeatable,
        long fingerprint,
        boolean suspect,
        Instant deadline) {}
