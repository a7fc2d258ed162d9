package org.dragonflymux.core.session;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import org.dragonflymux.core.name.HostId;
import org.dragonflymux.core.name.ServiceName;

/**
 * The time until which a host may act on the lanes that assignment tables assign to it.
 *
 * <p>A renewed session in the store grants authority for all services. While the store is unreachable, pledges by both
 * the assigner and the standby of a service grant authority for that service, for at most the service's continuity
 * period. Each bound is measured from the time the request was sent, so that a delayed reply never extends it.
 */
public final class HostAuthority {

    /** The time after which the store deletes a session that is not renewed. */
    public static final Duration SESSION_TTL = Duration.ofSeconds(2);

    /** The period of validity of a pledge. */
    public static final Duration PLEDGE_DURATION = Duration.ofSeconds(1);

    /** The maximum drift between the clocks of two hosts, or of a host and the store, within one session. */
    public static final Duration DRIFT_MARGIN = Duration.ofMillis(100);

    private final Map<ServiceName, Map<HostId, Instant>> pledges = new HashMap<>();
    private Instant sessionUntil = Instant.MIN;
    private Instant lastRenewal = Instant.MIN;

    private HostAuthority() {}

    /** Returns the authority of a newly started host, which has none. */
    public static HostAuthority none() {
        return new HostAuthority();
    }

    /** Records that the store renewed the session on a request sent at the given instant. */
    public void recordRenewal(Instant requestedAt) {
        Instant until = requestedAt.plus(SESSION_TTL).minus(DRIFT_MARGIN);
        if (until.isAfter(sessionUntil)) {
            sessionUntil = until;
            lastRenewal = requestedAt;
        }
    }

    /** Records that the session no longer exists in the store, and discards all pledges. */
    public void recordExpiry() {
        sessionUntil = Instant.MIN;
        pledges.clear();
    }

    /** Records a pledge by a service's assigner or standby on a request sent at the given instant. */
    public void recordPledge(ServiceName service, HostId by, Instant requestedAt) {
        Instant until = requestedAt.plus(PLEDGE_DURATION).minus(DRIFT_MARGIN);
        pledges.computeIfAbsent(service, name -> new HashMap<>())
                .merge(by, until, (known, other) -> known.isAfter(other) ? known : other);
    }

    /** Returns until when the session in the store grants authority. */
    public Instant sessionUntil() {
        return sessionUntil;
    }

    /**
     * Returns until when the host may act on its lanes of a service.
     *
     * @param assigner the service's assigner according to this host's replica
     * @param standby the service's standby according to this host's replica, or null if it has none
     * @param continuity the maximum time since the last renewal for which pledges replace the session
     */
    public Instant validUntil(ServiceName service, HostId assigner, HostId standby, Duration continuity) {
        if (lastRenewal.equals(Instant.MIN)) {
            return Instant.MIN;
        }
        Map<HostId, Instant> held = pledges.getOrDefault(service, Map.of());
        Instant byAssigner = held.getOrDefault(assigner, Instant.MIN);
        Instant byStandby = standby == null ? byAssigner : held.getOrDefault(standby, Instant.MIN);
        Instant byPledges = earlier(earlier(byAssigner, byStandby), lastRenewal.plus(continuity));
        return byPledges.isAfter(sessionUntil) ? byPledges : sessionUntil;
    }

    private static Instant earlier(Instant one, Instant other) {
        return one.isBefore(other) ? one : other;
    }
}
