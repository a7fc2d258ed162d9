package org.dragonflymux.core.message;

/** Why the result of a request is unknown. */
public enum UnknownReason {
    /** The target failed or its connection broke after the request was sent. */
    TARGET_LOST(502),
    /** The dispatcher failed or became unreachable after the request was forwarded to it. */
    DISPATCHER_LOST(502),
    /** The deadline passed while the request may have been running. */
    DEADLINE_PASSED(504),
    /** An earlier request with the same idempotency key is still running. */
    STILL_RUNNING(409),
    /** The idempotency key predates the records of the current dispatcher. */
    NOT_REMEMBERED(409),
    /** The response was truncated, or larger than the service allows. */
    ANSWER_INCOMPLETE(502);

    private final int status;

    UnknownReason(int status) {
        this.status = status;
    }

    /** Returns the HTTP status code of the response to the caller. */
    public int status() {
        return status;
    }
}
