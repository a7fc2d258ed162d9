package org.dragonflymux.core.admission;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;

/**
 * One host's tokens of one customer out of one pool: borrowed from the bucket's holder within the request's path, and
 * ahead of need for a customer that sends much through this host.
 *
 * <p>A request that finds no token waits a little for one before it is refused, since a repeat would cost its caller more.
 */
public final class TokenBorrower {

    /** After what time an unanswered question is asked again. */
    public static final Duration QUESTION_TIMEOUT = Duration.ofMillis(150);

    private static final Duration MIN_PAUSE = Duration.ofMillis(20);
    private static final Duration MAX_PAUSE = Duration.ofMillis(100);
    private static final double ARRIVAL_WEIGHT = 0.1;
    private static final double MIN_GAP_SECONDS = 1e-6;
    private static final double PREFETCHED_LOANS = 0.5;
    private static final int MAX_TOKENS_ASKED = 10_000;

    /** A question to the holder. */
    public record Question(long loan, int tokens) {}

    /**
     * Which waiting requests may go on, and which get no token here.
     *
     * @param admitted requests that have their token
     * @param refused requests above the limit
     */
    public record Decision(List<Long> admitted, List<Long> refused) {}

    private record Waiting(long request, Instant since) {}

    private final Duration patience;
    private final Deque<Waiting> waiting = new ArrayDeque<>();
    private int stock;
    private Instant stockUntil = Instant.MIN;
    private long openLoan = -1;
    private int waitingWhenAsked;
    private Instant askedAt = Instant.MIN;
    private Instant nextQuestion = Instant.MIN;
    private Instant lastArrival = Instant.MIN;
    private double meanGapSeconds = 1;

    private TokenBorrower(Duration patience) {
        this.patience = patience;
    }

    /**
     * Returns a borrower without tokens.
     *
     * @param patience how long a request waits for a token that the holder does not have
     */
    public static TokenBorrower withPatience(Duration patience) {
        return new TokenBorrower(patience);
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
        waiting.add(new Waiting(request, now));
        return false;
    }

    /** Returns the question that is due, if any. */
    public Optional<Question> due(long loan, RateLimit limit, Instant now) {
        boolean open = openLoan >= 0 && now.isBefore(askedAt.plus(QUESTION_TIMEOUT));
        if (open || waiting.isEmpty() || now.isBefore(nextQuestion)) {
            return Optional.empty();
        }
        openLoan = loan;
        askedAt = now;
        waitingWhenAsked = waiting.size();
        double seconds = limit.loan().toMillis() / 1000.0 * PREFETCHED_LOANS;
        int ahead = (int) (seconds / Math.max(meanGapSeconds, MIN_GAP_SECONDS));
        return Optional.of(new Question(loan, Math.min(MAX_TOKENS_ASKED, waitingWhenAsked + ahead)));
    }

    /** Takes in lent tokens; tokens that come too late to be used are thrown away. */
    public Decision lent(long loan, int tokens, Duration nextToken, RateLimit limit, Instant now) {
        List<Long> admitted = new ArrayList<>();
        List<Long> refused = new ArrayList<>();
        if (loan != openLoan) {
            return new Decision(admitted, refused);
        }
        openLoan = -1;
        Instant usableUntil = askedAt.plus(limit.loan());
        boolean late = !now.isBefore(usableUntil);
        int left = late ? 0 : tokens;
        while (left > 0 && !waiting.isEmpty()) {
            admitted.add(waiting.poll().request());
            left--;
        }
        stock = left;
        stockUntil = usableUntil;
        boolean denied = !late && admitted.size() < waitingWhenAsked;
        if (denied) {
            while (!waiting.isEmpty() && !now.isBefore(waiting.peek().since().plus(patience))) {
                refused.add(waiting.poll().request());
            }
            nextQuestion = now.plus(clamp(nextToken));
        }
        return new Decision(admitted, refused);
    }

    private static Duration clamp(Duration pause) {
        if (pause.compareTo(MIN_PAUSE) < 0) {
            return MIN_PAUSE;
        }
        return pause.compareTo(MAX_PAUSE) > 0 ? MAX_PAUSE : pause;
    }

    /** Takes in that the asked host does not hold the bucket, so that another may be asked after a pause. */
    public void notHolder(long loan, Instant now) {
        if (loan == openLoan) {
            openLoan = -1;
            nextQuestion = now.plus(MIN_PAUSE);
        }
    }

    /** Removes and returns the requests that have waited for longer than a limit. */
    public List<Long> overdue(Duration limit, Instant now) {
        List<Long> overdue = new ArrayList<>();
        while (!waiting.isEmpty() && !now.isBefore(waiting.peek().since().plus(limit))) {
            overdue.add(waiting.poll().request());
        }
        return overdue;
    }

    /** Removes a request that no longer waits. */
    public void abandon(long request) {
        waiting.removeIf(entry -> entry.request() == request);
    }
}
