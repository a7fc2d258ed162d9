package org.dragonflymux.gateway;

import java.util.List;

/**
 * The header names that callers and targets use.
 *
 * @param requestId the caller's name for a request; a target's answer repeats it
 * @param waitMillis how many milliseconds the sender waits for the answer
 * @param credential the caller's credential
 * @param customer the customer's name, towards targets
 * @param expectedTarget the target that may run the request
 * @param targetName the target that answers a health check or a misdirected request
 * @param shardKey the key a request is for
 * @param seal present on whole answers of a target that ran the request
 * @param notRun present where a target says that it has not run the request
 * @param load a target's load
 * @param coldMillis how much longer a target stays cold
 * @param handover what a target hands over with its keys
 */
public record WireNames(
        String requestId,
        String waitMillis,
        String credential,
        String customer,
        String expectedTarget,
        String targetName,
        String shardKey,
        String seal,
        String notRun,
        String load,
        String coldMillis,
        String handover) {

    /** Returns the headers that only the system itself sets towards targets. */
    public List<String> ownTowardsTargets() {
        return List.of(waitMillis, credential, customer, expectedTarget);
    }

    /** Returns the headers of targets that callers don't get. */
    public List<String> hiddenFromCallers() {
        return List.of(load, notRun, coldMillis, targetName, handover);
    }
}
