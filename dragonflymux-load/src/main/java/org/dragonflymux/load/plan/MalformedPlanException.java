package org.dragonflymux.load.plan;

/** Signals that a part of a load plan cannot be parsed. */
public final class MalformedPlanException extends IllegalArgumentException {

    private static final long serialVersionUID = 1L;

    MalformedPlanException(String part, String text, String expected) {
        super("%s \"%s\" is not of the form %s".formatted(part, text, expected));
    }
}
