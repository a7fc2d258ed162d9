package org.dragonflymux.gateway.damage;

import com.sun.management.ThreadMXBean;
import java.lang.management.ManagementFactory;

/** Measures what the current thread allocates. */
public final class Allocation {

    private static final ThreadMXBean THREADS = (ThreadMXBean) ManagementFactory.getThreadMXBean();

    private Allocation() {}

    /** Returns how many bytes an action allocates. */
    public static long of(Runnable action) {
        long before = THREADS.getCurrentThreadAllocatedBytes();
        action.run();
        return THREADS.getCurrentThreadAllocatedBytes() - before;
    }
}
