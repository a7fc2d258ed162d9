package org.dragonflymux.core.balance;

import java.util.Map;
import java.util.function.IntSupplier;
import org.dragonflymux.core.desired.ServiceSpec;
import org.dragonflymux.core.name.ServiceName;

/**
 * Keeps what all hosts together send to a cold target below what it bears: each host sends one request at a time, in
 * intervals that grow with the number of hosts.
 */
public final class ColdPacer {

    private static final double SAFE_SHARE = 0.8;
    private static final double MILLIS_PER_SECOND = 1000;

    private final IntSupplier hosts;
    private Map<ServiceName, ServiceSpec> services = Map.of();

    private ColdPacer(IntSupplier hosts) {
        this.hosts = hosts;
    }

    /**
     * Returns a pacer.
     *
     * @param hosts tells how many hosts may send
     */
    public static ColdPacer of(IntSupplier hosts) {
        return new ColdPacer(hosts);
    }

    /** Replaces what services' targets bear. */
    public void services(Map<ServiceName, ServiceSpec> specs) {
        services = specs;
    }

    /** Returns whether a request may be sent to the target now. */
    public boolean admits(TargetState target, long now) {
        return !target.cold(now) || now - target.lastColdSend() >= intervalMillis(target);
    }

    private double intervalMillis(TargetState target) {
        ServiceSpec spec = services.get(target.entry().service());
        if (spec == null || spec.coldPerSecond() <= 0) {
            return 0;
        }
        return MILLIS_PER_SECOND * Math.max(1, hosts.getAsInt()) / (spec.coldPerSecond() * SAFE_SHARE);
    }
}
