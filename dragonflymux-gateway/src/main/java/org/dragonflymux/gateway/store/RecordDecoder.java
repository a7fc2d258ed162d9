package org.dragonflymux.gateway.store;

import io.vavr.control.Either;

/** Reads what others keep in the store. */
public interface RecordDecoder {

    /** Why a value isn't understood. */
    enum DecodeError {
        /** It isn't in the agreed format, or fields are missing. */
        MALFORMED,
        /** Its key isn't one of those that are known. */
        UNKNOWN_KEY
    }

    /** Returns the prefix of all keys that matter, the system's own ones included. */
    String prefix();

    /** Returns what a value means. */
    Either<DecodeError, StoreRecord> decode(String key, byte[] value);
}
