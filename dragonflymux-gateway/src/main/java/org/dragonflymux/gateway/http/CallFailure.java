package org.dragonflymux.gateway.http;

/** The reason why a call received no response. */
public enum CallFailure {
    /** The request was not sent, for example because no connection could be established. */
    NOT_SENT,
    /** The connection was closed before the response was complete. */
    BROKEN,
    /** The data received is not a valid response to the request. */
    MALFORMED,
    /** The call's timeout expired before the response was complete. */
    TIMED_OUT
}
