package org.dragonflymux.gateway.store;

import io.vavr.control.Either;

/** Decodes the records that operators and targets keep in the store. */
public interface RecordDecoder {

    /** The reason why a value cannot be decoded. */
    enum DecodeError {
        /** The value is not in the agreed format, or fields are missing. */
        MALFORMED,
        /** The key does not denote a known kind of record. */
        UNKNOWN_KEY
    }

    /** Returns the common prefix of all relevant keys, including those of the gateway's own records. */
    String prefix();

    /** Decodes a value. */
    Either<DecodeError, StoreRecord> decode(String key, byte[] value);
}
