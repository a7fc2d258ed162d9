package org.dragonflymux.gateway.clock;

/**
 * Time that never runs behind real time. By it a host gives up what it was promised: its leases, its roles, and news from the
 * store that has become old. Where real time is not known exactly, it runs ahead, and the host gives these up early.
 */
@FunctionalInterface
public interface LeaseClock {

    /** Returns the current time in milliseconds. */
    long nowMillis();
}
