package org.dragonflymux.core.assignment;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.dragonflymux.core.admission.AdmissionPools;
import org.dragonflymux.core.configuration.ConfigurationReplica;
import org.dragonflymux.core.configuration.StoredEntry;
import org.dragonflymux.core.document.AssignmentTable;
import org.dragonflymux.core.document.DocumentCodec;
import org.dragonflymux.core.document.DocumentKey;
import org.dragonflymux.core.document.Lane;
import org.dragonflymux.core.document.ServiceDocument;
import org.dragonflymux.core.message.Observation;
import org.dragonflymux.core.message.Outbox;
import org.dragonflymux.core.message.PeerMessage;
import org.dragonflymux.core.message.StoreCall;
import org.dragonflymux.core.message.StoreReply;
import org.dragonflymux.core.name.HostId;
import org.dragonflymux.core.name.ServiceName;
import org.dragonflymux.core.session.PledgeTracker;
import org.dragonflymux.core.session.SessionManager;
import org.dragonflymux.core.session.StoreCallTracker;

/** Writes the tables that this host's {@link AssignmentStateMachine} proposes, and gives pledges not to write them. */
public final class AssignmentWriter {

    /** The interval between reviews of the tables. */
    public static final Duration REVIEW_INTERVAL = Duration.ofMillis(100);

    /** The maximum staleness of the replica at which tables may be changed. */
    public static final Duration MAX_REPLICA_STALENESS = Duration.ofMillis(1500);

    private final HostId self;
    private final ConfigurationReplica replica;
    private final AssignmentStateMachine stateMachine;
    private final PledgeTracker pledges = PledgeTracker.empty();
    private final SessionManager session;
    private final StoreCallTracker store;
    private final Outbox outbox;
    private final AdmissionPools pools;
    private final Set<ServiceName> writing = new HashSet<>();
    private Instant nextReview = Instant.MIN;
    private boolean leaving;

    private AssignmentWriter(
            ConfigurationReplica replica,
            AssignmentStateMachine stateMachine,
            SessionManager session,
            StoreCallTracker store,
            Outbox outbox) {
        this.self = session.record().host();
        this.replica = replica;
        this.pools = AdmissionPools.over(replica);
        this.stateMachine = stateMachine;
        this.session = session;
        this.store = store;
        this.outbox = outbox;
    }

    /** Returns a writer without pending writes or pledges. */
    public static AssignmentWriter of(
            ConfigurationReplica replica,
            AssignmentStateMachine stateMachine,
            SessionManager session,
            StoreCallTracker store,
            Outbox outbox) {
        return new AssignmentWriter(replica, stateMachine, session, store, outbox);
    }

    /** Returns the services that have tables: those that operators define, and the admission pools. */
    private List<ServiceDocument> services() {
        List<ServiceDocument> services = new ArrayList<>(replica.all(ServiceDocument.class));
        int continuityMillis = services.stream()
                .mapToInt(ServiceDocument::continuityMillis)
                .max()
                .orElse(ServiceDocument.DEFAULT_CONTINUITY_MILLIS);
        pools.all().forEach(pool -> services.add(pool.service(continuityMillis)));
        return services;
    }

    /** Reviews all tables if a review is due and the replica is fresh. */
    public void tick(Instant now) {
        boolean fresh = replica.staleness(now).compareTo(MAX_REPLICA_STALENESS) <= 0;
        boolean sessionRead = session.sessionRevision() != 0 && replica.revision() >= session.sessionRevision();
        if (!fresh || !sessionRead) {
            stateMachine.resetObservations();
            return;
        }
        if (!now.isBefore(nextReview)) {
            nextReview = now.plus(REVIEW_INTERVAL);
            stateMachine.observeAbsentHosts(now);
            services().forEach(service -> review(service, now));
        }
    }

    private void review(ServiceDocument service, Instant now) {
        if (writing.contains(service.name()) || !pledges.mayWrite(service.name(), now)) {
            return;
        }
        stateMachine
                .propose(service, leaving, now)
                .ifPresentOrElse(next -> write(next, now), () -> resolvePendingWrite(service, now));
    }

    // Writes the unchanged table again, since an unanswered write cannot take effect once the revision has changed.
    private void resolvePendingWrite(ServiceDocument service, Instant now) {
        DocumentKey key = DocumentKey.assignment(service.name());
        if (pledges.hasUnresolvedWrite(service.name(), replica.revisionOf(key))) {
            replica.find(key, AssignmentTable.class)
                    .filter(table -> self.equals(table.assigner()))
                    .ifPresent(table -> write(table, now));
        }
    }

    private void write(AssignmentTable next, Instant now) {
        ServiceName service = next.service();
        DocumentKey key = next.key();
        long expected = replica.revisionOf(key);
        String json = DocumentCodec.toJson(next);
        writing.add(service);
        StoreCall.WriteTable call =
                new StoreCall.WriteTable(service, key, expected, self, replacedHosts(key, next), json);
        long[] number = new long[1];
        number[0] = store.call(call, now, (reply, askedAt, at) -> {
            writing.remove(service);
            if (!(reply instanceof StoreReply.Unavailable)) {
                pledges.writeResolved(number[0]);
            }
            handleReply(next, json, reply);
        });
        pledges.writeSent(number[0], service, expected);
    }

    /**
     * Returns the hosts that lose a role without having given it up; the write requires that their sessions are gone.
     */
    private Set<HostId> replacedHosts(DocumentKey key, AssignmentTable next) {
        Set<HostId> hosts = new HashSet<>();
        replica.find(key, AssignmentTable.class).ifPresent(known -> {
            if (!self.equals(known.assigner())) {
                hosts.add(known.assigner());
                if (!self.equals(known.standby())) {
                    hosts.add(known.standby());
                }
            }
            Map<?, Lane> lanes = next.lanes().stream().collect(Collectors.toMap(Lane::target, lane -> lane));
            known.lanes().stream()
                    .filter(lane -> isReplaced(lane, lanes.get(lane.target())))
                    .forEach(lane -> hosts.add(lane.dispatcher()));
        });
        hosts.remove(null);
        return hosts;
    }

    private boolean isReplaced(Lane before, Lane after) {
        boolean changed = after != null
                && before.dispatcher() != null
                && !before.dispatcher().equals(after.dispatcher());
        return changed && replica.host(before.dispatcher()).isEmpty();
    }

    private void handleReply(AssignmentTable table, String json, StoreReply reply) {
        if (reply instanceof StoreReply.Conflict) {
            outbox.note(new Observation.TableConflict(table.service()));
        } else if (reply instanceof StoreReply.Written done) {
            StoredEntry entry = new StoredEntry(table.key(), done.revision(), json);
            replica.mergeEntry(entry);
            outbox.note(new Observation.TableWritten(
                    table.service(), done.revision(), table.moves().size()));
            notifyHosts(table, entry);
        }
    }

    // Sends the table at once to the hosts that act on it; all others get it with their next poll or gossip exchange.
    private void notifyHosts(AssignmentTable table, StoredEntry entry) {
        Set<HostId> recipients = table.lanes().stream().map(Lane::dispatcher).collect(Collectors.toSet());
        recipients.add(table.standby());
        recipients.remove(self);
        recipients.forEach(host -> replica.host(host)
                .ifPresent(record -> outbox.send(record.peerAddress(), new PeerMessage.Notice(List.of(entry)))));
    }

    /**
     * Gives a pledge to a dispatcher that cannot reach the store, unless this host can reach it.
     *
     * @return whether the pledge is given
     */
    public boolean tryPledge(PeerMessage.AskPledge ask, Instant now) {
        DocumentKey key = DocumentKey.assignment(ask.service());
        boolean assignerOrStandby = replica.find(key, AssignmentTable.class)
                .filter(table -> self.equals(table.assigner()) || self.equals(table.standby()))
                .isPresent();
        return assignerOrStandby
                && !store.reachable(now)
                && pledges.tryPledge(ask.service(), ask.tableRevision(), replica.revisionOf(key), now);
    }

    /** Makes this host hand over the tables that it assigns. */
    public void leave() {
        leaving = true;
    }

    /** Returns whether this host is still the assigner of a table although another host could be. */
    public boolean stillAssigns() {
        return stateMachine.liveHosts().size() > 1
                && replica.all(AssignmentTable.class).stream().anyMatch(table -> self.equals(table.assigner()));
    }
}
