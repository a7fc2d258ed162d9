package org.dragonflymux.core.admission;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.dragonflymux.core.assignment.LaneReport;
import org.dragonflymux.core.assignment.Routes;
import org.dragonflymux.core.assignment.TargetHealth;
import org.dragonflymux.core.configuration.ConfigurationReplica;
import org.dragonflymux.core.dispatch.RouteCache;
import org.dragonflymux.core.document.CustomerDocument;
import org.dragonflymux.core.document.DocumentKey;
import org.dragonflymux.core.document.HostRecord;
import org.dragonflymux.core.document.Lane;
import org.dragonflymux.core.document.LaneState;
import org.dragonflymux.core.message.Numbers;
import org.dragonflymux.core.message.Observation;
import org.dragonflymux.core.message.Outbox;
import org.dragonflymux.core.message.PeerMessage;
import org.dragonflymux.core.message.RefusalReason;
import org.dragonflymux.core.name.CustomerName;
import org.dragonflymux.core.name.HostId;
import org.dragonflymux.core.name.TargetId;
import org.dragonflymux.core.session.DutyAuthority;

/** Holds the buckets that this host is given, and borrows tokens for the requests that it receives. */
public final class AdmissionDuty {

    /** Tells what became of a request that waited for a token. */
    public interface Listener {

        /** The request has its token. */
        void admitted(long request, Instant now);

        /** The request gets no token. */
        void refused(long request, RefusalReason reason, Duration retryAfter, Instant now);
    }

    private record HeldLane(long fence, Instant since) {}

    private record HeldBucket(long fence, CustomerBucket bucket) {}

    private static final int MAX_OPEN_LOANS = 100_000;

    private final HostId self;
    private final ConfigurationReplica replica;
    private final RouteCache routes;
    private final DutyAuthority authority;
    private final Numbers numbers;
    private final Outbox outbox;
    private final Listener listener;
    private final Map<CustomerName, HeldBucket> buckets = new HashMap<>();
    private final Map<TargetId, HeldLane> lanes = new HashMap<>();
    private final Map<CustomerName, TokenBorrower> borrowers = new HashMap<>();
    private final Map<Long, CustomerName> loans = new HashMap<>();

    private AdmissionDuty(
            HostId self,
            ConfigurationReplica replica,
            RouteCache routes,
            DutyAuthority authority,
            Numbers numbers,
            Outbox outbox,
            Listener listener) {
        this.self = self;
        this.replica = replica;
        this.routes = routes;
        this.authority = authority;
        this.numbers = numbers;
        this.outbox = outbox;
        this.listener = listener;
    }

    /** Returns the duty of a host that holds no bucket. */
    public static AdmissionDuty of(
            HostId self,
            ConfigurationReplica replica,
            RouteCache routes,
            DutyAuthority authority,
            Numbers numbers,
            Outbox outbox,
            Listener listener) {
        return new AdmissionDuty(self, replica, routes, authority, numbers, outbox, listener);
    }

    /** Follows a changed table: remembers since when each lane is held. */
    public void follow(Instant now) {
        routes.routes(AdmissionService.NAME).ifPresent(table -> {
            for (Lane lane : table.table().lanes()) {
                HeldLane known = lanes.get(lane.target());
                boolean mine = self.equals(lane.dispatcher()) && lane.state() == LaneState.OPEN;
                if (!mine) {
                    lanes.remove(lane.target());
                } else if (known == null || known.fence() != lane.fence()) {
                    lanes.put(lane.target(), new HeldLane(lane.fence(), now));
                }
            }
        });
    }

    /** Takes in a request that needs a token. */
    public void arrive(long request, CustomerDocument customer, Instant now) {
        TokenBorrower borrower = borrowers.computeIfAbsent(customer.name(), name -> TokenBorrower.empty());
        if (borrower.arrive(request, now)) {
            listener.admitted(request, now);
        } else {
            ask(customer, borrower, now);
        }
    }

    /** Forgets a request that no longer waits for a token. */
    public void abandon(long request, CustomerName customer) {
        Optional.ofNullable(borrowers.get(customer)).ifPresent(borrower -> borrower.abandon(request));
    }

    private void ask(CustomerDocument customer, TokenBorrower borrower, Instant now) {
        RateLimit limit = RateLimit.of(customer);
        long loan = numbers.next();
        Optional<Lane> lane = routes.routes(AdmissionService.NAME)
                .flatMap(table -> table.lane(AdmissionService.lane(customer.name())));
        Optional<HostRecord> holder = lane.flatMap(found -> replica.host(found.dispatcher()));
        if (holder.isEmpty()) {
            return;
        }
        borrower.due(loan, limit, now).ifPresent(question -> {
            loans.put(loan, customer.name());
            PeerMessage.Borrow borrow = new PeerMessage.Borrow(loan, customer.name(), question.tokens());
            if (self.equals(holder.get().host())) {
                lent(lend(borrow, now), now);
            } else {
                outbox.send(holder.get().peerAddress(), borrow);
            }
        });
    }

    /** Lends tokens, if this host holds the customer's bucket now. */
    public PeerMessage.Lend lend(PeerMessage.Borrow borrow, Instant now) {
        Optional<CustomerDocument> customer =
                replica.find(DocumentKey.customer(borrow.customer()), CustomerDocument.class);
        HeldLane lane = lanes.get(AdmissionService.lane(borrow.customer()));
        Instant until = authority.until(
                AdmissionService.NAME, AdmissionService.service().continuity());
        if (customer.isEmpty() || lane == null || !now.isBefore(until)) {
            return new PeerMessage.Lend(borrow.loan(), 0, -1);
        }
        RateLimit limit = RateLimit.of(customer.get());
        HeldBucket held = buckets.compute(
                borrow.customer(),
                (name, known) -> known != null && known.fence() == lane.fence()
                        ? known
                        : new HeldBucket(lane.fence(), CustomerBucket.emptyAt(lane.since())));
        int lent = held.bucket().lend(borrow.tokens(), limit, now);
        outbox.note(new Observation.TokensLent(borrow.tokens(), lent));
        return new PeerMessage.Lend(
                borrow.loan(), lent, held.bucket().nextToken(limit).toMillis());
    }

    /** Takes in lent tokens. */
    public void lent(PeerMessage.Lend lend, Instant now) {
        CustomerName name = loans.remove(lend.loan());
        Optional<CustomerDocument> customer =
                name == null ? Optional.empty() : replica.find(DocumentKey.customer(name), CustomerDocument.class);
        if (customer.isEmpty()) {
            return;
        }
        TokenBorrower borrower = borrowers.get(name);
        if (lend.retryAfterMillis() < 0) {
            borrower.notHolder(lend.loan());
            return;
        }
        RateLimit limit = RateLimit.of(customer.get());
        Duration retryAfter = Duration.ofMillis(lend.retryAfterMillis());
        TokenBorrower.Decision decision = borrower.lent(lend.loan(), lend.tokens(), retryAfter, limit, now);
        decision.admitted().forEach(request -> listener.admitted(request, now));
        decision.refused()
                .forEach(request -> listener.refused(request, RefusalReason.RATE_EXCEEDED, decision.retryAfter(), now));
        ask(customer.get(), borrower, now);
    }

    /** Asks again where an answer is overdue. */
    public void tick(Instant now) {
        borrowers.forEach((name, borrower) -> replica.find(DocumentKey.customer(name), CustomerDocument.class)
                .ifPresent(customer -> ask(customer, borrower, now)));
        if (loans.size() > MAX_OPEN_LOANS) {
            loans.clear();
        }
    }

    /**
     * Returns the reports on the lanes that the table gives to this host.
     *
     * @param all whether reports on lanes that are simply held are wanted too
     */
    public List<LaneReport> reports(boolean all) {
        List<LaneReport> reports = new ArrayList<>();
        Optional<Routes> table = routes.routes(AdmissionService.NAME);
        table.map(found -> found.table().lanes()).orElse(List.of()).stream()
                .filter(lane -> self.equals(lane.dispatcher()))
                .filter(lane -> all || lane.state() != LaneState.OPEN)
                .forEach(lane -> reports.add(new LaneReport(
                        AdmissionService.NAME,
                        lane.target(),
                        lane.fence(),
                        TargetHealth.READY,
                        lane.state() == LaneState.CLOSING,
                        List.of(),
                        List.of())));
        return reports;
    }
}
