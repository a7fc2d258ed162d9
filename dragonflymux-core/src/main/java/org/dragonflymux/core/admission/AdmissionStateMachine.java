package org.dragonflymux.core.admission;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.dragonflymux.core.assignment.LaneReport;
import org.dragonflymux.core.assignment.TargetHealth;
import org.dragonflymux.core.configuration.ConfigurationReplica;
import org.dragonflymux.core.dispatch.RouteCache;
import org.dragonflymux.core.document.CustomerDocument;
import org.dragonflymux.core.document.DocumentKey;
import org.dragonflymux.core.document.HostRecord;
import org.dragonflymux.core.document.Lane;
import org.dragonflymux.core.document.LaneState;
import org.dragonflymux.core.message.IdSequence;
import org.dragonflymux.core.message.Observation;
import org.dragonflymux.core.message.Outbox;
import org.dragonflymux.core.message.PeerMessage;
import org.dragonflymux.core.message.RefusalReason;
import org.dragonflymux.core.name.CustomerName;
import org.dragonflymux.core.name.ServiceName;
import org.dragonflymux.core.name.TargetId;
import org.dragonflymux.core.session.LaneAuthority;

/**
 * Holds the token buckets assigned to this host, and borrows tokens for the requests that it receives.
 *
 * <p>A request takes a token from the customer's reserve in the host's own failure domain, if there is one. Without a
 * reserve, or if the reserve has no token or its holder does not respond, the token comes from the fleet's pool.
 */
public final class AdmissionStateMachine {

    /** Receives the decision on each request that needs a token. */
    public interface Listener {

        /** Called when a request has received its token. */
        void admitted(long request, Instant now);

        /** Called when a request receives no token. */
        void refused(long request, RefusalReason reason, Duration retryAfter, Instant now);
    }

    private static final Duration FLEET_MAX_WAIT = Duration.ofMillis(250);
    private static final Duration RESERVE_MAX_WAIT = Duration.ZERO;
    private static final Duration RESERVE_REPLY_TIMEOUT = Duration.ofMillis(200);
    private static final int MAX_PENDING_LOANS = 100_000;

    private record HeldLane(long fence, Instant since) {}

    private record LaneKey(ServiceName pool, TargetId lane) {}

    private record BucketKey(ServiceName pool, CustomerName customer) {}

    private record HeldBucket(long fence, CustomerBucket bucket) {}

    private record BorrowerKey(AdmissionPool pool, CustomerName customer) {}

    private final HostRecord self;
    private final ConfigurationReplica replica;
    private final AdmissionPools allPools;
    private final RouteCache routeCache;
    private final LaneAuthority authority;
    private final IdSequence ids;
    private final Outbox outbox;
    private final Listener listener;
    private final Map<BucketKey, HeldBucket> buckets = new HashMap<>();
    private final Map<LaneKey, HeldLane> lanes = new HashMap<>();
    private final Map<BorrowerKey, TokenBorrower> borrowers = new HashMap<>();
    private final Map<Long, BorrowerKey> pendingLoans = new HashMap<>();

    private AdmissionStateMachine(
            HostRecord self,
            ConfigurationReplica replica,
            RouteCache routeCache,
            LaneAuthority authority,
            IdSequence ids,
            Outbox outbox,
            Listener listener) {
        this.self = self;
        this.replica = replica;
        this.allPools = AdmissionPools.over(replica);
        this.routeCache = routeCache;
        this.authority = authority;
        this.ids = ids;
        this.outbox = outbox;
        this.listener = listener;
    }

    /** Returns the state machine of a host that holds no bucket. */
    public static AdmissionStateMachine of(
            HostRecord self,
            ConfigurationReplica replica,
            RouteCache routeCache,
            LaneAuthority authority,
            IdSequence ids,
            Outbox outbox,
            Listener listener) {
        return new AdmissionStateMachine(self, replica, routeCache, authority, ids, outbox, listener);
    }

    /** Applies a pool's changed table by recording since when each lane has been held. */
    public void applyTable(ServiceName pool, Instant now) {
        routeCache.routes(pool).ifPresent(routes -> {
            for (Lane lane : routes.table().lanes()) {
                LaneKey key = new LaneKey(pool, lane.target());
                HeldLane known = lanes.get(key);
                boolean mine = self.host().equals(lane.dispatcher()) && lane.state() == LaneState.OPEN;
                if (!mine) {
                    lanes.remove(key);
                } else if (known == null || known.fence() != lane.fence()) {
                    lanes.put(key, new HeldLane(lane.fence(), now));
                }
            }
        });
    }

    /** Returns the names of the pools that this host holds lanes of. */
    public Set<ServiceName> pools() {
        Set<ServiceName> pools = new HashSet<>();
        lanes.keySet().forEach(key -> pools.add(key.pool()));
        return pools;
    }

    /** Obtains a token for a request, from the tokens already borrowed or by a new loan. */
    public void requestToken(long request, CustomerDocument customer, Instant now) {
        AdmissionPool own = new AdmissionPool(self.domain());
        requestToken(request, customer, own.limit(customer).isPresent() ? own : AdmissionPool.FLEET, now);
    }

    private void requestToken(long request, CustomerDocument customer, AdmissionPool pool, Instant now) {
        BorrowerKey key = new BorrowerKey(pool, customer.name());
        Duration maxWait = pool.equals(AdmissionPool.FLEET) ? FLEET_MAX_WAIT : RESERVE_MAX_WAIT;
        TokenBorrower borrower = borrowers.computeIfAbsent(key, _ -> TokenBorrower.withMaxWait(maxWait));
        if (borrower.tryAdmit(request, now)) {
            listener.admitted(request, now);
        } else {
            borrow(key, customer, borrower, now);
        }
    }

    /** Cancels a request's wait for a token. */
    public void cancel(long request, CustomerName customer) {
        for (AdmissionPool pool : List.of(AdmissionPool.FLEET, new AdmissionPool(self.domain()))) {
            Optional.ofNullable(borrowers.get(new BorrowerKey(pool, customer)))
                    .ifPresent(borrower -> borrower.cancel(request));
        }
    }

    private void borrow(BorrowerKey key, CustomerDocument customer, TokenBorrower borrower, Instant now) {
        Optional<RateLimit> limit = key.pool().limit(customer);
        Optional<HostRecord> holder = routeCache
                .routes(key.pool().name())
                .flatMap(routes -> routes.lane(key.pool().lane(customer.name())))
                .flatMap(lane -> replica.host(lane.dispatcher()));
        if (holder.isEmpty() || limit.isEmpty()) {
            return;
        }
        long loan = ids.next();
        borrower.nextRequest(loan, limit.get(), now).ifPresent(loanRequest -> {
            pendingLoans.put(loan, key);
            PeerMessage.Borrow borrow =
                    new PeerMessage.Borrow(loan, key.pool().name(), customer.name(), loanRequest.tokens());
            if (self.host().equals(holder.get().host())) {
                handleLend(lend(borrow, now), now);
            } else {
                outbox.send(holder.get().peerAddress(), borrow);
            }
        });
    }

    /** Lends tokens if this host currently holds the customer's bucket. */
    public PeerMessage.Lend lend(PeerMessage.Borrow borrow, Instant now) {
        Optional<CustomerDocument> customer = customer(borrow.customer());
        Optional<AdmissionPool> pool = customer.flatMap(found -> AdmissionPool.all(List.of(found)).stream()
                .filter(each -> each.name().equals(borrow.pool()))
                .findFirst());
        Optional<RateLimit> limit = pool.flatMap(found -> found.limit(customer.get()));
        HeldLane lane = pool.map(found -> lanes.get(new LaneKey(borrow.pool(), found.lane(borrow.customer()))))
                .orElse(null);
        boolean authorized = now.isBefore(authority.validUntil(borrow.pool()));
        if (limit.isEmpty() || lane == null || !authorized) {
            return new PeerMessage.Lend(borrow.loan(), 0, -1);
        }
        HeldBucket held = buckets.compute(
                new BucketKey(borrow.pool(), borrow.customer()),
                (_, known) -> known != null && known.fence() == lane.fence()
                        ? known
                        : new HeldBucket(lane.fence(), CustomerBucket.emptyAt(lane.since())));
        int lent = held.bucket().take(borrow.tokens(), limit.get(), now);
        outbox.note(new Observation.TokensLent(borrow.tokens(), lent));
        long nextMillis = held.bucket().timeToNextToken(limit.get()).toMillis();
        return new PeerMessage.Lend(borrow.loan(), lent, nextMillis);
    }

    private Optional<CustomerDocument> customer(CustomerName name) {
        return replica.find(DocumentKey.customer(name), CustomerDocument.class);
    }

    /** Handles the reply to a loan request. */
    public void handleLend(PeerMessage.Lend lend, Instant now) {
        BorrowerKey key = pendingLoans.remove(lend.loan());
        Optional<CustomerDocument> customer = key == null ? Optional.empty() : customer(key.customer());
        Optional<RateLimit> limit = customer.flatMap(found -> key.pool().limit(found));
        if (limit.isEmpty()) {
            return;
        }
        TokenBorrower borrower = borrowers.get(key);
        if (lend.retryAfterMillis() < 0) {
            borrower.loanRejected(lend.loan(), now);
            return;
        }
        Duration nextToken = Duration.ofMillis(lend.retryAfterMillis());
        TokenBorrower.Decision decision = borrower.applyLoan(lend.loan(), lend.tokens(), nextToken, limit.get(), now);
        decision.admitted().forEach(request -> listener.admitted(request, now));
        decision.refused().forEach(request -> refuseOrUseFleetPool(request, key, customer.get(), nextToken, now));
        borrow(key, customer.get(), borrower, now);
    }

    private void refuseOrUseFleetPool(
            long request, BorrowerKey key, CustomerDocument customer, Duration nextToken, Instant now) {
        if (key.pool().equals(AdmissionPool.FLEET)) {
            listener.refused(request, RefusalReason.RATE_EXCEEDED, nextToken, now);
        } else {
            requestToken(request, customer, AdmissionPool.FLEET, now);
        }
    }

    /** Repeats overdue loan requests, and moves requests from unresponsive reserves to the fleet's pool. */
    public void tick(Instant now) {
        for (BorrowerKey key : List.copyOf(borrowers.keySet())) {
            customer(key.customer()).ifPresent(customer -> tick(key, customer, now));
        }
        if (pendingLoans.size() > MAX_PENDING_LOANS) {
            pendingLoans.clear();
        }
    }

    private void tick(BorrowerKey key, CustomerDocument customer, Instant now) {
        TokenBorrower borrower = borrowers.get(key);
        if (!key.pool().equals(AdmissionPool.FLEET)) {
            borrower.removeOverdue(RESERVE_REPLY_TIMEOUT, now)
                    .forEach(request -> refuseOrUseFleetPool(request, key, customer, Duration.ZERO, now));
        }
        borrow(key, customer, borrower, now);
    }

    /**
     * Returns reports on the lanes that tables assign to this host.
     *
     * @param all whether to include lanes in state {@code OPEN}
     */
    public List<LaneReport> reports(boolean all) {
        List<LaneReport> reports = new ArrayList<>();
        for (AdmissionPool pool : allPools.all()) {
            routeCache
                    .routes(pool.name())
                    .ifPresent(routes -> routes.table().lanes().stream()
                            .filter(lane -> self.host().equals(lane.dispatcher()))
                            .filter(lane -> all || lane.state() != LaneState.OPEN)
                            .forEach(lane -> reports.add(report(pool, lane))));
        }
        return reports;
    }

    private static LaneReport report(AdmissionPool pool, Lane lane) {
        boolean closed = lane.state() == LaneState.CLOSING;
        return new LaneReport(
                pool.name(), lane.target(), lane.fence(), TargetHealth.READY, closed, List.of(), List.of());
    }
}
