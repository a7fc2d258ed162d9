package org.dragonflymux.runtime.peer;

/** Thrown if a message cannot be encoded, which is a programming error. */
public final class MessageEncodingException extends IllegalStateException {

    private static final long serialVersionUID = 1L;

    MessageEncodingException(Class<?> type, Throwable cause) {
        super("cannot encode a message of type " + type.getSimpleName(), cause);
    }
}
