package org.dragonflymux.core.membership;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;

/**
 * Selects where a host gets updates of the store: from the collector of its group, which gets them from the grantor, which
 * watches the store itself. A host whose source is silent or late tries the grantor next, and watches the store until it
 * gets updates again. Thus few hosts call the store, and no host relays to the whole fleet.
 */
public final class UpdateSourceSelector {

    private static final long SILENCE_TIMEOUT_MILLIS = 700;
    private static final long MAX_UPDATE_AGE_MILLIS = 1_200;
    /** How long a source may stay silent beyond {@code SILENCE_TIMEOUT_MILLIS} before it is avoided. */
    private static final long SILENCE_BEYOND_TIMEOUT_MILLIS = 700;

    private static final long AVOIDANCE_MILLIS = 2_000;
    private static final long NEVER = Long.MIN_VALUE / 2;

    private final FleetMember self;
    private final Map<FleetMember, Long> avoidedUntil = new HashMap<>();
    private Optional<FleetMember> collector = Optional.empty();
    private Optional<FleetMember> grantor = Optional.empty();
    private Optional<FleetMember> selected = Optional.empty();
    private long selectedSince = NEVER;
    private long receivedAt = NEVER;
    private long latestCompleteAt = NEVER;

    private UpdateSourceSelector(FleetMember self) {
        this.self = self;
    }

    /** Returns the selector of a host that does not know any other host yet. */
    public static UpdateSourceSelector of(FleetMember self) {
        return new UpdateSourceSelector(self);
    }

    /** Records the current grantor. */
    public void grantorChanged(Optional<FleetMember> current, long now) {
        if (!current.equals(grantor)) {
            current.ifPresent(avoidedUntil::remove);
            grantor = current;
            select(now);
        }
    }

    /** Records the current collector of this host's group, empty if it is this host. */
    public void collectorChanged(Optional<FleetMember> current, long now) {
        if (!current.equals(collector)) {
            collector = current;
            select(now);
        }
    }

    private void select(long now) {
        avoidedUntil.values().removeIf(until -> now >= until);
        boolean grants = grantor.filter(self::sameIncarnation).isPresent();
        Optional<FleetMember> best = grants
                ? Optional.empty()
                : Stream.of(collector, grantor)
                        .flatMap(Optional::stream)
                        // An earlier incarnation of this host is reached at its own address.
                        .filter(member -> !member.host().equals(self.host()))
                        .filter(member -> !avoidedUntil.containsKey(member))
                        .findFirst();
        if (!best.equals(selected)) {
            selected = best;
            selectedSince = now;
            receivedAt = NEVER;
        }
    }

    /** Records updates received from the source that were complete at the given time. */
    public void updatesReceived(long completeAt, long now) {
        receivedAt = now;
        latestCompleteAt = Math.max(latestCompleteAt, completeAt);
    }

    /** Returns the host to subscribe to, or empty if the store is the only source. */
    public Optional<FleetMember> source(long now) {
        select(now);
        return selected;
    }

    /** Returns whether this host must watch the store itself; a source that stays silent is avoided for a while. */
    public boolean mustWatchStore(long now) {
        select(now);
        if (selected.isEmpty()) {
            return true;
        }
        boolean fresh = now - receivedAt <= SILENCE_TIMEOUT_MILLIS && now - latestCompleteAt <= MAX_UPDATE_AGE_MILLIS;
        if (!fresh
                && now - Math.max(selectedSince, receivedAt) > SILENCE_BEYOND_TIMEOUT_MILLIS + SILENCE_TIMEOUT_MILLIS) {
            avoidedUntil.put(selected.get(), now + AVOIDANCE_MILLIS);
            select(now);
        }
        return !fresh;
    }
}
