package org.dragonflymux.core.message;

import java.time.Duration;
import java.util.List;

/** The result of a request, as reported to its caller. */
public sealed interface Outcome {

    /**
     * The request ran, and the target's complete response was received.
     *
     * @param status the HTTP status code
     * @param headers the response headers
     * @param body the complete response body
     */
    record Answered(int status, List<Header> headers, byte[] body) implements Outcome {}

    /**
     * The request was refused and did not run on any target.
     *
     * @param reason the reason for the refusal
     * @param retryAfter how long to wait before a retry may succeed, or zero if unknown
     */
    record Refused(RefusalReason reason, Duration retryAfter) implements Outcome {

        /** Returns a refusal without a retry time. */
        public static Refused of(RefusalReason reason) {
            return new Refused(reason, Duration.ZERO);
        }
    }

    /**
     * The request may have run.
     *
     * @param reason why the result is unknown
     */
    record Unknown(UnknownReason reason) implements Outcome {}

    /**
     * The request already ran under the same idempotency key, and its response is no longer cached.
     *
     * @param status the HTTP status code of the original response
     */
    record AlreadyRan(int status) implements Outcome {}
}
