package org.dragonflymux.entry;

/** Signals that a host's name leaves no room for the suffix of a run. */
final class IllegalHostNameException extends IllegalArgumentException {

    private static final long serialVersionUID = 1L;

    IllegalHostNameException(String name) {
        super("host name " + name + " is longer than 50 characters");
    }
}
