package org.dragonflymux.runtime.settings;

/** Signals that a text is not a correct value of a setting. */
final class IllegalSettingException extends IllegalArgumentException {

    private static final long serialVersionUID = 1L;
}
