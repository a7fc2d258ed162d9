package org.dragonflymux.core.admission;

import java.time.Duration;
import org.dragonflymux.core.document.CustomerDocument;
import org.dragonflymux.core.document.RateReserve;

/**
 * A customer's rate and burst, and what follows from them for lending tokens.
 *
 * @param ratePerSecond tokens a second
 * @param burst the most requests that may be admitted at once
 */
public record RateLimit(double ratePerSecond, int burst) {

    /** The longest time for which lent tokens may be used. */
    public static final Duration MAX_LOAN = Duration.ofMillis(100);

    /** The shortest time for which lent tokens may be used. */
    public static final Duration MIN_LOAN = Duration.ofMillis(20);

    /** Returns the limit of a reserve. */
    public static RateLimit of(RateReserve reserve) {
        return new RateLimit(reserve.ratePerSecond(), reserve.burst());
    }

    /** Returns what a customer's limit leaves beside its reserves. */
    public static RateLimit unreserved(CustomerDocument customer) {
        double rate = customer.ratePerSecond();
        int burst = customer.burst();
        for (RateReserve reserve : customer.reserves().values()) {
            rate -= reserve.ratePerSecond();
            burst -= reserve.burst();
        }
        return new RateLimit(rate, burst);
    }

    /** Returns the least burst that leaves room for one token on loan. */
    public static int leastBurst(double ratePerSecond) {
        return (int) Math.ceil(1 + ratePerSecond * MIN_LOAN.toMillis() / 1000.0);
    }

    /** Returns for how long lent tokens may be used, counted from before they were asked for. */
    public Duration loan() {
        long millis = (long) ((burst - 1) / ratePerSecond * 1000);
        return Duration.ofMillis(Math.clamp(millis, MIN_LOAN.toMillis(), MAX_LOAN.toMillis()));
    }

    /**
     * Returns how many tokens the bucket holds at most.
     *
     * <p>A token is used up to one loan after it left the bucket; the bucket is smaller than the burst by what flows in
     * meanwhile, so that no window of time ever sees more than rate × time + burst.
     */
    public double capacity() {
        return burst - ratePerSecond * loan().toMillis() / 1000.0;
    }
}
