package org.dragonflymux.gateway.control;

import java.io.Serial;

/** Thrown if a record cannot be encoded, which no valid record causes. */
public final class UnwritableRecordException extends IllegalStateException {

    @Serial
    private static final long serialVersionUID = 1L;

    UnwritableRecordException(Throwable cause) {
        super("cannot encode record for the store", cause);
    }
}
