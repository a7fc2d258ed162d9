package org.dragonflymux.core.name;

/** Thrown if a text is not a well-formed name. */
public final class InvalidNameException extends IllegalArgumentException {

    private static final long serialVersionUID = 1L;

    InvalidNameException(String kind, String value) {
        super("invalid %s name %s: expected 1 to 63 of a-z, 0-9, '-' and '.', with a letter or digit at both ends"
                .formatted(kind, value == null ? "(none)" : '"' + value + '"'));
    }
}
