package org.dragonflymux.core.message;

/** Why a request was refused without having run. */
public enum RefusalReason {
    /** No credential came, or it is not in force. */
    UNAUTHENTICATED(401, false),
    /** The host has had no news of withdrawn credentials for longer than the service allows. */
    CREDENTIALS_UNCONFIRMED(503, false),
    /** No service has this name. */
    UNKNOWN_SERVICE(404, false),
    /** The path names no key, or the key is not well formed. */
    MALFORMED_KEY(400, false),
    /** The method may not be repeated and came without an idempotency key. */
    IDEMPOTENCY_KEY_MISSING(400, false),
    /** The idempotency key is not a UUID of version 7. */
    IDEMPOTENCY_KEY_MALFORMED(400, false),
    /** The idempotency key's time lies in the future; the caller's clock is wrong. */
    IDEMPOTENCY_KEY_AHEAD(400, false),
    /** The customer is above its rate. */
    RATE_EXCEEDED(429, false),
    /** The host that keeps the customer's rate cannot be reached. */
    RATE_UNCONFIRMED(503, false),
    /** No target can own the key now. */
    NO_OWNER(503, true),
    /** The asked host does not dispatch to the key's owner. */
    NOT_DISPATCHER(503, true),
    /** The key is being moved. */
    KEY_MOVING(503, true),
    /** The dispatcher or the target could not be reached. */
    UNREACHABLE(503, true),
    /** The target refused under load. */
    TARGET_SHED(503, true),
    /** The target's queue is full. */
    QUEUE_FULL(503, false),
    /** The request would wait past its deadline. */
    DEADLINE_TOO_SHORT(504, false),
    /** The request is held back because it crashed targets. */
    QUARANTINED(422, false),
    /** The memory of requests that must not run twice is full. */
    MEMORY_FULL(503, false),
    /** The host is shutting down. */
    SHUTTING_DOWN(503, false);

    private final int status;
    private final boolean passing;

    RefusalReason(int status, boolean passing) {
        this.status = status;
        this.passing = passing;
    }

    /** Returns the HTTP status of the refusal. */
    public int status() {
        return status;
    }

    /** Tells whether the entry host itself tries again before it refuses the caller. */
    public boolean passing() {
        return passing;
    }
}
