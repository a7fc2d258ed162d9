package org.dragonflymux.gateway.peer;

import java.io.Serial;

/** Thrown where a report can't be written, which no report should cause. */
public final class UnwritableReportException extends IllegalStateException {

    @Serial
    private static final long serialVersionUID = 1L;

    UnwritableReportException(Throwable cause) {
        super("a report can't be written", cause);
    }
}
