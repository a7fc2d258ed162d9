package org.dragonflymux.load.run;

/** What became of a request, as its caller sees it. */
public enum Result {
    /** The whole answer to the caller's own request came. */
    SUCCEEDED,
    /** Refused without having run, for the customer's rate. */
    REFUSED_RATE,
    /** Refused without having run, for another reason. */
    REFUSED,
    /** It may have run. */
    UNKNOWN,
    /** No HTTP answer came, or one that says nothing about the request. */
    ERROR,
    /** An answer came that must never come: another's, a second run's, or one that shows the credential. */
    WRONG
}
