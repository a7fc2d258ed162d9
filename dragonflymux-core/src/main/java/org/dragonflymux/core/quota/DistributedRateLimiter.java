package org.dragonflymux.core.quota;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.dragonflymux.core.desired.CustomerSpec;
import org.dragonflymux.core.name.CustomerName;
import org.dragonflymux.core.name.HostId;

/**
 * A host's part in customers' rates: it borrows tokens for the requests that come to it, and lends those of the seats that
 * it holds. Times are milliseconds of a clock that goes on while the machine is suspended.
 */
public final class DistributedRateLimiter {

    private static final long PATIENCE_MILLIS = 600;
    private static final long TELL_EVERY_MILLIS = 100;

    private final HostId self;
    private final long incarnation;
    private final long startedAt;
    private final TokenLender lender;
    /** Tenures that followed one of this host's former life, which ended before this life began. */
    private final Set<Long> takenBack = new HashSet<>();

    private final Map<CustomerName, TokenAccount> accounts = new HashMap<>();
    /** The accounts that need a look at each tick. */
    private final Set<TokenAccount> busy = new HashSet<>();

    private final Map<Integer, LenderPartition> seats = new HashMap<>();
    private Map<CustomerName, CustomerSpec> customers = Map.of();
    private List<HostId> relays = List.of();
    private long lease;
    private long lastSequence;
    private long tellAt = Long.MIN_VALUE;
    private List<RateMessage> outbox = new ArrayList<>();

    private DistributedRateLimiter(HostId self, long incarnation, long startedAt) {
        this.self = self;
        this.incarnation = incarnation;
        this.startedAt = startedAt;
        this.lender = new TokenLender(self);
    }

    /**
     * Returns the part of a host's life that knows nothing yet.
     *
     * @param startedAt when this life began, at the latest
     */
    public static DistributedRateLimiter of(HostId self, long incarnation, long startedAt) {
        return new DistributedRateLimiter(self, incarnation, startedAt);
    }

    /** Replaces the customers. */
    public void replaceCustomers(Collection<CustomerSpec> specs) {
        Map<CustomerName, CustomerSpec> byName = new HashMap<>();
        specs.forEach(spec -> byName.put(spec.name(), spec));
        customers = byName;
    }

    /** Replaces the seats that are taken. */
    public void replacePartitions(Collection<LenderPartition> taken, long now) {
        Map<Integer, LenderPartition> before = new HashMap<>(seats);
        seats.clear();
        for (LenderPartition seat : taken) {
            seats.put(seat.number(), seat);
            LenderPartition predecessor = before.get(seat.number());
            if (ofThisLife(seat) && predecessor != null && ofFormerLife(predecessor)) {
                takenBack.add(seat.epoch());
            }
        }
        holds(now);
    }

    private boolean ofThisLife(LenderPartition seat) {
        return seat.holder().host().equals(self) && seat.holder().incarnation() == incarnation;
    }

    private boolean ofFormerLife(LenderPartition seat) {
        return seat.holder().host().equals(self) && seat.holder().incarnation() < incarnation;
    }

    /** Replaces the hosts that may pass a question on. */
    public void replaceMembers(Collection<HostId> members) {
        relays = members.stream().filter(host -> !host.equals(self)).sorted().toList();
    }

    /** Takes in until when this host's lease surely holds. */
    public void updateLease(long present, long until, long now) {
        lender.until(until);
        if (present != lease) {
            lease = present;
            holds(now);
        }
    }

    private void holds(long now) {
        lender.holds(
                seats.values().stream().filter(this::mine).toList(),
                seat -> takenBack.contains(seat.epoch()) ? startedAt : now);
    }

    private boolean mine(LenderPartition seat) {
        return lease != 0 && seat.lease() == lease && ofThisLife(seat);
    }

    /** Returns what is to be sent, once. */
    public List<RateMessage> drainMessages() {
        List<RateMessage> result = outbox;
        outbox = new ArrayList<>();
        return result;
    }

    /** Takes a token out for a request, or has it wait for one; the result may concern other requests too. */
    public List<RateDecision> acquire(CustomerName customer, long request, long now) {
        TokenAccount account = accounts.computeIfAbsent(customer, TokenAccount::new);
        busy.add(account);
        account.arrived(now);
        Optional<Token> token = account.takeStocked(now);
        long dry = account.dryMillis(now);
        List<RateDecision> result = new ArrayList<>();
        if (token.isPresent()) {
            result.add(new RateDecision.Admitted(request, token.get()));
        } else if (dry > 0) {
            result.add(new RateDecision.OverRate(request, dry));
        } else {
            account.park(request, now);
        }
        result.addAll(ask(account, now));
        return result;
    }

    private List<RateDecision> ask(TokenAccount account, long now) {
        LenderPartition seat = seats.get(account.seat());
        if (seat == null) {
            return List.of();
        }
        Optional<HostId> via = account.awaitsLong(now) ? relay(seat.holder().host()) : Optional.empty();
        return account.due(++lastSequence, now)
                .map(demand -> say(seat.holder().host(), via, List.of(demand), now))
                .orElse(List.of());
    }

    private Optional<HostId> relay(HostId lenderHost) {
        if (relays.isEmpty()) {
            return Optional.empty();
        }
        HostId chosen = relays.get((int) (lastSequence % relays.size()));
        return chosen.equals(lenderHost) ? Optional.empty() : Optional.of(chosen);
    }

    private List<RateDecision> say(HostId to, Optional<HostId> via, List<RateMessage.Demand> demands, long now) {
        RateMessage.Ask ask = new RateMessage.Ask(self, incarnation, to, via, demands);
        if (!to.equals(self)) {
            outbox.add(ask);
            return List.of();
        }
        return lender.asked(ask, this::spec, now).map(lend -> lent(lend, now)).orElse(List.of());
    }

    private Optional<CustomerSpec> spec(CustomerName customer) {
        return Optional.ofNullable(customers.get(customer));
    }

    /** Takes in that a token was used. */
    public void used(Token token) {
        account(token).used(token);
    }

    /** Takes back a token that was not used and won't be. */
    public void giveBack(Token token) {
        account(token).giveBack(token.epoch(), 1);
    }

    private TokenAccount account(Token token) {
        TokenAccount account = accounts.get(token.customer());
        busy.add(account);
        return account;
    }

    /** Takes in that a request doesn't wait for a token any more. */
    public void cancel(CustomerName customer, long request) {
        Optional.ofNullable(accounts.get(customer)).ifPresent(account -> account.unpark(request));
    }

    /** Takes in a message; one for another host is passed on. */
    public List<RateDecision> received(RateMessage message, long now) {
        if (!message.to().equals(self)) {
            if (message.via().filter(self::equals).isPresent()) {
                outbox.add(message);
            }
            return List.of();
        }
        return switch (message) {
            case RateMessage.Ask ask -> {
                lender.asked(ask, this::spec, now).ifPresent(outbox::add);
                yield List.of();
            }
            case RateMessage.Lend lend -> lent(lend, now);
        };
    }

    private List<RateDecision> lent(RateMessage.Lend lend, long now) {
        List<RateDecision> result = new ArrayList<>();
        for (RateMessage.Loan loan : lend.loans()) {
            TokenAccount account = accounts.get(loan.customer());
            if (account != null) {
                busy.add(account);
                result.addAll(account.lent(loan, now));
                result.addAll(ask(account, now));
            }
        }
        return result;
    }

    /** Does what is due. */
    public List<RateDecision> tick(long now) {
        List<RateDecision> result = new ArrayList<>();
        for (TokenAccount account : busy) {
            result.addAll(account.overdue(PATIENCE_MILLIS, now));
            result.addAll(ask(account, now));
        }
        if (now >= tellAt) {
            tellAt = now + TELL_EVERY_MILLIS;
            tell(now);
            busy.removeIf(TokenAccount::idle);
        }
        return result;
    }

    private void tell(long now) {
        Map<HostId, List<RateMessage.Demand>> byLender = new HashMap<>();
        for (TokenAccount account : busy) {
            LenderPartition seat = seats.get(account.seat());
            if (seat != null) {
                account.untold(now)
                        .ifPresent(
                                demand -> byLender.computeIfAbsent(seat.holder().host(), _ -> new ArrayList<>())
                                        .add(demand));
            }
        }
        byLender.forEach((host, demands) -> say(host, Optional.empty(), demands, now));
    }

    /** Returns what this host did with the tokens that it lends since the last call. */
    public List<LendingStats> drainLendingStats() {
        return lender.uses(this::spec);
    }
}
