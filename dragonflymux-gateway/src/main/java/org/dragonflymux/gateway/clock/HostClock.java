package org.dragonflymux.gateway;

import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * A millisecond clock that never goes backwards and keeps counting while the machine is suspended. The JVM's monotonic
 * clock stops during a suspension, so leases that have long ended would still seem valid; the length of a suspension is
 * derived from the wall clock. A forward step of the wall clock cannot be distinguished from a suspension. At worst the host
 * then gives up a lease that is still valid; the waiting time of callers is not affected, since it is measured with the
 * monotonic clock.
 */
final class SuspendAwareClock implements LongSupplier {

    /** Smaller differences result from reading the two clocks one after the other, or from small clock corrections. */
    private static final long TOLERANCE_MILLIS = 50;

    private final LongSupplier monotonicNanos;
    private final LongSupplier wallClockMillis;
    private long offset;
    private long suspendedMillis;

    SuspendAwareClock(LongSupplier monotonicNanos, LongSupplier wallClockMillis) {
        this.monotonicNanos = monotonicNanos;
        this.wallClockMillis = wallClockMillis;
        this.offset = difference();
    }

    /** Creates a clock that uses the system's clocks. */
    static SuspendAwareClock system() {
        return new SuspendAwareClock(System::nanoTime, System::currentTimeMillis);
    }

    /** Returns the time on the monotonic clock, which stops while the machine is suspended. */
    long monotonicMillis() {
        return TimeUnit.NANOSECONDS.toMillis(monotonicNanos.getAsLong());
    }

    private long difference() {
        return wallClockMillis.getAsLong() - monotonicMillis();
    }

    /** Returns the total time for which the machine was suspended so far, as far as it can be detected. */
    long suspendedMillis() {
        getAsLong();
        return suspendedMillis;
    }

    @Override
    public long getAsLong() {
        long current = difference();
        long jump = current - offset;
        if (jump > TOLERANCE_MILLIS) {
            suspendedMillis += jump;
            offset = current;
        } else if (jump < -TOLERANCE_MILLIS) {
            offset = current;
        }
        return monotonicMillis() + suspendedMillis;
    }
}
