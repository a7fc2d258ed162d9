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
import org.dragonflymux.core.session.RoleAuthority;

/**
 * Holds the buckets that this host is given, and borrows tokens for the requests that it receives.
 *
 * <p>A request first asks for the customer's reserve in the host's own failure domain, if there is one, and then the
 * fleet's pool.
 */
public final class AdmissionStateMachine {

    /** Tells what became of a request that waited for a token. */
    public interface Listener {

        /** The request has its token. */
        void admitted(long request, Instant now);

        /** The request gets no token. */
        void refused(long request, RefusalReason reason, Duration retryAfter, Instant now);
    }

    private static final Duration FLEET_PATIENCE = Duration.ofMillis(250);
    private static final Duration RESERVE_PATIENCE = Duration.ZERO;
    private static final Duration RESERVE_UNREACHABLE = Duration.ofMillis(200);
    private static final int MAX_OPEN_LOANS = 100_000;

    private record HeldLane(long fence, Instant since) {}

    private record LaneKey(ServiceName pool, TargetId lane) {}

    private record BucketKey(ServiceName pool, CustomerName customer) {}

    private record HeldBucket(long fence, CustomerBucket bucket) {}

    private record BorrowerKey(AdmissionPool pool, CustomerName customer) {}

    private final HostRecord self;
    private final ConfigurationReplica replica;
    private final AdmissionPools allPools;
    private final RouteCache routes;
    private final RoleAuthority authority;
    private final IdSequence numbers;
    private final Outbox outbox;
    private final Listener listener;
    private final Map<BucketKey, HeldBucket> buckets = new HashMap<>();
    private final Map<LaneKey, HeldLane> lanes = new HashMap<>();
    private final Map<BorrowerKey, TokenBorrower> borrowers = new HashMap<>();
    private final Map<Long, BorrowerKey> loans = new HashMap<>();

    private AdmissionStateMachine(
            HostRecord self,
            ConfigurationReplica replica,
            RouteCache routes,
            RoleAuthority authority,
            IdSequence numbers,
            Outbox outbox,
            Listener listener) {
        this.self = self;
        this.replica = replica;
        this.allPools = AdmissionPools.over(replica);
        this.routes = routes;
        this.authority = authority;
        this.numbers = numbers;
        this.outbox = outbox;
        this.listener = listener;
    }

    /** Returns the duty of a host that holds no bucket. */
    public static AdmissionStateMachine of(
            HostRecord self,
            ConfigurationReplica replica,
            RouteCache routes,
            RoleAuthority authority,
            IdSequence numbers,
            Outbox outbox,
            Listener listener) {
        return new AdmissionStateMachine(self, replica, routes, authority, numbers, outbox, listener);
    }

    /** Follows a pool's changed table: remembers since when each lane is held. */
    public void follow(ServiceName pool, Instant now) {
        routes.routes(pool).ifPresent(table -> {
            for (Lane lane : table.table().lanes()) {
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

    /** Returns the names of the pools of which this host holds lanes. */
    public Set<ServiceName> pools() {
        Set<ServiceName> pools = new HashSet<>();
        lanes.keySet().forEach(key -> pools.add(key.pool()));
        return pools;
    }

    /** Takes in a request that needs a token. */
    public void arrive(long request, CustomerDocument customer, Instant now) {
        AdmissionPool own = new AdmissionPool(self.domain());
        arrive(request, customer, own.limit(customer).isPresent() ? own : AdmissionPool.FLEET, now);
    }

    private void arrive(long request, CustomerDocument customer, AdmissionPool pool, Instant now) {
        BorrowerKey key = new BorrowerKey(pool, customer.name());
        Duration patience = pool.equals(AdmissionPool.FLEET) ? FLEET_PATIENCE : RESERVE_PATIENCE;
        TokenBorrower borrower = borrowers.computeIfAbsent(key, _ -> TokenBorrower.withPatience(patience));
        if (borrower.arrive(request, now)) {
            listener.admitted(request, now);
        } else {
            ask(key, customer, borrower, now);
        }
    }

    /** Forgets a request that no longer waits for a token. */
    public void abandon(long request, CustomerName customer) {
        for (AdmissionPool pool : List.of(AdmissionPool.FLEET, new AdmissionPool(self.domain()))) {
            Optional.ofNullable(borrowers.get(new BorrowerKey(pool, customer)))
                    .ifPresent(borrower -> borrower.abandon(request));
        }
    }

    private void ask(BorrowerKey key, CustomerDocument customer, TokenBorrower borrower, Instant now) {
        Optional<RateLimit> limit = key.pool().limit(customer);
        Optional<HostRecord> holder = routes.routes(key.pool().name())
                .flatMap(table -> table.lane(key.pool().lane(customer.name())))
                .flatMap(lane -> replica.host(lane.dispatcher()));
        if (holder.isEmpty() || limit.isEmpty()) {
            return;
        }
        long loan = numbers.next();
        borrower.due(loan, limit.get(), now).ifPresent(question -> {
            loans.put(loan, key);
            PeerMessage.Borrow borrow =
                    new PeerMessage.Borrow(loan, key.pool().name(), customer.name(), question.tokens());
            if (self.host().equals(holder.get().host())) {
                lent(lend(borrow, now), now);
            } else {
                outbox.send(holder.get().peerAddress(), borrow);
            }
        });
    }

    /** Lends tokens, if this host holds the customer's bucket now. */
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
        int lent = held.bucket().lend(borrow.tokens(), limit.get(), now);
        outbox.note(new Observation.TokensLent(borrow.tokens(), lent));
        long nextMillis = held.bucket().nextToken(limit.get()).toMillis();
        return new PeerMessage.Lend(borrow.loan(), lent, nextMillis);
    }

    private Optional<CustomerDocument> customer(CustomerName name) {
        return replica.find(DocumentKey.customer(name), CustomerDocument.class);
    }

    /** Takes in lent tokens. */
    public void lent(PeerMessage.Lend lend, Instant now) {
        BorrowerKey key = loans.remove(lend.loan());
        Optional<CustomerDocument> customer = key == null ? Optional.empty() : customer(key.customer());
        Optional<RateLimit> limit = customer.flatMap(found -> key.pool().limit(found));
        if (limit.isEmpty()) {
            return;
        }
        TokenBorrower borrower = borrowers.get(key);
        if (lend.retryAfterMillis() < 0) {
            borrower.notHolder(lend.loan(), now);
            return;
        }
        Duration nextToken = Duration.ofMillis(lend.retryAfterMillis());
        TokenBorrower.Decision decision = borrower.lent(lend.loan(), lend.tokens(), nextToken, limit.get(), now);
        decision.admitted().forEach(request -> listener.admitted(request, now));
        decision.refused().forEach(request -> denied(request, key, customer.get(), nextToken, now));
        ask(key, customer.get(), borrower, now);
    }

    private void denied(long request, BorrowerKey key, CustomerDocument customer, Duration nextToken, Instant now) {
        if (key.pool().equals(AdmissionPool.FLEET)) {
            listener.refused(request, RefusalReason.RATE_EXCEEDED, nextToken, now);
        } else {
            arrive(request, customer, AdmissionPool.FLEET, now);
        }
    }

    /** Asks again where an answer is overdue. */
    public void tick(Instant now) {
        for (BorrowerKey key : List.copyOf(borrowers.keySet())) {
            customer(key.customer()).ifPresent(customer -> tick(key, customer, now));
        }
        if (loans.size() > MAX_OPEN_LOANS) {
            loans.clear();
        }
    }

    private void tick(BorrowerKey key, CustomerDocument customer, Instant now) {
        TokenBorrower borrower = borrowers.get(key);
        if (!key.pool().equals(AdmissionPool.FLEET)) {
            borrower.overdue(RESERVE_UNREACHABLE, now)
                    .forEach(request -> denied(request, key, customer, Duration.ZERO, now));
        }
        ask(key, customer, borrower, now);
    }

    /**
     * Returns the reports on the lanes that tables give to this host.
     *
     * @param all whether reports on lanes that are simply held are wanted too
     */
    public List<LaneReport> reports(boolean all) {
        List<LaneReport> reports = new ArrayList<>();
        for (AdmissionPool pool : allPools.all()) {
            routes.routes(pool.name())
                    .ifPresent(table -> table.table().lanes().stream()
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
