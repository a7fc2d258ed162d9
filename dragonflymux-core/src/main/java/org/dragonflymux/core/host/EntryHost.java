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
import org.dragonflymux.core.session.RoleAuthority;
import org.dragonflymux.core.session.SessionManager;
import org.dragonflymux.core.session.StoreCallQueue;

/**
 * An entry host as one deterministic state machine: events go in, effects come out.
 *
 * <p>It does no I/O, starts no thread and reads no clock; the same events at the same instants, with the same random
 * numbers, give the same effects. It is not safe for use by several threads at once.
 */
public final class EntryHost {

    /** How often a host is told that time has passed. */
    public static final Duration TICK = Duration.ofMillis(20);

    private static final Duration REPORT_INTERVAL = Duration.ofSeconds(1);
    private static final Duration REPORT_CHANGES_INTERVAL = Duration.ofMillis(100);

    private final HostId self;
    private final IdSequence numbers = IdSequence.fromOne();
    private final Outbox outbox = Outbox.empty();
    private final Set<DocumentKey> changed = new HashSet<>();
    private final ConfigurationReplica replica = ConfigurationReplica.empty(changed::add);
    private final CrashTracker crashGuard = CrashTracker.empty();
    private final StoreCallQueue store = StoreCallQueue.of(numbers, outbox);
    private final SessionManager session;
    private final RoleAuthority authority;
    private final ReplicaSync sync;
    private final AssignmentStateMachine assignment;
    private final AssignmentWriter writer;
    private final RouteCache routes = RouteCache.over(replica);
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
        this.authority = RoleAuthority.of(replica, hostAuthority, session, numbers, outbox);
        this.sync = ReplicaSync.of(record, seeds, replica, store, crashGuard, numbers, outbox, random);
        this.assignment = AssignmentStateMachine.of(self, replica);
        this.writer = AssignmentWriter.of(replica, assignment, session, store, outbox);
        this.dispatch = DispatchStateMachine.of(self, replica, routes, authority, crashGuard, numbers, outbox);
        this.ingress = IngressStateMachine.of(self, replica, routes, dispatch, outbox);
        this.admission = AdmissionStateMachine.of(record, replica, routes, authority, numbers, outbox, ingress);
        this.ingress.setAdmission(admission);
        this.ingress.setTableRefresh(sync::askNow);
        this.authority.pledgeBy(writer::pledge);
    }

    /**
     * Returns a host that has just started.
     *
     * @param record the host's record; its host id must differ from that of any earlier run
     * @param seeds addresses of other entry hosts from the settings
     * @param random where random choices come from
     */
    public static EntryHost start(HostRecord record, List<String> seeds, RandomGenerator random) {
        return new EntryHost(record, seeds, random);
    }

    /** Takes in an event and returns what is to be done. */
    public List<Effect> on(Event event, Instant now) {
        switch (event) {
            case Event.Tick _ -> tick(now);
            case Event.CallerArrived arrived -> ingress.handleRequest(arrived.request(), arrived.body(), now);
            case Event.PeerArrived arrived -> peer(arrived.fromAddress(), arrived.message(), now);
            case Event.ForwardFailed failed -> ingress.forwardFailed(failed.request(), failed.mayHaveArrived(), now);
            case Event.StoreReplied replied -> store.replied(replied.call(), replied.reply(), now);
            case Event.AttemptEnded ended -> dispatch.attemptEnded(ended.attempt(), ended.result(), now);
            case Event.GrantReplied replied ->
                dispatch.grantReplied(replied.service(), replied.target(), replied.grant(), replied.reply(), now);
            case Event.ShutdownRequested _ -> leave(now);
        }
        followChanges(now);
        return outbox.drain();
    }

    private void followChanges(Instant now) {
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
        followChanges(now);
        writer.tick(now);
        seekAuthority(now);
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

    private void seekAuthority(Instant now) {
        Set<ServiceName> services = new HashSet<>(dispatch.services());
        services.addAll(admission.pools());
        authority.seek(services, sync::somePeers, now);
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
        routes.routes(report.service()).ifPresent(table -> {
            Set<HostId> pair = new HashSet<>();
            pair.add(table.table().assigner());
            pair.add(table.table().standby());
            pair.remove(null);
            for (HostId host : pair) {
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

    private void peer(String from, PeerMessage message, Instant now) {
        switch (message) {
            case PeerMessage.Ask ask -> sync.asked(from, ask, now);
            case PeerMessage.Tell tell -> sync.told(tell, now);
            case PeerMessage.Notice notice -> sync.noticed(notice);
            case PeerMessage.Forward forward -> forwarded(from, forward, now);
            case PeerMessage.ForwardOutcome outcome -> ingress.handleOutcome(outcome.request(), outcome.outcome(), now);
            case PeerMessage.Borrow borrow -> outbox.send(from, admission.lend(borrow, now));
            case PeerMessage.Lend lend -> admission.handleLend(lend, now);
            case PeerMessage.Report report -> assignment.recordReport(report.report());
            case PeerMessage.AskPledge ask -> askedPledge(from, ask, now);
            case PeerMessage.Pledge pledge -> authority.pledged(pledge);
            case PeerMessage.RelayRenewal relay -> relay(from, relay, now);
            case PeerMessage.RelayedRenewal relayed -> session.relayAnswered(relayed.question(), relayed.renewed());
        }
    }

    private void forwarded(String from, PeerMessage.Forward forward, Instant now) {
        dispatch.submit(
                forward.body(),
                now.plusMillis(forward.remainingMillis()),
                now,
                (outcome, at) -> outbox.send(from, new PeerMessage.ForwardOutcome(forward.request(), outcome)));
    }

    private void askedPledge(String from, PeerMessage.AskPledge ask, Instant now) {
        if (writer.pledge(ask, now)) {
            outbox.send(from, new PeerMessage.Pledge(ask.question(), ask.service(), self));
        }
    }

    private void relay(String from, PeerMessage.RelayRenewal relay, Instant now) {
        store.call(new StoreCall.RenewLease(relay.lease()), now, (reply, askedAt, at) -> {
            if (reply instanceof StoreReply.LeaseRenewed renewed) {
                outbox.send(from, new PeerMessage.RelayedRenewal(relay.question(), renewed.alive()));
            }
        });
    }

    private void leave(Instant now) {
        if (!leaving) {
            leaving = true;
            writer.leave();
            session.leave(now);
        }
    }

    private boolean drained() {
        return !ingress.hasPendingRequests() && !dispatch.busy() && !dispatches() && !writer.stillAssigns();
    }

    private boolean dispatches() {
        return assignment.liveHosts().size() > 1
                && replica.all(AssignmentTable.class).stream()
                        .flatMap(table -> table.lanes().stream())
                        .anyMatch(lane -> self.equals(lane.dispatcher()));
    }

    /** Tells whether the host can serve callers: its replica is fresh and it is not shutting down. */
    public boolean ready(Instant now) {
        return !leaving && replica.revision() > 0 && replica.staleness(now).compareTo(ReplicaSync.SELF_POLL_AFTER) <= 0;
    }

    /** Returns the host's copy of the configuration, to be read only. */
    public ConfigurationReplica replica() {
        return replica;
    }

    /** Returns until when the host may act on its lanes of a service. */
    public Instant authorityUntil(ServiceName service) {
        return authority.validUntil(service);
    }

    /** Returns figures for metrics. */
    public Map<String, Integer> load() {
        Map<String, Integer> load = new LinkedHashMap<>(dispatch.load());
        load.put("callers", ingress.pendingCount());
        return load;
    }
}
