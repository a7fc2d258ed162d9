package org.dragonflymux.gateway.clock;

/**
 * Time that never runs ahead of real time. By it a host waits until what it promised to others must have ended: grants, and
 * those of earlier grantors. Where real time is not known exactly, it runs behind, and the host waits for longer.
 */
@FunctionalInterface
public interface HoldClock {

    /** Returns the current time in milliseconds. */
    long nowMillis();
}
