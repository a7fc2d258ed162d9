package org.dragonflymux.runtime.settings;

/**
 * A fault of a program's settings.
 *
 * @param where the flag or variable at fault
 * @param given the text that was given, or null when there was none; empty for secrets
 * @param expected what is expected
 */
public record SettingError(String where, String given, String expected) {

    @Override
    public String toString() {
        String found = given == null ? "is not set" : "is \"" + given + '"';
        return "%s %s; expected %s".formatted(where, found, expected);
    }
}
