package org.dragonflymux.core.name;

import java.util.regex.Pattern;

/** Checks the syntax common to all names. */
final class Names {

    private static final Pattern SYNTAX = Pattern.compile("[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?");

    private Names() {}

    static void check(String kind, String value) {
        if (value == null || !SYNTAX.matcher(value).matches()) {
            throw new InvalidNameException(kind, value);
        }
    }
}
