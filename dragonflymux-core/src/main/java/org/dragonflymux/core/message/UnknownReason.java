package org.dragonflymux.core.message;

/** Why it is not known whether a request ran. */
public enum UnknownReason {
    /** The target or its connection was lost after the request was sent. */
    TARGET_LOST(502),
    /** The dispatcher was lost after the request was sent to it. */
    DISPATCHER_LOST(502),
    /** The deadline passed while the request may have been running. */
    DEADLINE_PASSED(504),
    /** The same idempotency key is still running. */
    STILL_RUNNING(409),
    /** The idempotency key is older than what the key's present dispatcher remembers. */
    NOT_REMEMBERED(409),
    /** The answer was cut off, or larger than the service allows. */
    ANSWER_INCOMPLETE(502);

    private final int status;

    UnknownReason(int status) {
        this.status = status;
    }

    /** Returns the HTTP status of the answer to the caller. */
    public int status() {
        return status;
    }
}
