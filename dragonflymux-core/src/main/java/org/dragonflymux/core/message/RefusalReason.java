package org.dragonflymux.core.message;

/** Why a request was refused without having run. */
public enum RefusalReason {
    /** The credential is missing or not valid. */
    UNAUTHENTICATED(401, false),
    /** The host's copy of the credentials is older than the service allows, so it may lack revocations. */
    CREDENTIALS_UNCONFIRMED(503, false),
    /** No service with this name exists. */
    UNKNOWN_SERVICE(404, false),
    /** The path contains no key, or the key is malformed. */
    MALFORMED_KEY(400, false),
    /** The method is not repeatable, and the request has no idempotency key. */
    IDEMPOTENCY_KEY_MISSING(400, false),
    /** The idempotency key is not a version 7 UUID. */
    IDEMPOTENCY_KEY_MALFORMED(400, false),
    /** The idempotency key's timestamp lies in the future because the caller's clock is wrong. */
    IDEMPOTENCY_KEY_AHEAD(400, false),
    /** The customer exceeded its rate limit. */
    RATE_EXCEEDED(429, false),
    /** The host that holds the customer's token bucket did not respond. */
    RATE_UNCONFIRMED(503, false),
    /** No target currently owns the key. */
    NO_OWNER(503, true),
    /** The host that received the request is not the dispatcher of the key's owner. */
    NOT_DISPATCHER(503, true),
    /** The key is being moved to another target. */
    KEY_MOVING(503, true),
    /** The dispatcher or the target could not be reached. */
    UNREACHABLE(503, true),
    /** The target shed the request because of its load. */
    TARGET_SHED(503, true),
    /** The target's queue is full. */
    QUEUE_FULL(503, false),
    /** The request cannot run before its deadline. */
    DEADLINE_TOO_SHORT(504, false),
    /** The request is quarantined because it crashed targets. */
    QUARANTINED(422, false),
    /** The registry of idempotency keys is full. */
    MEMORY_FULL(503, false),
    /** The host is shutting down. */
    SHUTTING_DOWN(503, false);

    private final int status;
    private final boolean retryable;

    RefusalReason(int status, boolean retryable) {
        this.status = status;
        this.retryable = retryable;
    }

    /** Returns the HTTP status code of the response to the caller. */
    public int status() {
        return status;
    }

    /** Returns whether the entry host retries the request itself until its deadline instead of refusing it at once. */
    public boolean retryable() {
        return retryable;
    }
}
