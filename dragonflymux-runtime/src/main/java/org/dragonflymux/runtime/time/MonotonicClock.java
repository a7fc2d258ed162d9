package org.dragonflymux.runtime.time;

import java.time.Clock;
import java.time.Instant;
import java.time.ZoneId;
import java.time.ZoneOffset;

/** A clock that starts at the system time, but never jumps or goes back when the system time is changed. */
public final class MonotonicClock extends Clock {

    private final Instant startedAt;
    private final long startedNanos;

    private MonotonicClock(Instant startedAt, long startedNanos) {
        this.startedAt = startedAt;
        this.startedNanos = startedNanos;
    }

    /** Returns a clock that is set to the current system time. */
    public static MonotonicClock start() {
        return new MonotonicClock(Instant.now(), System.nanoTime());
    }

    @Override
    public Instant instant() {
        return startedAt.plusNanos(System.nanoTime() - startedNanos);
    }

    @Override
    public ZoneId getZone() {
        return ZoneOffset.UTC;
    }

    @Override
    public Clock withZone(ZoneId zone) {
        return this;
    }
}
