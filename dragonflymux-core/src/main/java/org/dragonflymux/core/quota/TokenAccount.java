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
 * One customer's tokens at a host that borrows them: those in stock, the requests that wait for one, and what became of the
 * tokens of the lender's present tenure.
 */
final class TokenAccount {

    /** For how long a token may be used, from when it was asked for. */
    static final long USABLE_MILLIS = 400;

    private static final long ASK_AGAIN_MILLIS = 80;
    private static final long AHEAD_MILLIS = 200;
    private static final long RATE_WINDOW_MILLIS = 1_000;
    private static final long LONGEST_DRY_MILLIS = 100;
    private static final long NOT_LENDER_PAUSE_MILLIS = 40;
    private static final long NEVER = Long.MIN_VALUE / 2;

    private final CustomerName customer;
    private final int seat;
    private final Deque<Batch> stock = new ArrayDeque<>();
    private final Deque<Parked> parked = new ArrayDeque<>();
    private final Set<Long> unanswered = new HashSet<>();
    private Optional<Question> open = Optional.empty();
    private long tenure;
    private long used;
    private long returned;
    private long told;
    private long lastAskAt = NEVER;
    private long dryUntil = NEVER;
    private long pausedUntil = NEVER;
    private long noStockUntil = NEVER;
    private long arrivedAt = NEVER;
    private double perMilli;

    private record Batch(int count, long tenure, long usableUntil) {}

    private record Parked(long request, long since) {}

    private record Question(long sequence, long at, int needed, int wanted) {}

    TokenAccount(CustomerName customer) {
        this.customer = customer;
        this.seat = LenderPartition.of(customer);
    }

    /** Returns the number of the seat that lends the customer's tokens. */
    int seat() {
        return seat;
    }

    /** Returns whether nothing waits, is in stock, is asked or is still to be told. */
    boolean idle() {
        return parked.isEmpty() && stock.isEmpty() && open.isEmpty() && told == used + returned;
    }

    /** Takes in a request, for the expected need. */
    void arrived(long now) {
        double keep = Math.max(0, 1 - (double) (now - arrivedAt) / RATE_WINDOW_MILLIS);
        perMilli = perMilli * keep + 1.0 / RATE_WINDOW_MILLIS;
        arrivedAt = now;
    }

    /** Takes a token out of the stock. */
    Optional<Token> takeStocked(long now) {
        dropOld(now);
        Batch batch = stock.pollFirst();
        if (batch == null) {
            return Optional.empty();
        }
        if (batch.count() > 1) {
            stock.addFirst(new Batch(batch.count() - 1, batch.tenure(), batch.usableUntil()));
        }
        return Optional.of(new Token(customer, batch.tenure()));
    }

    private void dropOld(long now) {
        while (!stock.isEmpty() && stock.peekFirst().usableUntil() <= now) {
            Batch old = stock.removeFirst();
            giveBack(old.tenure(), old.count());
        }
        open.filter(question -> question.at() + USABLE_MILLIS <= now).ifPresent(question -> {
            unanswered.add(question.sequence());
            open = Optional.empty();
        });
    }

    private int stocked() {
        return stock.stream().mapToInt(Batch::count).sum();
    }

    /** Returns for how long the lender has nothing, in milliseconds. */
    long dryMillis(long now) {
        return parked.isEmpty() ? Math.max(0, dryUntil - now) : 0;
    }

    /** Has a request wait for a token. */
    void park(long request, long now) {
        parked.addLast(new Parked(request, now));
    }

    /** Takes in that a request doesn't wait any more. */
    void unpark(long request) {
        parked.removeIf(each -> each.request() == request);
    }

    /** Takes in that a token was used. */
    void used(Token token) {
        if (token.epoch() == tenure) {
            used++;
        }
    }

    /** Takes in that tokens were not used and won't be. */
    void giveBack(long ofTenure, long count) {
        if (ofTenure == tenure) {
            returned += count;
        }
    }

    /**
     * Returns what is to be asked now, if anything is needed. A question without an answer is asked again under its number,
     * so that the lender doesn't lend twice for one need.
     */
    Optional<RateMessage.Demand> due(long sequence, long now) {
        dropOld(now);
        if (now < pausedUntil || open.isPresent() && now < lastAskAt + ASK_AGAIN_MILLIS) {
            return Optional.empty();
        }
        if (open.isEmpty()) {
            int ahead = (int) (perMilli * AHEAD_MILLIS);
            boolean runsLow = 2 * stocked() < ahead && now >= noStockUntil && now < arrivedAt + AHEAD_MILLIS;
            if (parked.isEmpty() && !runsLow) {
                return Optional.empty();
            }
            int needed = parked.size();
            open = Optional.of(new Question(sequence, now, needed, Math.max(needed, needed + ahead - stocked())));
        }
        lastAskAt = now;
        told = used + returned;
        return open.map(question -> new RateMessage.Demand(
                customer, tenure, question.sequence(), question.needed(), question.wanted(), used, returned));
    }

    /** Returns whether an answer is awaited for longer than usual. */
    boolean awaitsLong(long now) {
        return open.filter(question -> now >= question.at() + ASK_AGAIN_MILLIS).isPresent();
    }

    /** Returns what the lender hasn't been told yet, if anything. */
    Optional<RateMessage.Demand> untold(long now) {
        dropOld(now);
        if (told == used + returned) {
            return Optional.empty();
        }
        told = used + returned;
        return Optional.of(new RateMessage.Demand(customer, tenure, 0, 0, 0, used, returned));
    }

    /** Takes in a loan, and returns what comes of it for the requests that wait. */
    List<RateDecision> lent(RateMessage.Loan loan, long now) {
        Optional<Question> answered = open.filter(question -> question.sequence() == loan.sequence());
        if (answered.isEmpty()) {
            if (unanswered.remove(loan.sequence())) {
                giveBack(loan.epoch(), loan.tokens());
            }
            return List.of();
        }
        open = Optional.empty();
        if (loan.epoch() == 0) {
            pausedUntil = now + NOT_LENDER_PAUSE_MILLIS;
            return List.of();
        }
        Question question = answered.get();
        if (now >= question.at() + USABLE_MILLIS) {
            giveBack(loan.epoch(), loan.tokens());
            return List.of();
        }
        tenure(loan.epoch());
        if (loan.tokens() > 0) {
            return share(loan.tokens(), question.at() + USABLE_MILLIS);
        }
        noStockUntil = now + LONGEST_DRY_MILLIS;
        return question.needed() > 0 ? ranDry(loan, now) : List.of();
    }

    private void tenure(long present) {
        if (present != tenure) {
            tenure = present;
            used = 0;
            returned = 0;
            told = 0;
            unanswered.clear();
        }
    }

    private List<RateDecision> ranDry(RateMessage.Loan loan, long now) {
        long next = Math.max(1, loan.millisUntilNextToken());
        dryUntil = now + Math.min(LONGEST_DRY_MILLIS, next);
        List<RateDecision> result = new ArrayList<>();
        parked.forEach(each -> result.add(new RateDecision.OverRate(each.request(), next)));
        parked.clear();
        return result;
    }

    private List<RateDecision> share(int tokens, long usableUntil) {
        List<RateDecision> result = new ArrayList<>();
        int left = tokens;
        while (left > 0 && !parked.isEmpty()) {
            result.add(new RateDecision.Admitted(parked.removeFirst().request(), new Token(customer, tenure)));
            left--;
        }
        if (left > 0) {
            stock.addLast(new Batch(left, tenure, usableUntil));
        }
        return result;
    }

    /** Removes and returns the requests that have waited for a token for longer than a limit. */
    List<RateDecision> overdue(long limitMillis, long now) {
        List<RateDecision> result = new ArrayList<>();
        while (!parked.isEmpty() && now >= parked.peekFirst().since() + limitMillis) {
            result.add(new RateDecision.NoLender(parked.removeFirst().request()));
        }
        return result;
    }
}
