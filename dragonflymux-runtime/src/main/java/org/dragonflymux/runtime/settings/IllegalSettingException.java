package org.dragonflymux.runtime.settings;

/** Thrown if a text is not a valid value of a setting. */
final class IllegalSettingException extends IllegalArgumentException {

    private static final long serialVersionUID = 1L;
}
