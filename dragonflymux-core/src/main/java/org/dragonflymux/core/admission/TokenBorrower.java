package org.dragonflymux.core.admission;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;

/**
 * The tokens that one host has borrowed for one customer from one pool. Tokens are requested from the bucket's holder
 * when a request needs one, and in advance for a customer that sends many requests through this host.
 *
 * <p>A request that finds no token waits for one up to a limit before it is refused, because a retry would cost its
 * caller more than the wait.
 */
public final class TokenBorrower {

    /** The time after which an unanswered loan request is repeated. */
    public static final Duration LOAN_REQUEST_TIMEOUT = Duration.ofMillis(150);

    private static final Duration MIN_REQUEST_DELAY = Duration.ofMillis(20);
    private static final Duration MAX_REQUEST_DELAY = Duration.ofMillis(100);
    private static final double INTERARRIVAL_SMOOTHING = 0.1;
    private static final double MIN_INTERARRIVAL_SECONDS = 1e-6;
    private static final double PREFETCH_LOAN_FRACTION = 0.5;
    private static final int MAX_TOKENS_PER_LOAN = 10_000;

    /** A request to the bucket's holder for tokens. */
    public record LoanRequest(long loan, int tokens) {}

    /**
     * The waiting requests that were decided by the reply to a loan request.
     *
     * @param admitted the requests that received a token
     * @param refused the requests that receive no token from this pool
     */
    public record Decision(List<Long> admitted, List<Long> refused) {}

    private record Waiting(long request, Instant since) {}

    private final Duration maxWait;
    private final Deque<Waiting> waiting = new ArrayDeque<>();
    private int availableTokens;
    private Instant availableUntil = Instant.MIN;
    private long pendingLoan = -1;
    private int waitingAtRequest;
    private Instant requestedAt = Instant.MIN;
    private Instant nextRequestAt = Instant.MIN;
    private Instant lastArrival = Instant.MIN;
    private double meanInterarrivalSeconds = 1;

    private TokenBorrower(Duration maxWait) {
        this.maxWait = maxWait;
    }

    /**
     * Returns a borrower without tokens.
     *
     * @param maxWait how long a request waits for a token when the holder has none
     */
    public static TokenBorrower withMaxWait(Duration maxWait) {
        return new TokenBorrower(maxWait);
    }

    /** Returns whether a token is available for a request at once; otherwise the request waits for one. */
    public boolean tryAdmit(long request, Instant now) {
        if (!lastArrival.equals(Instant.MIN)) {
            double interarrival = Duration.between(lastArrival, now).toNanos() / 1e9;
            meanInterarrivalSeconds += INTERARRIVAL_SMOOTHING * (interarrival - meanInterarrivalSeconds);
        }
        lastArrival = now;
        if (waiting.isEmpty() && availableTokens > 0 && now.isBefore(availableUntil)) {
            availableTokens--;
            return true;
        }
        waiting.add(new Waiting(request, now));
        return false;
    }

    /** Returns the loan request that is due, if any. */
    public Optional<LoanRequest> nextRequest(long loan, RateLimit limit, Instant now) {
        boolean pending = pendingLoan >= 0 && now.isBefore(requestedAt.plus(LOAN_REQUEST_TIMEOUT));
        if (pending || waiting.isEmpty() || now.isBefore(nextRequestAt)) {
            return Optional.empty();
        }
        pendingLoan = loan;
        requestedAt = now;
        waitingAtRequest = waiting.size();
        double seconds = limit.loanDuration().toMillis() / 1000.0 * PREFETCH_LOAN_FRACTION;
        int prefetched = (int) (seconds / Math.max(meanInterarrivalSeconds, MIN_INTERARRIVAL_SECONDS));
        return Optional.of(new LoanRequest(loan, Math.min(MAX_TOKENS_PER_LOAN, waitingAtRequest + prefetched)));
    }

    /** Applies a reply with lent tokens. Tokens whose loan has already expired are discarded. */
    public Decision applyLoan(long loan, int tokens, Duration nextToken, RateLimit limit, Instant now) {
        List<Long> admitted = new ArrayList<>();
        List<Long> refused = new ArrayList<>();
        if (loan != pendingLoan) {
            return new Decision(admitted, refused);
        }
        pendingLoan = -1;
        Instant usableUntil = requestedAt.plus(limit.loanDuration());
        boolean late = !now.isBefore(usableUntil);
        int remaining = late ? 0 : tokens;
        while (remaining > 0 && !waiting.isEmpty()) {
            admitted.add(waiting.poll().request());
            remaining--;
        }
        availableTokens = remaining;
        availableUntil = usableUntil;
        boolean denied = !late && admitted.size() < waitingAtRequest;
        if (denied) {
            while (!waiting.isEmpty() && !now.isBefore(waiting.peek().since().plus(maxWait))) {
                refused.add(waiting.poll().request());
            }
            nextRequestAt = now.plus(clamp(nextToken));
        }
        return new Decision(admitted, refused);
    }

    private static Duration clamp(Duration delay) {
        if (delay.compareTo(MIN_REQUEST_DELAY) < 0) {
            return MIN_REQUEST_DELAY;
        }
        return delay.compareTo(MAX_REQUEST_DELAY) > 0 ? MAX_REQUEST_DELAY : delay;
    }

    /**
     * Records that the host that was asked does not hold the bucket, so that the next loan request follows after a
     * delay.
     */
    public void loanRejected(long loan, Instant now) {
        if (loan == pendingLoan) {
            pendingLoan = -1;
            nextRequestAt = now.plus(MIN_REQUEST_DELAY);
        }
    }

    /** Removes and returns the requests that have waited for at least the given time. */
    public List<Long> removeOverdue(Duration limit, Instant now) {
        List<Long> overdue = new ArrayList<>();
        while (!waiting.isEmpty() && !now.isBefore(waiting.peek().since().plus(limit))) {
            overdue.add(waiting.poll().request());
        }
        return overdue;
    }

    /** Removes a request from the waiting requests. */
    public void cancel(long request) {
        waiting.removeIf(entry -> entry.request() == request);
    }
}
