package org.dragonflymux.runtime.settings;

/**
 * A missing or invalid setting of a program.
 *
 * @param source the flag or variable
 * @param actual the given text, or null if none was given; empty for secrets
 * @param expected a description of a valid text
 */
public record SettingError(String source, String actual, String expected) {

    @Override
    public String toString() {
        String found = actual == null ? "is not set" : "is \"" + actual + '"';
        return "%s %s; expected %s".formatted(source, found, expected);
    }
}
