package org.dragonflymux.gateway.store;

/** Why a call to the store did nothing, or may have done nothing. */
public enum StoreError {
    /** The condition of a write doesn't hold. */
    CONFLICT,
    /** The lease has ended. */
    LEASE_ENDED,
    /** The history that was asked for is gone. */
    COMPACTED,
    /** The store refused the call. */
    REFUSED,
    /** No answer came; the call may have been carried out or still be. */
    UNKNOWN,
    /** The answer couldn't be read. */
    MALFORMED
}
