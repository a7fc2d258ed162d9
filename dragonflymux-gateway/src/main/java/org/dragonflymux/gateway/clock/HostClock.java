package org.dragonflymux.gateway.clock;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * The clocks of a host, in milliseconds. The JVM's monotonic clock stops while the machine is suspended, so by itself it would
 * take leases for valid that have long ended. The time since boot counts suspensions. On systems without it they are
 * derived from the time of day, whose forward steps can't be told from suspensions; the clock of leases then runs ahead with
 * each step, and the clock of holds does not count suspensions.
 */
public final class HostClock {

    /** Smaller differences result from reading the two clocks one after the other, or from small clock corrections. */
    private static final long TOLERANCE_MILLIS = 50;

    private final LongSupplier monotonicNanos;
    private final LongSupplier elapsedMillis;
    private final boolean exact;
    private long offset;
    private long suspendedMillis;

    private HostClock(LongSupplier monotonicNanos, LongSupplier elapsedMillis, boolean exact) {
        this.monotonicNanos = monotonicNanos;
        this.elapsedMillis = elapsedMillis;
        this.exact = exact;
        this.offset = difference();
    }

    /** Creates a clock that uses the system's clocks. It must be read by one thread at a time. */
    public static HostClock system() {
        Optional<LongSupplier> bootTime = BootTime.find();
        return bootTime.map(elapsed -> withBootTime(System::nanoTime, elapsed))
                .orElseGet(() -> withTimeOfDay(System::nanoTime, System::currentTimeMillis));
    }

    /** Creates a clock that learns of suspensions by the time since boot. */
    public static HostClock withBootTime(LongSupplier monotonicNanos, LongSupplier bootMillis) {
        return new HostClock(monotonicNanos, bootMillis, true);
    }

    /** Creates a clock that guesses suspensions by the time of day, which may be set. */
    public static HostClock withTimeOfDay(LongSupplier monotonicNanos, LongSupplier timeOfDayMillis) {
        return new HostClock(monotonicNanos, timeOfDayMillis, false);
    }

    /** Returns the time on the monotonic clock, which stops while the machine is suspended. */
    public long monotonicMillis() {
        return TimeUnit.NANOSECONDS.toMillis(monotonicNanos.getAsLong());
    }

    private long difference() {
        return elapsedMillis.getAsLong() - monotonicMillis();
    }

    /** Returns the total time for which the machine was suspended so far, or more than that if it is not known exactly. */
    public long suspendedMillis() {
        long current = difference();
        long jump = current - offset;
        if (Math.abs(jump) > TOLERANCE_MILLIS) {
            suspendedMillis += Math.max(0, jump);
            offset = current;
        }
        return suspendedMillis;
    }

    /** Returns whether suspensions are known exactly, rather than guessed by the time of day. */
    public boolean exact() {
        return exact;
    }

    /** Returns the clock by which this host gives up its own leases and roles. */
    public LeaseClock leaseClock() {
        return this::withSuspensions;
    }

    /** Returns the clock by which this host waits for the end of what others hold. */
    public HoldClock holdClock() {
        return exact ? this::withSuspensions : this::monotonicMillis;
    }

    private long withSuspensions() {
        return monotonicMillis() + suspendedMillis();
    }
}
