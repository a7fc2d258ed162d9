package org.dragonflymux.core.admission;

import java.time.Duration;
import org.dragonflymux.core.document.CustomerDocument;
import org.dragonflymux.core.document.RateReserve;

/**
 * A customer's rate and burst, and the limits on token loans that follow from them.
 *
 * @param ratePerSecond the rate, in tokens per second
 * @param burst the maximum number of requests that may be admitted at once
 */
public record RateLimit(double ratePerSecond, int burst) {

    /** The maximum time for which lent tokens may be used. */
    public static final Duration MAX_LOAN_DURATION = Duration.ofMillis(100);

    /** The minimum time for which lent tokens may be used. */
    public static final Duration MIN_LOAN_DURATION = Duration.ofMillis(20);

    /** Returns the limit of a reserve. */
    public static RateLimit of(RateReserve reserve) {
        return new RateLimit(reserve.ratePerSecond(), reserve.burst());
    }

    /** Returns the part of a customer's limit that is not in its reserves. */
    public static RateLimit unreserved(CustomerDocument customer) {
        double rate = customer.ratePerSecond();
        int burst = customer.burst();
        for (RateReserve reserve : customer.reserves().values()) {
            rate -= reserve.ratePerSecond();
            burst -= reserve.burst();
        }
        return new RateLimit(rate, burst);
    }

    /** Returns the minimum burst at which a token can be lent for {@link #MIN_LOAN_DURATION}. */
    public static int minBurst(double ratePerSecond) {
        return (int) Math.ceil(1 + ratePerSecond * MIN_LOAN_DURATION.toMillis() / 1000.0);
    }

    /** Returns for how long lent tokens may be used, measured from the time they were requested. */
    public Duration loanDuration() {
        long millis = (long) ((burst - 1) / ratePerSecond * 1000);
        return Duration.ofMillis(Math.clamp(millis, MIN_LOAN_DURATION.toMillis(), MAX_LOAN_DURATION.toMillis()));
    }

    /**
     * Returns the capacity of the bucket, in tokens.
     *
     * <p>A token may be used until one loan duration after it left the bucket. The capacity is therefore smaller than
     * the burst by the number of tokens refilled in that time, so that no time window admits more than rate × time +
     * burst.
     */
    public double capacity() {
        return burst - ratePerSecond * loanDuration().toMillis() / 1000.0;
    }
}
