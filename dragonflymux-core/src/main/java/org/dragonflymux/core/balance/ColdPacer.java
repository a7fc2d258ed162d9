package org.dragonflymux.core.balance;

import java.util.Map;
import java.util.function.IntSupplier;
import org.dragonflymux.core.desired.ServiceSpec;
import org.dragonflymux.core.name.HostId;
import org.dragonflymux.core.name.ServiceName;

/**
 * Keeps what all hosts together send to a cold target below what it bears: each host sends one request at a time, in
 * intervals that grow with the number of hosts, and begins at a moment of its own within the first interval.
 */
public final class ColdPacer {

    private static final double SAFE_SHARE = 0.8;
    private static final double MILLIS_PER_SECOND = 1000;

    private final IntSupplier hosts;
    private final HostShare share;
    private Map<ServiceName, ServiceSpec> services = Map.of();

    private ColdPacer(HostId self, IntSupplier hosts) {
        this.share = HostShare.of(self);
        this.hosts = hosts;
    }

    /**
     * Returns a pacer.
     *
     * @param self this host
     * @param hosts tells how many hosts may send
     */
    public static ColdPacer of(HostId self, IntSupplier hosts) {
        return new ColdPacer(self, hosts);
    }

    /** Returns the numbers by which this host shares targets with others. */
    HostShare share() {
        return share;
    }

    /** Returns how many hosts may send. */
    int hosts() {
        return Math.max(1, hosts.getAsInt());
    }

    /** Replaces what services' targets bear. */
    public void services(Map<ServiceName, ServiceSpec> specs) {
        services = specs;
    }

    /** Returns whether a request may be sent to the target now. */
    public boolean admits(TargetState target, long now) {
        if (!target.cold(now)) {
            return true;
        }
        double interval = intervalMillis(target);
        return now - target.lastColdSend() >= interval && now - target.coldSince() >= share.of(target) * interval;
    }

    private double intervalMillis(TargetState target) {
        ServiceSpec spec = services.get(target.entry().service());
        if (spec == null || spec.coldPerSecond() <= 0) {
            return 0;
        }
        return MILLIS_PER_SECOND * hosts() / (spec.coldPerSecond() * SAFE_SHARE);
    }
}
