package org.dragonflymux.core.host;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.dragonflymux.core.admission.AdmissionPool;
import org.dragonflymux.core.admission.AdmissionStateMachine;
import org.dragonflymux.core.assignment.AssignmentStateMachine;
import org.dragonflymux.core.assignment.AssignmentWriter;
import org.dragonflymux.core.assignment.LaneReport;
import org.dragonflymux.core.configuration.ConfigurationReplica;
import org.dragonflymux.core.dispatch.DispatchStateMachine;
import org.dragonflymux.core.dispatch.RouteCache;
import org.dragonflymux.core.document.AssignmentTable;
import org.dragonflymux.core.document.DocumentKey;
import org.dragonflymux.core.document.HostRecord;
import org.dragonflymux.core.document.ServiceDocument;
import org.dragonflymux.core.gossip.ReplicaSync;
import org.dragonflymux.core.ingress.IngressStateMachine;
import org.dragonflymux.core.message.Effect;
import org.dragonflymux.core.message.Event;
import org.dragonflymux.core.message.IdSequence;
import org.dragonflymux.core.message.Outbox;
import org.dragonflymux.core.message.PeerMessage;
import org.dragonflymux.core.message.StoreCall;
import org.dragonflymux.core.message.StoreReply;
import org.dragonflymux.core.name.HostId;
import org.dragonflymux.core.name.ServiceName;
import org.dragonflymux.core.quarantine.CrashTracker;
import org.dragonflymux.core.session.HostAuthority;
import org.dragonflymux.core.session.LaneAuthority;
import org.dragonflymux.core.session.SessionManager;
import org.dragonflymux.core.session.StoreCallTracker;

/**
 * An entry host as one deterministic state machine that maps events to effects.
 *
 * <p>It performs no I/O, starts no threads and reads no clock. The same events at the same instants with the same
 * random numbers produce the same effects. This class is not thread-safe.
 */
public final class EntryHost {

    /** The interval between {@link Event.Tick} events. */
    public static final Duration TICK = Duration.ofMillis(20);

    private static final Duration REPORT_INTERVAL = Duration.ofSeconds(1);
    private static final Duration REPORT_CHANGES_INTERVAL = Duration.ofMillis(100);

    private final HostId self;
    private final IdSequence ids = IdSequence.fromOne();
    private final Outbox outbox = Outbox.empty();
    private final Set<DocumentKey> changed = new HashSet<>();
    private final ConfigurationReplica replica = ConfigurationReplica.empty(changed::add);
    private final CrashTracker crashTracker = CrashTracker.empty();
    private final StoreCallTracker store = StoreCallTracker.of(ids, outbox);
    private final SessionManager session;
    private final LaneAuthority authority;
    private final ReplicaSync sync;
    private final AssignmentStateMachine assignment;
    private final AssignmentWriter writer;
    private final RouteCache routeCache = RouteCache.over(replica);
    private final DispatchStateMachine dispatch;
    private final IngressStateMachine ingress;
    private final AdmissionStateMachine admission;
    private Instant nextReport = Instant.MIN;
    private Instant nextChangeReport = Instant.MIN;
    private boolean leaving;
    private boolean exited;

    private EntryHost(HostRecord record, List<String> seeds, RandomGenerator random) {
        this.self = record.host();
        HostAuthority hostAuthority = HostAuthority.none();
        this.session = SessionManager.of(record, hostAuthority, store, outbox);
        this.authority = LaneAuthority.of(replica, hostAuthority, session, ids, outbox);
        this.sync = ReplicaSync.of(record, seeds, replica, store, crashTracker, ids, outbox, random);
        this.assignment = AssignmentStateMachine.of(self, replica);
        this.writer = AssignmentWriter.of(replica, assignment, session, store, outbox);
        this.dispatch = DispatchStateMachine.of(self, replica, routeCache, authority, crashTracker, ids, outbox);
        this.ingress = IngressStateMachine.of(self, replica, routeCache, dispatch, outbox);
        this.admission = AdmissionStateMachine.of(record, replica, routeCache, authority, ids, outbox, ingress);
        this.ingress.setAdmission(admission);
        this.ingress.setTableRefresh(sync::requestUpdates);
        this.authority.setLocalPledges(writer::tryPledge);
    }

    /**
     * Returns a newly started host.
     *
     * @param record the host's record, whose host id must differ from that of every earlier run
     * @param seeds the configured addresses of other entry hosts
     * @param random the source of random numbers
     */
    public static EntryHost start(HostRecord record, List<String> seeds, RandomGenerator random) {
        return new EntryHost(record, seeds, random);
    }

    /** Handles an event and returns the effects to perform. */
    public List<Effect> on(Event event, Instant now) {
        switch (event) {
            case Event.Tick _ -> tick(now);
            case Event.CallerArrived arrived -> ingress.handleRequest(arrived.request(), arrived.body(), now);
            case Event.PeerArrived arrived -> handlePeerMessage(arrived.fromAddress(), arrived.message(), now);
            case Event.ForwardFailed failed -> ingress.forwardFailed(failed.request(), failed.mayHaveArrived(), now);
            case Event.StoreReplied replied -> store.replied(replied.call(), replied.reply(), now);
            case Event.AttemptEnded ended -> dispatch.attemptEnded(ended.attempt(), ended.result(), now);
            case Event.GrantReplied replied ->
                dispatch.grantReplied(replied.service(), replied.target(), replied.grant(), replied.reply(), now);
            case Event.ShutdownRequested _ -> startShutdown(now);
        }
        applyChanges(now);
        return outbox.drain();
    }

    private void applyChanges(Instant now) {
        if (changed.isEmpty()) {
            return;
        }
        Set<ServiceName> services = new HashSet<>();
        boolean customers = false;
        for (DocumentKey key : changed) {
            replica.find(key, AssignmentTable.class).ifPresent(table -> services.add(table.service()));
            replica.find(key, ServiceDocument.class).ifPresent(service -> services.add(service.name()));
            customers |= key.path().startsWith(DocumentKey.CUSTOMER_PREFIX);
        }
        changed.clear();
        if (customers) {
            ingress.applyCustomers();
        }
        for (ServiceName service : services) {
            if (AdmissionPool.isReservedName(service)) {
                admission.applyTable(service, now);
            } else {
                dispatch.refreshLanes(service, now);
            }
        }
    }

    private void tick(Instant now) {
        session.tick(now);
        sync.tick(now);
        applyChanges(now);
        writer.tick(now);
        requestExtensions(now);
        dispatch.tick(now);
        admission.tick(now);
        ingress.tick(now);
        report(now);
        if (leaving && !exited && drained()) {
            exited = true;
            session.close(now);
            outbox.add(new Effect.Exit());
        }
    }

    private void requestExtensions(Instant now) {
        Set<ServiceName> services = new HashSet<>(dispatch.services());
        services.addAll(admission.pools());
        authority.requestExtensions(services, sync::randomPeers, now);
    }

    private void report(Instant now) {
        boolean all = !now.isBefore(nextReport);
        if (!all && now.isBefore(nextChangeReport)) {
            return;
        }
        nextChangeReport = now.plus(REPORT_CHANGES_INTERVAL);
        List<LaneReport> due = new ArrayList<>(dispatch.reports(all, now));
        if (all) {
            nextReport = now.plus(REPORT_INTERVAL);
        }
        due.addAll(admission.reports(all));
        due.forEach(this::sendReport);
    }

    private void sendReport(LaneReport report) {
        routeCache.routes(report.service()).ifPresent(routes -> {
            Set<HostId> receivers = new HashSet<>();
            receivers.add(routes.table().assigner());
            receivers.add(routes.table().standby());
            receivers.remove(null);
            for (HostId host : receivers) {
                if (self.equals(host)) {
                    assignment.recordReport(report);
                } else {
                    replica.host(host)
                            .ifPresent(
                                    record -> outbox.send(record.peerAddress(), new PeerMessage.Report(self, report)));
                }
            }
        });
    }

    private void handlePeerMessage(String from, PeerMessage message, Instant now) {
        switch (message) {
            case PeerMessage.Ask ask -> sync.handleAsk(from, ask, now);
            case PeerMessage.Tell tell -> sync.handleTell(tell, now);
            case PeerMessage.Notice notice -> sync.handleNotice(notice);
            case PeerMessage.Forward forward -> handleForward(from, forward, now);
            case PeerMessage.ForwardOutcome outcome -> ingress.handleOutcome(outcome.request(), outcome.outcome(), now);
            case PeerMessage.Borrow borrow -> outbox.send(from, admission.lend(borrow, now));
            case PeerMessage.Lend lend -> admission.handleLend(lend, now);
            case PeerMessage.Report report -> assignment.recordReport(report.report());
            case PeerMessage.AskPledge ask -> handleAskPledge(from, ask, now);
            case PeerMessage.Pledge pledge -> authority.handlePledge(pledge);
            case PeerMessage.RelayRenewal relay -> handleRelayRenewal(from, relay, now);
            case PeerMessage.RelayedRenewal relayed ->
                session.handleRelayReply(relayed.correlationId(), relayed.renewed());
        }
    }

    private void handleForward(String from, PeerMessage.Forward forward, Instant now) {
        dispatch.submit(
                forward.body(),
                now.plusMillis(forward.remainingMillis()),
                now,
                (outcome, at) -> outbox.send(from, new PeerMessage.ForwardOutcome(forward.request(), outcome)));
    }

    private void handleAskPledge(String from, PeerMessage.AskPledge ask, Instant now) {
        if (writer.tryPledge(ask, now)) {
            outbox.send(from, new PeerMessage.Pledge(ask.correlationId(), ask.service(), self));
        }
    }

    private void handleRelayRenewal(String from, PeerMessage.RelayRenewal relay, Instant now) {
        store.call(new StoreCall.RenewLease(relay.lease()), now, (reply, requestedAt, at) -> {
            if (reply instanceof StoreReply.LeaseRenewed renewed) {
                outbox.send(from, new PeerMessage.RelayedRenewal(relay.correlationId(), renewed.alive()));
            }
        });
    }

    private void startShutdown(Instant now) {
        if (!leaving) {
            leaving = true;
            writer.leave();
            session.leave(now);
        }
    }

    private boolean drained() {
        return !ingress.hasPendingRequests() && !dispatch.busy() && !holdsTransferableLanes() && !writer.stillAssigns();
    }

    private boolean holdsTransferableLanes() {
        return assignment.liveHosts().size() > 1
                && replica.all(AssignmentTable.class).stream()
                        .flatMap(table -> table.lanes().stream())
                        .anyMatch(lane -> self.equals(lane.dispatcher()));
    }

    /** Returns whether the host can serve callers: its replica is up to date and it is not shutting down. */
    public boolean ready(Instant now) {
        return !leaving && replica.revision() > 0 && replica.staleness(now).compareTo(ReplicaSync.SELF_POLL_AFTER) <= 0;
    }

    /** Returns the host's replica of the configuration, which the caller must not modify. */
    public ConfigurationReplica replica() {
        return replica;
    }

    /** Returns until when the host may act on its lanes of a service. */
    public Instant authorityUntil(ServiceName service) {
        return authority.validUntil(service);
    }

    /** Returns the number of requests on each lane and of waiting callers, for metrics. */
    public Map<String, Integer> load() {
        Map<String, Integer> load = new LinkedHashMap<>(dispatch.load());
        load.put("callers", ingress.pendingCount());
        return load;
    }
}
