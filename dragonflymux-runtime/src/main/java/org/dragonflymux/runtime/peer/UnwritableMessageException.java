package org.dragonflymux.runtime.peer;

/** Signals that a message cannot be written, which is a fault of the program. */
public final class UnwritableMessageException extends IllegalStateException {

    private static final long serialVersionUID = 1L;

    UnwritableMessageException(Class<?> type, Throwable cause) {
        super("a message of type " + type.getSimpleName() + " cannot be written", cause);
    }
}
