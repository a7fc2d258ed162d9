package org.dragonflymux.gateway.store;

/** The reason why a call to the store failed or has an unknown result. */
public enum StoreError {
    /** A precondition of a write was not met. */
    CONFLICT,
    /** The lease has ended. */
    LEASE_ENDED,
    /** The requested history has been compacted and is no longer available. */
    COMPACTED,
    /** The store refused the call, or the call was not sent. */
    REFUSED,
    /** No answer arrived; the call may have been carried out or may still be. */
    UNKNOWN,
    /** The answer could not be decoded. */
    MALFORMED
}
