package org.dragonflymux.core.message;

/** An HTTP header field. */
public record Header(String name, String value) {}
