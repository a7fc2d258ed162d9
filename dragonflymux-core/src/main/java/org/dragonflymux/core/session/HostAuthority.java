package org.dragonflymux.core.session;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import org.dragonflymux.core.name.HostId;
import org.dragonflymux.core.name.ServiceName;

/**
 * Until when a host may act on the duties that assignment tables give it.
 *
 * <p>A renewed session in the store gives authority for all services. While the store is unreachable, pledges of both a
 * service's assigner and its standby give authority for that service, for at most the service's continuity. Each bound is
 * counted from before the question that it answers was sent.
 */
public final class HostAuthority {

    /** How long the store keeps a session that is not renewed. */
    public static final Duration SESSION_TTL = Duration.ofSeconds(2);

    /** How long a pledge holds. */
    public static final Duration PLEDGE_LENGTH = Duration.ofSeconds(1);

    /** How far two hosts' and the store's clocks may drift apart within one session. */
    public static final Duration DRIFT_MARGIN = Duration.ofMillis(100);

    private final Map<ServiceName, Map<HostId, Instant>> pledges = new HashMap<>();
    private Instant sessionUntil = Instant.MIN;
    private Instant lastConfirmed = Instant.MIN;

    private HostAuthority() {}

    /** Returns the authority of a host that has just started, which is none. */
    public static HostAuthority none() {
        return new HostAuthority();
    }

    /** Notes that the store has renewed the session, asked at the given instant. */
    public void renewed(Instant askedAt) {
        Instant until = askedAt.plus(SESSION_TTL).minus(DRIFT_MARGIN);
        if (until.isAfter(sessionUntil)) {
            sessionUntil = until;
            lastConfirmed = askedAt;
        }
    }

    /** Notes that the store no longer has the session. */
    public void lapsed() {
        sessionUntil = Instant.MIN;
        pledges.clear();
    }

    /** Notes a pledge by one host of a service's pair, asked at the given instant. */
    public void pledged(ServiceName service, HostId by, Instant askedAt) {
        Instant until = askedAt.plus(PLEDGE_LENGTH).minus(DRIFT_MARGIN);
        pledges.computeIfAbsent(service, name -> new HashMap<>())
                .merge(by, until, (known, other) -> known.isAfter(other) ? known : other);
    }

    /** Returns until when the session in the store gives authority. */
    public Instant sessionUntil() {
        return sessionUntil;
    }

    /**
     * Returns until when the host may act for a service.
     *
     * @param assigner the service's assigner as this host knows it
     * @param standby the service's standby as this host knows it
     * @param continuity how long pledges may stand in for the store
     */
    public Instant validUntil(ServiceName service, HostId assigner, HostId standby, Duration continuity) {
        if (lastConfirmed.equals(Instant.MIN)) {
            return Instant.MIN;
        }
        Map<HostId, Instant> held = pledges.getOrDefault(service, Map.of());
        Instant byAssigner = held.getOrDefault(assigner, Instant.MIN);
        Instant byStandby = standby == null ? byAssigner : held.getOrDefault(standby, Instant.MIN);
        Instant byPair = earlier(earlier(byAssigner, byStandby), lastConfirmed.plus(continuity));
        return byPair.isAfter(sessionUntil) ? byPair : sessionUntil;
    }

    private static Instant earlier(Instant one, Instant other) {
        return one.isBefore(other) ? one : other;
    }
}
