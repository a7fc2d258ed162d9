package org.dragonflymux.core.message;

/** Gives out numbers that one host never uses twice. */
public final class IdSequence {

    private long last;

    private IdSequence() {}

    /** Returns a sequence that starts at 1. */
    public static IdSequence fromOne() {
        return new IdSequence();
    }

    /** Returns the next number. */
    public long next() {
        return ++last;
    }
}
