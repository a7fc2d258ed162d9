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
 * Lends the tokens of the partitions that a host holds, while its lease is certain to be valid. The buckets of a new epoch
 * start empty, and fill only once all tokens of the previous epoch have expired.
 */
final class TokenLender {

    private static final long UNKNOWN_CUSTOMER_RETRY_MILLIS = 100;

    private final HostId self;
    private final Map<Integer, Lending> lendings = new HashMap<>();
    private long lendsUntil = Long.MIN_VALUE;

    private record Lending(long epoch, long exclusiveSince, Map<CustomerName, CustomerLedger> ledgers) {}

    TokenLender(HostId self) {
        this.self = self;
    }

    /**
     * Replaces the partitions that this host holds.
     *
     * @param exclusiveSince returns the time since which no other lender has lent the tokens of a partition
     */
    void replacePartitions(Collection<LenderPartition> partitions, ToLongFunction<LenderPartition> exclusiveSince) {
        Map<Integer, LenderPartition> held = new HashMap<>();
        partitions.forEach(partition -> held.put(partition.number(), partition));
        lendings.entrySet().removeIf(entry -> {
            LenderPartition partition = held.get(entry.getKey());
            return partition == null || partition.epoch() != entry.getValue().epoch();
        });
        held.forEach((number, partition) -> lendings.computeIfAbsent(
                number, _ -> new Lending(partition.epoch(), exclusiveSince.applyAsLong(partition), new HashMap<>())));
    }

    /** Records the time until which the lease is certain to be valid. */
    void updateLeaseEnd(long leaseEnd) {
        lendsUntil = leaseEnd;
    }

    /**
     * Answers a borrower.
     *
     * @param customers returns the limits that apply at this host
     * @return the answer, or empty if no demand expects one
     */
    Optional<RateMessage.Lend> handleAsk(
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
        Lending lending = lendings.get(LenderPartition.numberOf(customer));
        if (lending == null || now >= lendsUntil) {
            return new RateMessage.Loan(customer, 0, demand.sequence(), 0, 0);
        }
        if (spec.isEmpty()) {
            return new RateMessage.Loan(customer, lending.epoch(), demand.sequence(), 0, UNKNOWN_CUSTOMER_RETRY_MILLIS);
        }
        if (!spec.get().limited()) {
            return new RateMessage.Loan(customer, lending.epoch(), demand.sequence(), demand.wanted(), 0);
        }
        CustomerLedger ledger = lending.ledgers()
                .computeIfAbsent(
                        customer,
                        _ -> new CustomerLedger(lending.exclusiveSince() + TokenAccount.TOKEN_LIFETIME_MILLIS));
        boolean sameEpoch = demand.epoch() == lending.epoch();
        ledger.settle(ask.from(), ask.incarnation(), sameEpoch ? demand.used() : 0, sameEpoch ? demand.returned() : 0);
        if (demand.sequence() == 0) {
            return new RateMessage.Loan(customer, lending.epoch(), 0, 0, 0);
        }
        int tokens = ledger.lend(ask.from(), demand.sequence(), demand.needed(), demand.wanted(), spec.get(), now);
        return new RateMessage.Loan(
                customer, lending.epoch(), demand.sequence(), tokens, ledger.millisUntilNextToken(spec.get(), now));
    }

    /** Returns the statistics of customers with a rate limit since the last call, and resets them. */
    List<LendingStats> drainLendingStats(Function<CustomerName, Optional<CustomerSpec>> customers) {
        List<LendingStats> result = new ArrayList<>();
        for (Lending lending : lendings.values()) {
            lending.ledgers()
                    .forEach((customer, ledger) -> customers
                            .apply(customer)
                            .filter(CustomerSpec::limited)
                            .ifPresent(spec -> result.add(ledger.drainStats(spec))));
        }
        return result;
    }
}
