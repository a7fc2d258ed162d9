package org.dragonflymux.gateway.clock;

import java.lang.foreign.Arena;
import java.lang.foreign.FunctionDescriptor;
import java.lang.foreign.Linker;
import java.lang.foreign.MemoryLayout;
import java.lang.foreign.MemorySegment;
import java.lang.foreign.ValueLayout;
import java.lang.invoke.MethodHandle;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * The time since the machine was booted, which includes suspensions and is never set: {@code clock_gettime} of the C library
 * with {@code CLOCK_BOOTTIME}, which the JDK itself does not offer. It must be read by one thread at a time.
 */
final class BootTime implements LongSupplier {

    private static final int CLOCK_BOOTTIME = 7;
    private static final MemoryLayout TIMESPEC =
            MemoryLayout.structLayout(ValueLayout.JAVA_LONG, ValueLayout.JAVA_LONG);

    private final MethodHandle clockGettime;
    private final MemorySegment timespec;

    private BootTime(MethodHandle clockGettime, MemorySegment timespec) {
        this.clockGettime = clockGettime;
        this.timespec = timespec;
    }

    /** Returns the clock in milliseconds; empty on systems without it. */
    @SuppressWarnings("restricted")
    static Optional<LongSupplier> find() {
        if (!System.getProperty("os.name").equals("Linux") || ValueLayout.ADDRESS.byteSize() != Long.BYTES) {
            return Optional.empty();
        }
        Linker linker = Linker.nativeLinker();
        FunctionDescriptor signature =
                FunctionDescriptor.of(ValueLayout.JAVA_INT, ValueLayout.JAVA_INT, ValueLayout.ADDRESS);
        return linker.defaultLookup()
                .find("clock_gettime")
                .map(address -> new BootTime(
                        linker.downcallHandle(address, signature),
                        Arena.global().allocate(TIMESPEC)))
                .filter(BootTime::works)
                .map(LongSupplier.class::cast);
    }

    private boolean works() {
        return call() == 0;
    }

    private int call() {
        try {
            return (int) clockGettime.invokeExact(CLOCK_BOOTTIME, timespec);
        } catch (Throwable impossible) {
            throw new UnreadableClockException(impossible);
        }
    }

    @Override
    public long getAsLong() {
        call();
        return TimeUnit.SECONDS.toMillis(timespec.get(ValueLayout.JAVA_LONG, 0))
                + TimeUnit.NANOSECONDS.toMillis(timespec.get(ValueLayout.JAVA_LONG, Long.BYTES));
    }
}
