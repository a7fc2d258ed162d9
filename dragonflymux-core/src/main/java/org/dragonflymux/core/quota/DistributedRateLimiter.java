package org.dragonflymux.core.quota;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.dragonflymux.core.desired.CustomerSpec;
import org.dragonflymux.core.membership.MembershipStateMachine;
import org.dragonflymux.core.membership.StoreEpoch;
import org.dragonflymux.core.name.CustomerName;
import org.dragonflymux.core.name.HostId;

/**
 * One host's side of the rate limits that apply across all hosts. It borrows tokens for the requests that arrive at
 * this host, and lends the tokens of the lender partitions that this host holds. Times are milliseconds of a clock that
 * keeps running while the machine is suspended.
 */
public final class DistributedRateLimiter {

    private static final long MAX_TOKEN_WAIT_MILLIS = 600;
    private static final long USAGE_REPORT_INTERVAL_MILLIS = 100;
    private static final long NEVER = Long.MIN_VALUE / 2;

    private final HostId self;
    private final long incarnation;
    private final long startedAt;
    private final TokenLender lender;
    /**
     * Since when this host has known the claims of all hosts; those of the first read may be older than this incarnation. Claims
     * of several partitions at once have the same epoch.
     */
    private final Map<LenderPartition, Long> knownSince = new HashMap<>();

    private boolean partitionsRead;
    /** The highest epoch of the store that a partition was claimed in, and since when it has been known to follow another one. */
    private long storeEpoch = -1;

    private long restoreKnownSince = NEVER;
    /** The partitions whose only lender this host was until the store came back, as its lease was still certain to be valid. */
    private final Set<Integer> heldThroughRestore = new HashSet<>();

    private KnownLease presentLease = new KnownLease(0, NEVER);
    private KnownLease previousLease = presentLease;
    /**
     * The partitions taken over from an earlier incarnation of this host, and since when no other host can have lent tokens of
     * them: the start of this incarnation, or the first sight of the earlier claim if another host had the partition before it.
     */
    private final Map<LenderPartition, Long> reclaimedSince = new HashMap<>();

    private final Map<CustomerName, TokenAccount> accounts = new HashMap<>();
    /** The accounts to process on each tick. */
    private final Set<TokenAccount> activeAccounts = new HashSet<>();

    private final Map<Integer, LenderPartition> partitions = new HashMap<>();
    private Map<CustomerName, CustomerSpec> customers = Map.of();
    private List<HostId> relays = List.of();
    private long lease;
    private long lastSequence;
    private long nextUsageReportAt = Long.MIN_VALUE;
    private List<RateMessage> outbox = new ArrayList<>();

    /** A lease of this host, and until when it was certain to be valid. */
    private record KnownLease(long lease, long until) {}

    private DistributedRateLimiter(HostId self, long incarnation, long startedAt) {
        this.self = self;
        this.incarnation = incarnation;
        this.startedAt = startedAt;
        this.lender = new TokenLender(self);
    }

    /**
     * Returns a rate limiter without customers, partitions or members.
     *
     * @param startedAt the latest time at which this incarnation can have started
     */
    public static DistributedRateLimiter of(HostId self, long incarnation, long startedAt) {
        return new DistributedRateLimiter(self, incarnation, startedAt);
    }

    public void replaceCustomers(Collection<CustomerSpec> specs) {
        Map<CustomerName, CustomerSpec> byName = new HashMap<>();
        specs.forEach(spec -> byName.put(spec.name(), spec));
        customers = byName;
    }

    /** Replaces the partitions that are held by any host. */
    public void replacePartitions(Collection<LenderPartition> held, long now) {
        noteRestores(held, now);
        Map<Integer, LenderPartition> previous = new HashMap<>(partitions);
        partitions.clear();
        for (LenderPartition partition : held) {
            partitions.put(partition.number(), partition);
            LenderPartition predecessor = previous.get(partition.number());
            if (heldByThisIncarnation(partition) && predecessor != null && heldByEarlierIncarnation(predecessor)) {
                reclaimedSince.put(partition, knownSince.get(predecessor));
            }
            knownSince.putIfAbsent(partition, partitionsRead ? now : startedAt);
        }
        partitionsRead = true;
        knownSince.keySet().retainAll(partitions.values());
        reclaimedSince.keySet().retainAll(partitions.values());
        updateHeldPartitions(now);
    }

    /**
     * Notes whether the store came back from a copy. A lender may not know that yet, and its record may be lost: it lends until
     * its lease would have ended.
     */
    private void noteRestores(Collection<LenderPartition> held, long now) {
        long readIn = held.stream()
                .mapToLong(partition -> StoreEpoch.of(partition.epoch()))
                .max()
                .orElse(-1);
        boolean holdsEarlierClaims = held.stream()
                .anyMatch(partition -> StoreEpoch.of(partition.lease()) < StoreEpoch.of(partition.epoch()));
        if (readIn > storeEpoch) {
            // A host that still waits for the lenders of an earlier restore isn't the only one that may lend.
            Set<Integer> heldNow = storeEpoch >= 0 && readIn == storeEpoch + 1
                    ? partitions.values().stream()
                            .filter(partition ->
                                    heldUnderKnownLease(partition, now) && noOtherLenderSince(partition) <= now)
                            .map(LenderPartition::number)
                            .collect(Collectors.toSet())
                    : Set.of();
            heldThroughRestore.clear();
            heldThroughRestore.addAll(heldNow);
            restoreKnownSince = storeEpoch >= 0 || holdsEarlierClaims ? now : restoreKnownSince;
            storeEpoch = readIn;
        }
    }

    private boolean heldUnderKnownLease(LenderPartition partition, long now) {
        return heldByThisIncarnation(partition)
                && Stream.of(presentLease, previousLease)
                        .anyMatch(known -> known.lease() == partition.lease() && now < known.until());
    }

    private boolean heldByThisIncarnation(LenderPartition partition) {
        return partition.holder().host().equals(self) && partition.holder().incarnation() == incarnation;
    }

    private boolean heldByEarlierIncarnation(LenderPartition partition) {
        return partition.holder().host().equals(self) && partition.holder().incarnation() < incarnation;
    }

    /** Replaces the hosts that can relay messages. */
    public void replaceMembers(Collection<HostId> members) {
        relays = members.stream().filter(host -> !host.equals(self)).sorted().toList();
    }

    /** Records this host's lease and the time until which it is certain to be valid. */
    public void updateLease(long currentLease, long until, long now) {
        lender.updateLeaseEnd(until);
        if (currentLease != 0) {
            previousLease = currentLease == presentLease.lease() ? previousLease : presentLease;
            presentLease = new KnownLease(currentLease, until);
        }
        if (currentLease != lease) {
            lease = currentLease;
            updateHeldPartitions(now);
        }
    }

    private void updateHeldPartitions(long now) {
        lender.replacePartitions(
                partitions.values().stream().filter(this::heldUnderCurrentLease).toList(),
                partition -> Math.max(reclaimedSince.getOrDefault(partition, now), noOtherLenderSince(partition)));
    }

    /** Returns since when no lender of an earlier epoch of the store has lent the tokens of a partition. */
    private long noOtherLenderSince(LenderPartition partition) {
        return heldThroughRestore.contains(partition.number())
                ? restoreKnownSince
                : restoreKnownSince + MembershipStateMachine.LEASE_MILLIS;
    }

    private boolean heldUnderCurrentLease(LenderPartition partition) {
        return lease != 0 && partition.lease() == lease && heldByThisIncarnation(partition);
    }

    /** Removes and returns the messages to be sent. */
    public List<RateMessage> drainMessages() {
        List<RateMessage> result = outbox;
        outbox = new ArrayList<>();
        return result;
    }

    /** Takes a token for a request, or enqueues the request; the decisions may concern other requests too. */
    public List<RateDecision> acquire(CustomerName customer, long request, long now) {
        TokenAccount account = accounts.computeIfAbsent(customer, TokenAccount::new);
        activeAccounts.add(account);
        account.recordArrival(now);
        Optional<Token> token = account.takeStocked(now);
        long exhaustedMillis = account.exhaustedMillis(now);
        List<RateDecision> result = new ArrayList<>();
        if (token.isPresent()) {
            result.add(new RateDecision.Admitted(request, token.get()));
        } else if (exhaustedMillis > 0) {
            result.add(new RateDecision.OverRate(request, exhaustedMillis));
        } else if (account.lenderSilent(now)) {
            result.add(new RateDecision.NoLender(request));
        } else {
            account.enqueue(request, now);
        }
        result.addAll(sendDueDemand(account, now));
        return result;
    }

    private List<RateDecision> sendDueDemand(TokenAccount account, long now) {
        LenderPartition partition = partitions.get(account.partition());
        if (partition == null) {
            return List.of();
        }
        Optional<HostId> via =
                account.answerOverdue(now) ? chooseRelay(partition.holder().host()) : Optional.empty();
        return account.dueDemand(++lastSequence, now)
                .map(demand -> sendAsk(partition.holder().host(), via, List.of(demand), now))
                .orElse(List.of());
    }

    private Optional<HostId> chooseRelay(HostId lenderHost) {
        if (relays.isEmpty()) {
            return Optional.empty();
        }
        HostId chosen = relays.get((int) (lastSequence % relays.size()));
        return chosen.equals(lenderHost) ? Optional.empty() : Optional.of(chosen);
    }

    private List<RateDecision> sendAsk(HostId to, Optional<HostId> via, List<RateMessage.Demand> demands, long now) {
        RateMessage.Ask ask = new RateMessage.Ask(self, incarnation, to, via, demands);
        if (!to.equals(self)) {
            outbox.add(ask);
            return List.of();
        }
        return lender.handleAsk(ask, this::spec, now)
                .map(lend -> applyLoans(lend, now))
                .orElse(List.of());
    }

    private Optional<CustomerSpec> spec(CustomerName customer) {
        return Optional.ofNullable(customers.get(customer));
    }

    /** Returns whether requests wait for a token. */
    public boolean hasPendingRequests() {
        return activeAccounts.stream().anyMatch(TokenAccount::hasPendingRequests);
    }

    /** Records that a token was used. */
    public void recordUsed(Token token) {
        account(token).recordUsed(token);
    }

    /** Records that a token will not be used. */
    public void recordReturned(Token token) {
        account(token).recordReturned(token.epoch(), 1);
    }

    private TokenAccount account(Token token) {
        TokenAccount account = accounts.get(token.customer());
        activeAccounts.add(account);
        return account;
    }

    /** Removes a request that no longer waits for a token. */
    public void cancel(CustomerName customer, long request) {
        Optional.ofNullable(accounts.get(customer)).ifPresent(account -> account.cancel(request));
    }

    /** Handles a message; a message for another host is forwarded if this host is its relay, and dropped otherwise. */
    public List<RateDecision> messageReceived(RateMessage message, long now) {
        if (!message.to().equals(self)) {
            if (message.via().filter(self::equals).isPresent()) {
                outbox.add(message);
            }
            return List.of();
        }
        return switch (message) {
            case RateMessage.Ask ask -> {
                lender.handleAsk(ask, this::spec, now).ifPresent(outbox::add);
                yield List.of();
            }
            case RateMessage.Lend lend -> applyLoans(lend, now);
        };
    }

    private List<RateDecision> applyLoans(RateMessage.Lend lend, long now) {
        List<RateDecision> result = new ArrayList<>();
        for (RateMessage.Loan loan : lend.loans()) {
            TokenAccount account = accounts.get(loan.customer());
            if (account != null) {
                activeAccounts.add(account);
                result.addAll(account.applyLoan(loan, now));
                result.addAll(sendDueDemand(account, now));
            }
        }
        return result;
    }

    /** Ends requests that have waited too long, sends due demands, and reports usage to the lenders. */
    public List<RateDecision> tick(long now) {
        List<RateDecision> result = new ArrayList<>();
        for (TokenAccount account : activeAccounts) {
            result.addAll(account.takeOverdue(MAX_TOKEN_WAIT_MILLIS, now));
            result.addAll(sendDueDemand(account, now));
        }
        if (now >= nextUsageReportAt) {
            nextUsageReportAt = now + USAGE_REPORT_INTERVAL_MILLIS;
            reportUsage(now);
            activeAccounts.removeIf(TokenAccount::idle);
        }
        return result;
    }

    private void reportUsage(long now) {
        Map<HostId, List<RateMessage.Demand>> byLender = new HashMap<>();
        for (TokenAccount account : activeAccounts) {
            LenderPartition partition = partitions.get(account.partition());
            if (partition != null) {
                account.unreportedTotals(now)
                        .ifPresent(demand -> byLender.computeIfAbsent(
                                        partition.holder().host(), _ -> new ArrayList<>())
                                .add(demand));
            }
        }
        byLender.forEach((host, demands) -> sendAsk(host, Optional.empty(), demands, now));
    }

    /** Returns the statistics of this host's lending since the last call, and resets them. */
    public List<LendingStats> drainLendingStats() {
        return lender.drainLendingStats(this::spec);
    }
}
