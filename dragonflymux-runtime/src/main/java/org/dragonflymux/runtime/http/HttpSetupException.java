package org.dragonflymux.runtime.http;

/** Thrown if an HTTP client cannot be created. */
public final class HttpSetupException extends IllegalStateException {

    private static final long serialVersionUID = 1L;

    HttpSetupException(Throwable cause) {
        super("cannot create the HTTP client", cause);
    }
}
