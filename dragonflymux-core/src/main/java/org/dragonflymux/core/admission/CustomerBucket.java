package org.dragonflymux.core.admission;

import java.time.Duration;
import java.time.Instant;

/**
 * The token bucket of one customer in one pool, held by a single host.
 *
 * <p>A new holder starts with an empty bucket because it does not know how many tokens its predecessor lent.
 */
public final class CustomerBucket {

    private static final double NANOS_PER_SECOND = 1e9;

    private double tokens;
    private Instant refilledAt;

    private CustomerBucket(Instant since) {
        this.refilledAt = since;
    }

    /** Returns an empty bucket that is refilled from the given instant on. */
    public static CustomerBucket emptyAt(Instant since) {
        return new CustomerBucket(since);
    }

    /** Removes up to the requested number of whole tokens and returns how many were removed. */
    public int take(int requested, RateLimit limit, Instant now) {
        refill(limit, now);
        int taken = Math.clamp((long) tokens, 0, Math.max(0, requested));
        tokens -= taken;
        return taken;
    }

    private void refill(RateLimit limit, Instant now) {
        if (now.isAfter(refilledAt)) {
            double seconds = Duration.between(refilledAt, now).toNanos() / NANOS_PER_SECOND;
            tokens += seconds * limit.ratePerSecond();
            refilledAt = now;
        }
        tokens = Math.min(tokens, limit.capacity());
    }

    /** Returns the time until the next token is available. */
    public Duration timeToNextToken(RateLimit limit) {
        double missing = Math.max(0, 1 - tokens);
        return Duration.ofNanos((long) Math.ceil(missing / limit.ratePerSecond() * NANOS_PER_SECOND));
    }
}
