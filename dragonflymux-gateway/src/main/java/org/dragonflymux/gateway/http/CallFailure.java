package org.dragonflymux.gateway.http;

/** Why a call has no answer. */
public enum CallFailure {
    /** It never left: there was no connection. */
    NOT_SENT,
    /** The connection ended before the whole answer was there. */
    BROKEN,
    /** What came back is no answer to the call. */
    MALFORMED,
    /** The answer took too long. */
    TIMED_OUT
}
