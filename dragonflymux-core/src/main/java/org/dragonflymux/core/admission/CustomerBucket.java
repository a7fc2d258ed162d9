package org.dragonflymux.core.admission;

import java.time.Duration;
import java.time.Instant;

/**
 * The token bucket of one customer, kept by one host for the whole fleet.
 *
 * <p>A new holder's bucket starts empty: it does not know what its predecessor lent.
 */
public final class CustomerBucket {

    private static final double NANOS_PER_SECOND = 1e9;

    private double tokens;
    private Instant filledAt;

    private CustomerBucket(Instant since) {
        this.filledAt = since;
    }

    /** Returns an empty bucket that fills from the given instant. */
    public static CustomerBucket emptyAt(Instant since) {
        return new CustomerBucket(since);
    }

    /** Takes tokens out, at most as many as are whole and there. */
    public int lend(int wanted, RateLimit limit, Instant now) {
        fill(limit, now);
        int lent = Math.clamp((long) tokens, 0, Math.max(0, wanted));
        tokens -= lent;
        return lent;
    }

    private void fill(RateLimit limit, Instant now) {
        if (now.isAfter(filledAt)) {
            double seconds = Duration.between(filledAt, now).toNanos() / NANOS_PER_SECOND;
            tokens += seconds * limit.ratePerSecond();
            filledAt = now;
        }
        tokens = Math.min(tokens, limit.capacity());
    }

    /** Returns after what time the next token is there. */
    public Duration nextToken(RateLimit limit) {
        double missing = Math.max(0, 1 - tokens);
        return Duration.ofNanos((long) Math.ceil(missing / limit.ratePerSecond() * NANOS_PER_SECOND));
    }
}
