package org.dragonflymux.core.shard;

/**
 * Durations that govern grants, in milliseconds.
 *
 * @param holdMillis the validity of a grant, counted by the target from its arrival
 * @param renewalIntervalMillis the time between two renewals of a grant
 * @param callTimeoutMillis the time after which an unanswered call fails
 * @param renewalGraceMillis for how long a grantor continues to renew grants after its lease was last confirmed
 */
public record GrantSettings(
        long holdMillis, long renewalIntervalMillis, long callTimeoutMillis, long renewalGraceMillis) {

    /** For how long a grantor continues to renew grants after its lease was last confirmed, in milliseconds. */
    public static final long RENEWAL_GRACE_MILLIS = 10_000;

    /** A target with a slow clock holds a grant for up to this factor longer. */
    private static final double SLOW_CLOCK_FACTOR = 1.02;

    private static final long HOLD_MARGIN_MILLIS = 20;

    /** Returns the settings for targets that accept grants of at most the given duration. */
    public static GrantSettings forMaxHold(long maxHoldMillis) {
        long holdMillis = Math.min(maxHoldMillis, 3_000);
        return new GrantSettings(holdMillis, holdMillis / 2, 500, RENEWAL_GRACE_MILLIS);
    }

    /** Returns the longest time for which a target may hold keys after a grant arrived, even if its clock is slow. */
    public long worstCaseHoldMillis() {
        return (long) (holdMillis * SLOW_CLOCK_FACTOR) + HOLD_MARGIN_MILLIS;
    }
}
