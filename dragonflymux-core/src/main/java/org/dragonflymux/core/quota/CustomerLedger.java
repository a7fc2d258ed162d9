package org.dragonflymux.core.quota;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import org.dragonflymux.core.desired.CustomerSpec;
import org.dragonflymux.core.name.HostId;

/**
 * One customer's tokens at their lender: those in the bucket, and those that are outstanding at hosts. Both together never
 * exceed the burst.
 */
final class CustomerLedger {

    private static final double MILLIS_PER_SECOND = 1000;
    /** A token of which nothing is heard for this time counts as used. */
    private static final long WRITTEN_OFF_AFTER_MILLIS = 2_000;

    private final Map<HostId, Borrower> borrowers = new HashMap<>();
    private double tokens;
    private double outstanding;
    private long filledAt;
    private long lentSinceUse;
    private long givenBackSinceUse;
    private long deniedSinceUse;

    private static final class Borrower {
        private long incarnation;
        private long used;
        private long returned;
        private long lastSequence;
        private long lastLent;
        private final Deque<Lent> lent = new ArrayDeque<>();
    }

    private record Lent(long at, long count) {}

    /**
     * Creates an empty bucket.
     *
     * @param fillsFrom when it begins to fill
     */
    CustomerLedger(long fillsFrom) {
        filledAt = fillsFrom;
    }

    /** Takes in what became of a borrower's tokens, as totals of its life. */
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
        long back = retire(borrower, returned - borrower.returned);
        tokens += back;
        givenBackSinceUse += back;
        borrower.used = Math.max(borrower.used, used);
        borrower.returned = Math.max(borrower.returned, returned);
    }

    /** Takes a borrower's oldest tokens off those outstanding, and returns how many there were. */
    private long retire(Borrower borrower, long count) {
        long left = Math.max(0, count);
        long retired = 0;
        while (left > 0 && !borrower.lent.isEmpty()) {
            Lent oldest = borrower.lent.removeFirst();
            long taken = Math.min(left, oldest.count());
            if (taken < oldest.count()) {
                borrower.lent.addFirst(new Lent(oldest.at(), oldest.count() - taken));
            }
            left -= taken;
            retired += taken;
        }
        outstanding -= retired;
        return retired;
    }

    /**
     * Lends tokens; a question that was answered before gets the same answer, and no new tokens.
     *
     * @param sequence the question's number, which grows
     * @param needed how many requests wait
     * @param wanted how many are welcome; those beyond the needed ones are lent out of the fuller half of the bucket only
     */
    int lend(HostId host, long sequence, int needed, int wanted, CustomerSpec customer, long now) {
        fill(customer, now);
        Borrower borrower = borrowers.computeIfAbsent(host, _ -> new Borrower());
        if (sequence <= borrower.lastSequence) {
            return sequence == borrower.lastSequence ? (int) borrower.lastLent : 0;
        }
        long whole = (long) Math.floor(tokens);
        long spare = (long) Math.floor(tokens - capacity(customer) / 2);
        long lent = Math.clamp(Math.max(Math.min(needed, whole), Math.min(wanted, spare)), 0, Integer.MAX_VALUE);
        borrower.lastSequence = sequence;
        borrower.lastLent = lent;
        if (lent < needed) {
            deniedSinceUse++;
        }
        if (lent > 0) {
            lentSinceUse += lent;
            tokens -= lent;
            outstanding += lent;
            borrower.lent.addLast(new Lent(now, lent));
        }
        return (int) lent;
    }

    private static double capacity(CustomerSpec customer) {
        return Math.max(1, customer.burst());
    }

    private void fill(CustomerSpec customer, long now) {
        for (Borrower borrower : borrowers.values()) {
            while (!borrower.lent.isEmpty() && borrower.lent.peekFirst().at() < now - WRITTEN_OFF_AFTER_MILLIS) {
                outstanding -= borrower.lent.removeFirst().count();
            }
        }
        if (now > filledAt) {
            tokens += (now - filledAt) * customer.ratePerSecond() / MILLIS_PER_SECOND;
            filledAt = now;
        }
        tokens = Math.max(0, Math.min(tokens, capacity(customer) - outstanding));
    }

    /** Returns after what time the next token is expected, in milliseconds. */
    long nextMillis(CustomerSpec customer, long now) {
        double missing = Math.max(0, 1 - tokens);
        return Math.max(0, filledAt - now) + (long) Math.ceil(missing * MILLIS_PER_SECOND / customer.ratePerSecond());
    }

    /** Returns what was done since the last call. */
    LendingStats use(CustomerSpec customer) {
        LendingStats use = new LendingStats(
                customer.name(),
                customer.ratePerSecond(),
                customer.burst(),
                lentSinceUse,
                givenBackSinceUse,
                deniedSinceUse,
                tokens,
                outstanding);
        lentSinceUse = 0;
        givenBackSinceUse = 0;
        deniedSinceUse = 0;
        return use;
    }
}
