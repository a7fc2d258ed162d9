package org.dragonflymux.core.message;

/** Gives out numbers that one host never uses twice. */
public final class Numbers {

    private long last;

    private Numbers() {}

    /** Returns a sequence that starts at 1. */
    public static Numbers fromOne() {
        return new Numbers();
    }

    /** Returns the next number. */
    public long next() {
        return ++last;
    }
}
