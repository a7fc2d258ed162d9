package org.dragonflymux.gateway;

import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * Milliseconds that never go backwards and go on while the machine is suspended. The runtime's monotonic clock stands
 * still then, so leases would seem to hold that have long ended; the time of day tells how long the machine slept.
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

    private long monotonicMillis() {
        return TimeUnit.NANOSECONDS.toMillis(monotonicNanos.getAsLong());
    }

    private long difference() {
        return timeOfDayMillis.getAsLong() - monotonicMillis();
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
