package org.dragonflymux.load.run;

/** The outcome of a request as observed by the client. */
public enum Result {
    /** The complete response to the request was received. */
    SUCCEEDED,
    /** Refused without having run because the customer's rate limit was exceeded. */
    REFUSED_RATE,
    /** Refused without having run for another reason. */
    REFUSED,
    /** The request may have run. */
    UNKNOWN,
    /** No HTTP response was received, or one that does not say whether the request ran. */
    ERROR,
    /**
     * A response that must never occur: one to another request or customer, one to a request that ran more than once,
     * or one that shows that the target received the credential.
     */
    WRONG
}
