package org.dragonflymux.core.quota;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.dragonflymux.core.name.CustomerName;

/**
 * One customer's tokens at a borrowing host: the tokens in stock, the requests that wait for a token, and the totals of
 * used and returned tokens in the lender's current epoch.
 */
final class TokenAccount {

    /** How long a token may be used, counted from the time at which it was asked for. */
    static final long TOKEN_LIFETIME_MILLIS = 400;

    private static final long RETRY_INTERVAL_MILLIS = 80;
    private static final long PREFETCH_MILLIS = 200;
    private static final long RATE_WINDOW_MILLIS = 1_000;
    private static final long MAX_EXHAUSTED_MILLIS = 100;
    private static final long NOT_LENDER_PAUSE_MILLIS = 40;
    private static final long NEVER = Long.MIN_VALUE / 2;

    private final CustomerName customer;
    private final int partition;
    private final Deque<Batch> stock = new ArrayDeque<>();
    private final Deque<PendingRequest> pending = new ArrayDeque<>();
    private final Set<Long> unansweredSequences = new HashSet<>();
    private Optional<OpenDemand> openDemand = Optional.empty();
    private long epoch;
    private long used;
    private long returned;
    private long reported;
    private long lastAskAt = NEVER;
    /** When the first demand was sent since the lender's latest answer, which may have been late. */
    private long unansweredSince = Long.MAX_VALUE;

    private long exhaustedUntil = NEVER;
    private long pausedUntil = NEVER;
    private long prefetchPausedUntil = NEVER;
    private long arrivedAt = NEVER;
    private double arrivalsPerMilli;

    private record Batch(int count, long epoch, long usableUntil) {}

    private record PendingRequest(long request, long since) {}

    private record OpenDemand(long sequence, long askedAt, int needed, int wanted) {}

    TokenAccount(CustomerName customer) {
        this.customer = customer;
        this.partition = LenderPartition.numberOf(customer);
    }

    /** Returns the number of the customer's lender partition. */
    int partition() {
        return partition;
    }

    /** Returns whether there are no pending requests, no stock, no open demand and no unreported totals. */
    boolean idle() {
        return pending.isEmpty() && stock.isEmpty() && openDemand.isEmpty() && reported == used + returned;
    }

    /** Returns whether requests wait for a token. */
    boolean hasPendingRequests() {
        return !pending.isEmpty();
    }

    /** Records the arrival of a request in the estimate of the arrival rate. */
    void recordArrival(long now) {
        double keep = Math.max(0, 1 - (double) (now - arrivedAt) / RATE_WINDOW_MILLIS);
        arrivalsPerMilli = arrivalsPerMilli * keep + 1.0 / RATE_WINDOW_MILLIS;
        arrivedAt = now;
    }

    /** Removes and returns a token from the stock, if there is one. */
    Optional<Token> takeStocked(long now) {
        dropExpired(now);
        Batch batch = stock.pollFirst();
        if (batch == null) {
            return Optional.empty();
        }
        if (batch.count() > 1) {
            stock.addFirst(new Batch(batch.count() - 1, batch.epoch(), batch.usableUntil()));
        }
        return Optional.of(new Token(customer, batch.epoch()));
    }

    private void dropExpired(long now) {
        while (!stock.isEmpty() && stock.peekFirst().usableUntil() <= now) {
            Batch expired = stock.removeFirst();
            recordReturned(expired.epoch(), expired.count());
        }
        openDemand
                .filter(demand -> demand.askedAt() + TOKEN_LIFETIME_MILLIS <= now)
                .ifPresent(demand -> {
                    unansweredSequences.add(demand.sequence());
                    openDemand = Optional.empty();
                });
    }

    private int stocked() {
        return stock.stream().mapToInt(Batch::count).sum();
    }

    /** Returns for how long new requests are refused because the lender has no tokens, in milliseconds. */
    long exhaustedMillis(long now) {
        return pending.isEmpty() ? Math.max(0, exhaustedUntil - now) : 0;
    }

    /**
     * Returns whether the lender has been silent for longer than a token could be used. One request then waits, so that the
     * lender is asked again; the others are refused at once.
     */
    boolean lenderSilent(long now) {
        return !pending.isEmpty() && now - TOKEN_LIFETIME_MILLIS >= unansweredSince;
    }

    /** Enqueues a request that waits for a token. */
    void enqueue(long request, long now) {
        pending.addLast(new PendingRequest(request, now));
    }

    /** Removes a request that no longer waits for a token. */
    void cancel(long request) {
        pending.removeIf(each -> each.request() == request);
    }

    /** Records that a token was used. */
    void recordUsed(Token token) {
        if (token.epoch() == epoch) {
            used++;
        }
    }

    /** Records that tokens will not be used. */
    void recordReturned(long ofEpoch, long count) {
        if (ofEpoch == epoch) {
            returned += count;
        }
    }

    /**
     * Returns the demand to send now, if any. An unanswered demand is repeated under its number, so that the lender
     * does not lend twice for the same requests.
     */
    Optional<RateMessage.Demand> dueDemand(long sequence, long now) {
        dropExpired(now);
        if (now < pausedUntil || openDemand.isPresent() && now < lastAskAt + RETRY_INTERVAL_MILLIS) {
            return Optional.empty();
        }
        if (openDemand.isEmpty()) {
            int ahead = (int) (arrivalsPerMilli * PREFETCH_MILLIS);
            boolean runsLow = 2 * stocked() < ahead && now >= prefetchPausedUntil && now < arrivedAt + PREFETCH_MILLIS;
            if (pending.isEmpty() && !runsLow) {
                return Optional.empty();
            }
            int needed = pending.size();
            unansweredSince = Math.min(unansweredSince, now);
            openDemand =
                    Optional.of(new OpenDemand(sequence, now, needed, Math.max(needed, needed + ahead - stocked())));
        }
        lastAskAt = now;
        reported = used + returned;
        return openDemand.map(demand -> new RateMessage.Demand(
                customer, epoch, demand.sequence(), demand.needed(), demand.wanted(), used, returned));
    }

    /** Returns whether the open demand has been unanswered for at least the retry interval. */
    boolean answerOverdue(long now) {
        return openDemand
                .filter(demand -> now >= demand.askedAt() + RETRY_INTERVAL_MILLIS)
                .isPresent();
    }

    /** Returns the totals that have not been reported to the lender yet, if any. */
    Optional<RateMessage.Demand> unreportedTotals(long now) {
        dropExpired(now);
        if (reported == used + returned) {
            return Optional.empty();
        }
        reported = used + returned;
        return Optional.of(new RateMessage.Demand(customer, epoch, 0, 0, 0, used, returned));
    }

    /** Applies a loan, and returns the resulting decisions on pending requests. */
    List<RateDecision> applyLoan(RateMessage.Loan loan, long now) {
        Optional<OpenDemand> answered = openDemand.filter(demand -> demand.sequence() == loan.sequence());
        if (answered.isEmpty()) {
            if (unansweredSequences.remove(loan.sequence())) {
                unansweredSince = Long.MAX_VALUE;
                recordReturned(loan.epoch(), loan.tokens());
            }
            return List.of();
        }
        openDemand = Optional.empty();
        if (loan.epoch() == 0) {
            pausedUntil = now + NOT_LENDER_PAUSE_MILLIS;
            return List.of();
        }
        unansweredSince = Long.MAX_VALUE;
        OpenDemand demand = answered.get();
        if (now >= demand.askedAt() + TOKEN_LIFETIME_MILLIS) {
            recordReturned(loan.epoch(), loan.tokens());
            return List.of();
        }
        updateEpoch(loan.epoch());
        if (loan.tokens() > 0) {
            return distribute(loan.tokens(), demand.askedAt() + TOKEN_LIFETIME_MILLIS);
        }
        prefetchPausedUntil = now + MAX_EXHAUSTED_MILLIS;
        return demand.needed() > 0 ? refusePending(loan, now) : List.of();
    }

    private void updateEpoch(long currentEpoch) {
        if (currentEpoch != epoch) {
            epoch = currentEpoch;
            used = 0;
            returned = 0;
            reported = 0;
            unansweredSequences.clear();
        }
    }

    private List<RateDecision> refusePending(RateMessage.Loan loan, long now) {
        long millisUntilNextToken = Math.max(1, loan.millisUntilNextToken());
        exhaustedUntil = now + Math.min(MAX_EXHAUSTED_MILLIS, millisUntilNextToken);
        List<RateDecision> result = new ArrayList<>();
        pending.forEach(each -> result.add(new RateDecision.OverRate(each.request(), millisUntilNextToken)));
        pending.clear();
        return result;
    }

    private List<RateDecision> distribute(int tokens, long usableUntil) {
        List<RateDecision> result = new ArrayList<>();
        int left = tokens;
        while (left > 0 && !pending.isEmpty()) {
            result.add(new RateDecision.Admitted(pending.removeFirst().request(), new Token(customer, epoch)));
            left--;
        }
        if (left > 0) {
            stock.addLast(new Batch(left, epoch, usableUntil));
        }
        return result;
    }

    /** Removes the requests that have waited for a token for at least the limit, and returns the decisions on them. */
    List<RateDecision> takeOverdue(long limitMillis, long now) {
        List<RateDecision> result = new ArrayList<>();
        while (!pending.isEmpty() && now >= pending.peekFirst().since() + limitMillis) {
            result.add(new RateDecision.NoLender(pending.removeFirst().request()));
        }
        return result;
    }
}
