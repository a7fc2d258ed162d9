package org.dragonflymux.gateway.peer;

import java.io.Serial;

/** Thrown where a message to another host can't be written, which none should cause. */
public final class UnwritableMessageException extends IllegalStateException {

    @Serial
    private static final long serialVersionUID = 1L;

    UnwritableMessageException(Throwable cause) {
        super("a message can't be written", cause);
    }
}
