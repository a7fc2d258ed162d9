package org.dragonflymux.core.message;

import java.time.Duration;
import java.util.List;

/** What a caller is told of its request. */
public sealed interface Outcome {

    /**
     * The request ran, and this is the target's whole answer.
     *
     * @param status the HTTP status
     * @param headers the answer's headers
     * @param body the whole body
     */
    record Answered(int status, List<Header> headers, byte[] body) implements Outcome {}

    /**
     * The request did not run on any target.
     *
     * @param reason why it was refused
     * @param retryAfter after what time a repeat may succeed, or zero when that is not known
     */
    record Refused(RefusalReason reason, Duration retryAfter) implements Outcome {

        /** Returns a refusal that names no time. */
        public static Refused of(RefusalReason reason) {
            return new Refused(reason, Duration.ZERO);
        }
    }

    /**
     * The request may have run.
     *
     * @param reason why it is not known
     */
    record Unknown(UnknownReason reason) implements Outcome {}

    /**
     * The request ran earlier under the same idempotency key, and its answer is no longer kept.
     *
     * @param status the HTTP status of the first answer
     */
    record AlreadyRan(int status) implements Outcome {}
}
