package org.dragonflymux.core.admission;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;

/**
 * One host's tokens of one customer: borrowed from the bucket's holder within the request's path, and ahead of need for
 * a customer that sends much through this host.
 */
public final class TokenBorrower {

    /** After what time an unanswered question is asked again. */
    public static final Duration QUESTION_TIMEOUT = Duration.ofMillis(150);

    private static final double ARRIVAL_WEIGHT = 0.1;
    private static final int MAX_TOKENS_ASKED = 10_000;

    /** A question to the holder. */
    public record Question(long loan, int tokens) {}

    /**
     * Which waiting requests may go on, and which are refused.
     *
     * @param admitted requests that have their token
     * @param refused requests above the customer's rate
     * @param retryAfter when the next token comes, for the refused
     */
    public record Decision(List<Long> admitted, List<Long> refused, Duration retryAfter) {}

    private final Deque<Long> waiting = new ArrayDeque<>();
    private int stock;
    private Instant stockUntil = Instant.MIN;
    private long openLoan = -1;
    private int waitingWhenAsked;
    private Instant askedAt = Instant.MIN;
    private Instant lastArrival = Instant.MIN;
    private double meanGapSeconds = 1;

    private TokenBorrower() {}

    /** Returns a borrower without tokens. */
    public static TokenBorrower empty() {
        return new TokenBorrower();
    }

    /** Takes in a request; true when it has its token at once, else it waits. */
    public boolean arrive(long request, Instant now) {
        if (!lastArrival.equals(Instant.MIN)) {
            double gap = Duration.between(lastArrival, now).toNanos() / 1e9;
            meanGapSeconds += ARRIVAL_WEIGHT * (gap - meanGapSeconds);
        }
        lastArrival = now;
        if (waiting.isEmpty() && stock > 0 && now.isBefore(stockUntil)) {
            stock--;
            return true;
        }
        waiting.add(request);
        return false;
    }

    /** Returns the question that is due, if any. */
    public Optional<Question> due(long loan, RateLimit limit, Instant now) {
        boolean open = openLoan >= 0 && now.isBefore(askedAt.plus(QUESTION_TIMEOUT));
        if (open || waiting.isEmpty()) {
            return Optional.empty();
        }
        openLoan = loan;
        askedAt = now;
        waitingWhenAsked = waiting.size();
        double expected = limit.loan().toMillis() / 1000.0 / Math.max(meanGapSeconds, 1e-6) / 2;
        int ahead = expected >= 1 ? (int) expected : 0;
        return Optional.of(new Question(loan, Math.min(MAX_TOKENS_ASKED, waitingWhenAsked + ahead)));
    }

    /** Takes in lent tokens; tokens that come too late to be used are thrown away. */
    public Decision lent(long loan, int tokens, Duration retryAfter, RateLimit limit, Instant now) {
        List<Long> admitted = new ArrayList<>();
        List<Long> refused = new ArrayList<>();
        if (loan != openLoan) {
            return new Decision(admitted, refused, retryAfter);
        }
        openLoan = -1;
        Instant usableUntil = askedAt.plus(limit.loan());
        boolean late = !now.isBefore(usableUntil);
        int left = late ? 0 : tokens;
        while (left > 0 && !waiting.isEmpty()) {
            admitted.add(waiting.poll());
            left--;
        }
        stock = left;
        stockUntil = usableUntil;
        if (!late) {
            // Those that were asked for and got no token; later arrivals are asked for next.
            for (int missing = waitingWhenAsked - admitted.size(); missing > 0 && !waiting.isEmpty(); missing--) {
                refused.add(waiting.poll());
            }
        }
        return new Decision(admitted, refused, retryAfter);
    }

    /** Takes in that the asked host does not hold the bucket, so that the question is open again. */
    public void notHolder(long loan) {
        if (loan == openLoan) {
            openLoan = -1;
        }
    }

    /** Removes a request that no longer waits. */
    public void abandon(long request) {
        waiting.remove(request);
    }
}
