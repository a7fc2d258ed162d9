package org.dragonflymux.core.balance;

import java.util.Map;
import java.util.function.IntSupplier;
import org.dragonflymux.core.desired.ServiceSpec;
import org.dragonflymux.core.name.HostId;
import org.dragonflymux.core.name.ServiceName;

/**
 * Limits the rate of requests that all hosts together send to a cold target. Each host sends at most one request per
 * interval. The interval is proportional to the number of hosts, and each host starts at its own offset within the first
 * interval.
 */
public final class ColdPacer {

    private static final double SAFETY_FACTOR = 0.8;
    private static final double MILLIS_PER_SECOND = 1000;

    private final IntSupplier hostCount;
    private final HostTargetHash hostTargetHash;
    private Map<ServiceName, ServiceSpec> services = Map.of();

    private ColdPacer(HostId self, IntSupplier hostCount) {
        this.hostTargetHash = HostTargetHash.of(self);
        this.hostCount = hostCount;
    }

    /**
     * Creates a pacer.
     *
     * @param self this host
     * @param hostCount supplies the number of hosts that may send
     */
    public static ColdPacer of(HostId self, IntSupplier hostCount) {
        return new ColdPacer(self, hostCount);
    }

    /** Returns the hash that determines this host's start offsets and its subset of targets. */
    HostTargetHash hostTargetHash() {
        return hostTargetHash;
    }

    /** Returns the number of hosts that may send, at least 1. */
    int hostCount() {
        return Math.max(1, hostCount.getAsInt());
    }

    /** Replaces the services, whose limits apply to their cold targets. */
    public void replaceServices(Map<ServiceName, ServiceSpec> specs) {
        services = specs;
    }

    /** Returns whether a request may be sent to the target now. */
    public boolean admits(TargetState target, long now) {
        if (!target.cold(now)) {
            return true;
        }
        double interval = intervalMillis(target);
        return now - target.lastColdSend() >= interval
                && now - target.coldSince() >= hostTargetHash.fractionFor(target) * interval;
    }

    private double intervalMillis(TargetState target) {
        ServiceSpec spec = services.get(target.entry().service());
        if (spec == null || spec.coldPerSecond() <= 0) {
            return 0;
        }
        return MILLIS_PER_SECOND * hostCount() / (spec.coldPerSecond() * SAFETY_FACTOR);
    }
}
