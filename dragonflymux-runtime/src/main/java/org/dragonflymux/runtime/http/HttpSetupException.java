package org.dragonflymux.runtime.http;

/** Signals that an HTTP client could not be set up. */
public final class HttpSetupException extends IllegalStateException {

    private static final long serialVersionUID = 1L;

    HttpSetupException(Throwable cause) {
        super("the HTTP client could not be set up", cause);
    }
}
