package org.dragonflymux.gateway.peer;

import java.io.Serial;

/** Thrown if a message to another host cannot be encoded, which indicates a programming error. */
public final class UnwritableMessageException extends IllegalStateException {

    @Serial
    private static final long serialVersionUID = 1L;

    UnwritableMessageException(Throwable cause) {
        super("cannot encode the message to another host", cause);
    }
}
