package org.dragonflymux.runtime.settings;

import java.util.Map;

/** The validated values of a program's settings. */
public final class Settings {

    private final Map<Setting<?>, Object> values;

    private Settings(Map<Setting<?>, Object> values) {
        this.values = values;
    }

    static Settings of(Map<Setting<?>, Object> values) {
        return new Settings(Map.copyOf(values));
    }

    /** Returns the value of one of the program's settings. */
    @SuppressWarnings("unchecked")
    public <T> T value(Setting<T> setting) {
        return (T) values.get(setting);
    }
}
