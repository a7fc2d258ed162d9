package org.dragonflymux.gateway;

import java.util.List;

/**
 * Names of the HTTP headers exchanged with callers and targets.
 *
 * @param requestId the request id assigned by the caller, repeated in the target's response
 * @param timeoutMillis how long the sender waits for the response, in milliseconds
 * @param credential the caller's credential
 * @param customer the customer's name, set on requests to targets
 * @param expectedTarget the target that may run the request
 * @param targetName the target that responds to a health check or to a misdirected request
 * @param shardKey the shard key of a request
 * @param seal present on complete responses of a target that ran the request
 * @param notRun present if the target states that it did not run the request
 * @param load a target's load
 * @param coldMillis how much longer a target stays cold
 * @param leaving present in all responses of a target that is shutting down
 * @param handover the token that a target hands over when it releases keys
 */
public record HeaderNames(
        String requestId,
        String timeoutMillis,
        String credential,
        String customer,
        String expectedTarget,
        String targetName,
        String shardKey,
        String seal,
        String notRun,
        String load,
        String coldMillis,
        String leaving,
        String handover) {

    /** Returns the headers that are not forwarded to targets, because only the gateway sets or reads them. */
    public List<String> notForwardedToTargets() {
        return List.of(timeoutMillis, credential, customer, expectedTarget);
    }

    /** Returns the headers of targets' responses that are not forwarded to callers. */
    public List<String> notForwardedToCallers() {
        return List.of(load, notRun, coldMillis, targetName, handover);
    }
}
