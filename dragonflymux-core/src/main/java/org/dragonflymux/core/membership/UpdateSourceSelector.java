package org.dragonflymux.core.membership;

import java.util.Optional;

/**
 * Decides where a host learns of changes in the store: from the grantor, which reads the store itself, or from the store
 * directly where there is no grantor or its news is late. That way most calls to the store are made by one host.
 */
public final class UpdateSourceSelector {

    private static final long SILENT_MILLIS = 700;
    private static final long STALE_MILLIS = 1_200;
    private static final long PATIENCE_MILLIS = 700;
    private static final long AVOID_MILLIS = 2_000;

    private final FleetMember self;
    private Optional<FleetMember> grantor = Optional.empty();
    private long chosenAt = Long.MIN_VALUE / 2;
    private long heardAt = Long.MIN_VALUE / 2;
    private long confirmedAt = Long.MIN_VALUE / 2;
    private long avoidUntil = Long.MIN_VALUE / 2;

    private UpdateSourceSelector(FleetMember self) {
        this.self = self;
    }

    /** Returns the choice of a host that knows no grantor yet. */
    public static UpdateSourceSelector of(FleetMember self) {
        return new UpdateSourceSelector(self);
    }

    /** Takes in who the grantor is. */
    public void grantorChanged(Optional<FleetMember> present, long now) {
        if (!present.equals(grantor)) {
            grantor = present;
            chosenAt = now;
            heardAt = Long.MIN_VALUE / 2;
            avoidUntil = Long.MIN_VALUE / 2;
        }
    }

    /** Takes in that the grantor sent news that was complete at the given time. */
    public void updatesReceived(long completeAt, long now) {
        heardAt = now;
        confirmedAt = Math.max(confirmedAt, completeAt);
    }

    /** Returns from whom news is wanted, if not from the store alone. */
    public Optional<FleetMember> source(long now) {
        return grantor.filter(member -> !member.sameIncarnation(self)).filter(_ -> now >= avoidUntil);
    }

    /** Returns whether the host has to ask the store itself. */
    public boolean mustPollStore(long now) {
        if (source(now).isEmpty()) {
            return true;
        }
        boolean fresh = now - heardAt <= SILENT_MILLIS && now - confirmedAt <= STALE_MILLIS;
        if (!fresh && now - Math.max(chosenAt, heardAt) > PATIENCE_MILLIS + SILENT_MILLIS) {
            avoidUntil = now + AVOID_MILLIS;
            chosenAt = avoidUntil;
        }
        return !fresh;
    }
}
