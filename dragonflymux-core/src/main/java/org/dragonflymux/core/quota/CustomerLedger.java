package org.dragonflymux.core.quota;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import org.dragonflymux.core.desired.CustomerSpec;
import org.dragonflymux.core.name.HostId;

/**
 * A customer's token bucket at its lender, together with the tokens that are outstanding at borrowing hosts. The two
 * never add up to more than the burst.
 */
final class CustomerLedger {

    private static final double MILLIS_PER_SECOND = 1000;
    /** A lent token that is not reported as used or returned within this time counts as used. */
    private static final long LOAN_EXPIRY_MILLIS = 2_000;

    private final Map<HostId, Borrower> borrowers = new HashMap<>();
    private double tokens;
    private double outstanding;
    private long refilledAt;
    private long lentSinceStats;
    private long returnedSinceStats;
    private long deniedSinceStats;

    private static final class Borrower {
        private long incarnation;
        private long used;
        private long returned;
        private long lastSequence;
        private long lastLent;
        private final Deque<OutstandingLoan> loans = new ArrayDeque<>();
    }

    private record OutstandingLoan(long lentAt, long count) {}

    /**
     * Creates an empty bucket.
     *
     * @param fillStartsAt the time from which the bucket fills
     */
    CustomerLedger(long fillStartsAt) {
        refilledAt = fillStartsAt;
    }

    /** Applies the totals of used and returned tokens that a borrower reports for its incarnation. */
    void settle(HostId host, long incarnation, long used, long returned) {
        Borrower borrower = borrowers.computeIfAbsent(host, _ -> new Borrower());
        if (incarnation < borrower.incarnation) {
            return;
        }
        if (incarnation > borrower.incarnation) {
            retire(borrower, Long.MAX_VALUE);
            borrower.incarnation = incarnation;
            borrower.used = 0;
            borrower.returned = 0;
            borrower.lastSequence = 0;
        }
        retire(borrower, used - borrower.used);
        long returnedTokens = retire(borrower, returned - borrower.returned);
        tokens += returnedTokens;
        returnedSinceStats += returnedTokens;
        borrower.used = Math.max(borrower.used, used);
        borrower.returned = Math.max(borrower.returned, returned);
    }

    /** Removes up to {@code count} of a borrower's oldest outstanding tokens, and returns how many were removed. */
    private long retire(Borrower borrower, long count) {
        long left = Math.max(0, count);
        long retired = 0;
        while (left > 0 && !borrower.loans.isEmpty()) {
            OutstandingLoan oldest = borrower.loans.removeFirst();
            long taken = Math.min(left, oldest.count());
            if (taken < oldest.count()) {
                borrower.loans.addFirst(new OutstandingLoan(oldest.lentAt(), oldest.count() - taken));
            }
            left -= taken;
            retired += taken;
        }
        outstanding -= retired;
        return retired;
    }

    /**
     * Lends tokens. A repeated demand gets the answer that it got before, and no new tokens.
     *
     * @param sequence the number of the demand, which increases with each new one
     * @param needed the number of waiting requests
     * @param wanted the number of tokens asked for; tokens beyond {@code needed} are lent only from the upper half of
     *     the bucket
     */
    int lend(HostId host, long sequence, int needed, int wanted, CustomerSpec customer, long now) {
        refill(customer, now);
        Borrower borrower = borrowers.computeIfAbsent(host, _ -> new Borrower());
        if (sequence <= borrower.lastSequence) {
            return sequence == borrower.lastSequence ? (int) borrower.lastLent : 0;
        }
        long available = (long) Math.floor(tokens);
        long aboveHalf = (long) Math.floor(tokens - capacity(customer) / 2);
        long lent =
                Math.clamp(Math.max(Math.min(needed, available), Math.min(wanted, aboveHalf)), 0, Integer.MAX_VALUE);
        borrower.lastSequence = sequence;
        borrower.lastLent = lent;
        if (lent < needed) {
            deniedSinceStats++;
        }
        if (lent > 0) {
            lentSinceStats += lent;
            tokens -= lent;
            outstanding += lent;
            borrower.loans.addLast(new OutstandingLoan(now, lent));
        }
        return (int) lent;
    }

    private static double capacity(CustomerSpec customer) {
        return Math.max(1, customer.burst());
    }

    private void refill(CustomerSpec customer, long now) {
        for (Borrower borrower : borrowers.values()) {
            while (!borrower.loans.isEmpty() && borrower.loans.peekFirst().lentAt() < now - LOAN_EXPIRY_MILLIS) {
                outstanding -= borrower.loans.removeFirst().count();
            }
        }
        if (now > refilledAt) {
            tokens += (now - refilledAt) * customer.ratePerSecond() / MILLIS_PER_SECOND;
            refilledAt = now;
        }
        tokens = Math.max(0, Math.min(tokens, capacity(customer) - outstanding));
    }

    /** Returns the expected time until the next token, in milliseconds. */
    long millisUntilNextToken(CustomerSpec customer, long now) {
        double missing = Math.max(0, 1 - tokens);
        return Math.max(0, refilledAt - now) + (long) Math.ceil(missing * MILLIS_PER_SECOND / customer.ratePerSecond());
    }

    /** Returns the statistics since the last call, and resets them. */
    LendingStats drainStats(CustomerSpec customer) {
        LendingStats stats = new LendingStats(
                customer.name(),
                customer.ratePerSecond(),
                customer.burst(),
                lentSinceStats,
                returnedSinceStats,
                deniedSinceStats,
                tokens,
                outstanding);
        lentSinceStats = 0;
        returnedSinceStats = 0;
        deniedSinceStats = 0;
        return stats;
    }
}
