package org.dragonflymux.entry;

/** Thrown if a host's name is too long to append the suffix of a run. */
final class IllegalHostNameException extends IllegalArgumentException {

    private static final long serialVersionUID = 1L;

    IllegalHostNameException(String name) {
        super("host name " + name + " is longer than 50 characters");
    }
}
