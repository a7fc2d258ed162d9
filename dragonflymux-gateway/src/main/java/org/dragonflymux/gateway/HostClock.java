package org.dragonflymux.gateway;

import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * Milliseconds that never go backwards and go on while the machine is suspended. The runtime's monotonic clock stands
 * still then, so leases would seem to hold that have long ended; the time of day tells how long the machine slept. A step
 * of the time of day looks the same and costs a lease at worst, so what callers wait is measured by the monotonic clock.
 */
final class HostClock implements LongSupplier {

    /** Smaller differences come from reading two clocks one after the other, or from small corrections of one. */
    private static final long TOLERANCE_MILLIS = 50;

    private final LongSupplier monotonicNanos;
    private final LongSupplier timeOfDayMillis;
    private long offset;
    private long sleptMillis;

    HostClock(LongSupplier monotonicNanos, LongSupplier timeOfDayMillis) {
        this.monotonicNanos = monotonicNanos;
        this.timeOfDayMillis = timeOfDayMillis;
        this.offset = difference();
    }

    /** Returns the clock of this machine. */
    static HostClock system() {
        return new HostClock(System::nanoTime, System::currentTimeMillis);
    }

    /** Returns the milliseconds of the monotonic clock, which stands still while the machine is suspended. */
    long monotonicMillis() {
        return TimeUnit.NANOSECONDS.toMillis(monotonicNanos.getAsLong());
    }

    private long difference() {
        return timeOfDayMillis.getAsLong() - monotonicMillis();
    }

    /** Returns for how long the machine was suspended so far, as far as can be told. */
    long sleptMillis() {
        getAsLong();
        return sleptMillis;
    }

    @Override
    public long getAsLong() {
        long present = difference();
        long jumped = present - offset;
        if (jumped > TOLERANCE_MILLIS) {
            sleptMillis += jumped;
            offset = present;
        } else if (jumped < -TOLERANCE_MILLIS) {
            offset = present;
        }
        return monotonicMillis() + sleptMillis;
    }
}
