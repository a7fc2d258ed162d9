package org.dragonflymux.core.shard;

/**
 * Times of granting, in milliseconds.
 *
 * @param hold for how long a grant holds from its arrival
 * @param renewEvery the time between two renewals
 * @param callTimeout when a call without an answer is given up
 * @param renewalGraceMillis for how long a host that lost its leadership may go on renewing what was granted
 */
public record GrantSettings(long hold, long renewEvery, long callTimeout, long renewalGraceMillis) {

    /** By how much a target's clock may be slow. */
    private static final double SLOWEST_CLOCK = 1.02;

    private static final long SLACK_MILLIS = 20;

    /** Returns the times that fit the longest grant that targets accept. */
    public static GrantSettings forMaxHold(long maxHold) {
        long hold = Math.min(maxHold, 3_000);
        return new GrantSettings(hold, hold / 2, 500, 10_000);
    }

    /** Returns for how long a target may hold keys after a grant arrived. */
    public long longestHold() {
        return (long) (hold * SLOWEST_CLOCK) + SLACK_MILLIS;
    }
}
