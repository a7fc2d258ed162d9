package org.dragonflymux.core.membership;

import java.util.Optional;

/**
 * Selects where a host gets updates of the store: from the grantor, which watches the store itself, or directly from the
 * store if there is no grantor or its updates are late. Thus a single host makes most of the calls to the store.
 */
public final class UpdateSourceSelector {

    private static final long SILENCE_TIMEOUT_MILLIS = 700;
    private static final long MAX_UPDATE_AGE_MILLIS = 1_200;
    /** How long the grantor may stay silent beyond {@code SILENCE_TIMEOUT_MILLIS} before it is avoided. */
    private static final long SILENCE_BEYOND_TIMEOUT_MILLIS = 700;

    private static final long AVOIDANCE_MILLIS = 2_000;

    private final FleetMember self;
    private Optional<FleetMember> grantor = Optional.empty();
    private long selectableSince = Long.MIN_VALUE / 2;
    private long receivedAt = Long.MIN_VALUE / 2;
    private long latestCompleteAt = Long.MIN_VALUE / 2;
    private long avoidUntil = Long.MIN_VALUE / 2;

    private UpdateSourceSelector(FleetMember self) {
        this.self = self;
    }

    /** Returns the selector of a host that does not know a grantor yet. */
    public static UpdateSourceSelector of(FleetMember self) {
        return new UpdateSourceSelector(self);
    }

    /** Records the current grantor. */
    public void grantorChanged(Optional<FleetMember> current, long now) {
        if (!current.equals(grantor)) {
            grantor = current;
            selectableSince = now;
            receivedAt = Long.MIN_VALUE / 2;
            avoidUntil = Long.MIN_VALUE / 2;
        }
    }

    /** Records updates received from the grantor that were complete at the given time. */
    public void updatesReceived(long completeAt, long now) {
        receivedAt = now;
        latestCompleteAt = Math.max(latestCompleteAt, completeAt);
    }

    /** Returns the host to subscribe to, or empty if the store is the only source. */
    public Optional<FleetMember> source(long now) {
        return grantor.filter(member -> !member.sameIncarnation(self)).filter(_ -> now >= avoidUntil);
    }

    /** Returns whether this host must watch the store itself; a grantor that stays silent is avoided for a while. */
    public boolean mustWatchStore(long now) {
        if (source(now).isEmpty()) {
            return true;
        }
        boolean fresh = now - receivedAt <= SILENCE_TIMEOUT_MILLIS && now - latestCompleteAt <= MAX_UPDATE_AGE_MILLIS;
        if (!fresh
                && now - Math.max(selectableSince, receivedAt)
                        > SILENCE_BEYOND_TIMEOUT_MILLIS + SILENCE_TIMEOUT_MILLIS) {
            avoidUntil = now + AVOIDANCE_MILLIS;
            selectableSince = avoidUntil;
        }
        return !fresh;
    }
}
