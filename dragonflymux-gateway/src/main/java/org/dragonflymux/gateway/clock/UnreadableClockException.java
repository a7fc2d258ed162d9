package org.dragonflymux.gateway.clock;

import java.io.Serial;

/** Thrown if a clock that could be read before can't be read any more. */
public final class UnreadableClockException extends IllegalStateException {

    @Serial
    private static final long serialVersionUID = 1L;

    UnreadableClockException(Throwable cause) {
        super("the time since boot can't be read", cause);
    }
}
