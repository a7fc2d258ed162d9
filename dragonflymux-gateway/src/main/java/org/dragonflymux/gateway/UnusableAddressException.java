package org.dragonflymux.gateway;

import java.io.Serial;

/** Thrown if a text is not an IP address with a port from 1 to 65535. */
public final class UnusableAddressException extends IllegalArgumentException {

    @Serial
    private static final long serialVersionUID = 1L;

    UnusableAddressException(String text, Throwable cause) {
        super("not an IP address with a port from 1 to 65535: " + text, cause);
    }
}
