package org.dragonflymux.core.dispatch;

import java.time.Instant;
import org.dragonflymux.core.message.ServiceRequest;

/**
 * A request that waits for, or runs on, a lane's target.
 *
 * @param id the number that the dispatcher gave to the request
 * @param request the request
 * @param keyHash the hash of its key
 * @param weight the customer's weight in the queue
 * @param repeatable whether it may run more than once
 * @param fingerprint a hash of the method, path, key and body, which identifies a request that repeatedly crashes
 *     targets
 * @param suspect whether an equal request was running when a target crashed, so that this one must run alone
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
