package org.dragonflymux.gateway.control;

import java.io.Serial;

/** Thrown where a record can't be written as JSON, which no record should cause. */
public final class UnwritableRecordException extends IllegalStateException {

    @Serial
    private static final long serialVersionUID = 1L;

    UnwritableRecordException(Throwable cause) {
        super("a record can't be written", cause);
    }
}
