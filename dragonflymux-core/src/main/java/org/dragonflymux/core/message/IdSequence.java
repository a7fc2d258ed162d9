package org.dragonflymux.core.message;

/** Generates ids that are unique within one run of a host. */
public final class IdSequence {

    private long last;

    private IdSequence() {}

    /** Returns a sequence that starts at 1. */
    public static IdSequence fromOne() {
        return new IdSequence();
    }

    public long next() {
        return ++last;
    }
}
