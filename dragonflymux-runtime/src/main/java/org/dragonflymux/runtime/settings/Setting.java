package org.dragonflymux.runtime.settings;

import java.util.Optional;

/**
 * One setting of a program.
 *
 * @param <T> the type of its value
 * @param flag the long flag, without dashes
 * @param variable the environment variable
 * @param description what it sets, with the unit
 * @param defaultText the text used if neither flag nor variable is given; empty if the setting is required
 * @param type parses and validates the text
 */
public record Setting<T>(
        String flag, String variable, String description, Optional<String> defaultText, SettingType<T> type) {

    /** Returns a setting without a default. */
    public static <T> Setting<T> required(String flag, String description, SettingType<T> type) {
        return new Setting<>(flag, variableOf(flag), description, Optional.empty(), type);
    }

    /** Returns a setting with a default. */
    public static <T> Setting<T> optional(String flag, String defaultText, String description, SettingType<T> type) {
        return new Setting<>(flag, variableOf(flag), description, Optional.of(defaultText), type);
    }

    private static String variableOf(String flag) {
        return "DRAGONFLY_" + flag.replace('-', '_').toUpperCase(java.util.Locale.ROOT);
    }
}
