package org.dragonflymux.core.quota;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.function.ToLongFunction;
import org.dragonflymux.core.desired.CustomerSpec;
import org.dragonflymux.core.name.CustomerName;
import org.dragonflymux.core.name.HostId;

/**
 * The lender of the tokens of the seats that a host holds. It lends for as long as its lease surely holds. A new tenure's
 * buckets are empty and begin to fill only when no token of the tenure before can be used any more.
 */
final class TokenLender {

    private static final long UNKNOWN_CUSTOMER_MILLIS = 100;

    private final HostId self;
    private final Map<Integer, Lending> lendings = new HashMap<>();
    private long lendsUntil = Long.MIN_VALUE;

    private record Lending(long tenure, long since, Map<CustomerName, CustomerLedger> ledgers) {}

    TokenLender(HostId self) {
        this.self = self;
    }

    /**
     * Replaces the seats that this host holds.
     *
     * @param since tells since when nobody else has lent a seat's tokens
     */
    void holds(Collection<LenderPartition> seats, ToLongFunction<LenderPartition> since) {
        Map<Integer, LenderPartition> held = new HashMap<>();
        seats.forEach(seat -> held.put(seat.number(), seat));
        lendings.entrySet().removeIf(entry -> {
            LenderPartition seat = held.get(entry.getKey());
            return seat == null || seat.epoch() != entry.getValue().tenure();
        });
        held.forEach((number, seat) -> lendings.computeIfAbsent(
                number, _ -> new Lending(seat.epoch(), since.applyAsLong(seat), new HashMap<>())));
    }

    /** Takes in until when the lease surely holds. */
    void until(long time) {
        lendsUntil = time;
    }

    /**
     * Answers a borrower.
     *
     * @param customers gives the limits in force here
     * @return the answer, unless none is wanted
     */
    Optional<RateMessage.Lend> asked(
            RateMessage.Ask ask, Function<CustomerName, Optional<CustomerSpec>> customers, long now) {
        List<RateMessage.Loan> loans = new ArrayList<>();
        for (RateMessage.Demand demand : ask.demands()) {
            RateMessage.Loan loan = loan(ask, demand, customers.apply(demand.customer()), now);
            if (demand.sequence() != 0) {
                loans.add(loan);
            }
        }
        return loans.isEmpty()
                ? Optional.empty()
                : Optional.of(new RateMessage.Lend(self, ask.from(), ask.via(), loans));
    }

    private RateMessage.Loan loan(
            RateMessage.Ask ask, RateMessage.Demand demand, Optional<CustomerSpec> spec, long now) {
        CustomerName customer = demand.customer();
        Lending lending = lendings.get(LenderPartition.of(customer));
        if (lending == null || now >= lendsUntil) {
            return new RateMessage.Loan(customer, 0, demand.sequence(), 0, 0);
        }
        if (spec.isEmpty()) {
            return new RateMessage.Loan(customer, lending.tenure(), demand.sequence(), 0, UNKNOWN_CUSTOMER_MILLIS);
        }
        if (!spec.get().limited()) {
            return new RateMessage.Loan(customer, lending.tenure(), demand.sequence(), demand.wanted(), 0);
        }
        CustomerLedger ledger = lending.ledgers()
                .computeIfAbsent(customer, _ -> new CustomerLedger(lending.since() + TokenAccount.USABLE_MILLIS));
        boolean sameTenure = demand.epoch() == lending.tenure();
        ledger.settle(
                ask.from(), ask.incarnation(), sameTenure ? demand.used() : 0, sameTenure ? demand.returned() : 0);
        if (demand.sequence() == 0) {
            return new RateMessage.Loan(customer, lending.tenure(), 0, 0, 0);
        }
        int tokens = ledger.lend(ask.from(), demand.sequence(), demand.needed(), demand.wanted(), spec.get(), now);
        return new RateMessage.Loan(
                customer, lending.tenure(), demand.sequence(), tokens, ledger.nextMillis(spec.get(), now));
    }

    /** Returns what was done with the tokens of limited customers since the last call. */
    List<LendingStats> uses(Function<CustomerName, Optional<CustomerSpec>> customers) {
        List<LendingStats> result = new ArrayList<>();
        for (Lending lending : lendings.values()) {
            lending.ledgers()
                    .forEach((customer, ledger) -> customers
                            .apply(customer)
                            .filter(CustomerSpec::limited)
                            .ifPresent(spec -> result.add(ledger.use(spec))));
        }
        return result;
    }
}
