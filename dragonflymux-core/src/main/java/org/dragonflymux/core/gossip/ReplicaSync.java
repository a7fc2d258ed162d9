package org.dragonflymux.core.gossip;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;
import org.dragonflymux.core.configuration.ConfigurationReplica;
import org.dragonflymux.core.configuration.StoredEntry;
import org.dragonflymux.core.document.HostRecord;
import org.dragonflymux.core.message.IdSequence;
import org.dragonflymux.core.message.Outbox;
import org.dragonflymux.core.message.PeerMessage;
import org.dragonflymux.core.message.StoreCall;
import org.dragonflymux.core.message.StoreReply;
import org.dragonflymux.core.name.HostId;
import org.dragonflymux.core.quarantine.CrashTracker;
import org.dragonflymux.core.session.StoreCallTracker;

/**
 * Keeps the configuration replica up to date.
 *
 * <p>In each failure domain, the first live host polls the store. All hosts periodically request changes from a few
 * randomly chosen hosts. A host whose replica has not been confirmed as up to date for {@link #SELF_POLL_AFTER} polls
 * the store itself. The work per host does not grow with the size of the fleet.
 */
public final class ReplicaSync {

    /** The interval at which polling hosts poll the store. */
    public static final Duration POLL_INTERVAL = Duration.ofMillis(400);

    /** The interval at which changes are requested from other hosts. */
    public static final Duration GOSSIP_INTERVAL = Duration.ofMillis(400);

    /** The number of other hosts that changes are requested from each time. */
    public static final int FANOUT = 2;

    /** The staleness of the replica above which any host polls the store. */
    public static final Duration SELF_POLL_AFTER = Duration.ofMillis(2000);

    private static final int MAX_TELL_CHARACTERS = 256 << 10;
    private static final Duration REQUEST_RETENTION = Duration.ofSeconds(30);

    private final HostRecord self;
    private final List<String> seeds;
    private final ConfigurationReplica replica;
    private final StoreCallTracker store;
    private final CrashTracker crashTracker;
    private final IdSequence ids;
    private final Outbox outbox;
    private final RandomGenerator random;
    private final Map<Long, Instant> pendingRequests = new HashMap<>();
    private Instant nextPoll = Instant.MIN;
    private Instant nextGossip = Instant.MIN;
    private boolean polling;

    private ReplicaSync(
            HostRecord self,
            List<String> seeds,
            ConfigurationReplica replica,
            StoreCallTracker store,
            CrashTracker crashTracker,
            IdSequence ids,
            Outbox outbox,
            RandomGenerator random) {
        this.self = self;
        this.seeds = seeds;
        this.replica = replica;
        this.store = store;
        this.crashTracker = crashTracker;
        this.ids = ids;
        this.outbox = outbox;
        this.random = random;
    }

    /**
     * Returns the synchronization of a replica.
     *
     * @param seeds the configured addresses of entry hosts, used while no other hosts are known
     */
    public static ReplicaSync of(
            HostRecord self,
            List<String> seeds,
            ConfigurationReplica replica,
            StoreCallTracker store,
            CrashTracker crashTracker,
            IdSequence ids,
            Outbox outbox,
            RandomGenerator random) {
        return new ReplicaSync(self, List.copyOf(seeds), replica, store, crashTracker, ids, outbox, random);
    }

    /** Polls the store and requests changes from other hosts when due. */
    public void tick(Instant now) {
        if (!now.isBefore(nextPoll) && !polling) {
            nextPoll = now.plus(POLL_INTERVAL);
            pollIfPoller(now);
        }
        if (!now.isBefore(nextGossip)) {
            nextGossip = now.plus(GOSSIP_INTERVAL);
            pendingRequests
                    .values()
                    .removeIf(requestedAt -> requestedAt.plus(REQUEST_RETENTION).isBefore(now));
            selectPeers().forEach(address -> requestUpdates(address, now));
        }
    }

    private void pollIfPoller(Instant now) {
        if (isPoller(now)) {
            poll(now);
        }
    }

    private boolean isPoller(Instant now) {
        boolean first = replica.all(HostRecord.class).stream()
                .filter(host -> host.domain().equals(self.domain()) && !host.leaving())
                .map(HostRecord::host)
                .findFirst()
                .filter(self.host()::equals)
                .isPresent();
        return first || replica.staleness(now).compareTo(SELF_POLL_AFTER) > 0;
    }

    private void poll(Instant now) {
        polling = true;
        long since = replica.revision();
        store.call(new StoreCall.Poll(since), now, (reply, requestedAt, at) -> {
            polling = false;
            if (reply instanceof StoreReply.Polled polled) {
                polled(polled, since, requestedAt, at);
            }
        });
    }

    private void polled(StoreReply.Polled polled, long since, Instant requestedAt, Instant now) {
        boolean sessionsChanged =
                polled.entries().stream().anyMatch(entry -> entry.key().isSession())
                        || polled.sessionCount() != replica.sessionKeys().size();
        if (!sessionsChanged) {
            complete(polled, since, requestedAt);
            return;
        }
        polled.entries().forEach(replica::mergeEntry);
        polling = true;
        store.call(new StoreCall.ListSessions(), now, (reply, listRequestedAt, at) -> {
            polling = false;
            if (reply instanceof StoreReply.Sessions sessions) {
                replica.retainSessions(sessions.keys(), sessions.revision());
                complete(polled, since, requestedAt);
            }
        });
    }

    private void complete(StoreReply.Polled polled, long since, Instant requestedAt) {
        replica.merge(polled.entries(), since, polled.revision());
        replica.confirm(requestedAt);
    }

    private List<String> selectPeers() {
        List<String> known = new ArrayList<>(replica.all(HostRecord.class).stream()
                .map(HostRecord::peerAddress)
                .filter(address -> !address.equals(self.peerAddress()))
                .toList());
        if (known.isEmpty()) {
            known.addAll(seeds);
            known.remove(self.peerAddress());
        }
        List<String> chosen = new ArrayList<>();
        while (chosen.size() < FANOUT && !known.isEmpty()) {
            chosen.add(known.remove(random.nextInt(known.size())));
        }
        return chosen;
    }

    /** Returns the addresses of a few randomly chosen other hosts, which may be able to reach the store. */
    public List<String> randomPeers() {
        return selectPeers();
    }

    /** Requests changes from the given hosts at once, because this host's replica has proved to be out of date. */
    public void requestUpdates(Collection<HostId> hosts, Instant now) {
        for (HostId host : hosts) {
            replica.host(host)
                    .filter(record -> !record.host().equals(self.host()))
                    .ifPresent(record -> requestUpdates(record.peerAddress(), now));
        }
    }

    private void requestUpdates(String address, Instant now) {
        long correlationId = ids.next();
        pendingRequests.put(correlationId, now);
        outbox.send(address, new PeerMessage.Ask(correlationId, replica.revision()));
    }

    /** Answers another host's request for changes. */
    public void handleAsk(String from, PeerMessage.Ask ask, Instant now) {
        List<StoredEntry> entries = replica.entriesSince(ask.sinceRevision());
        List<StoredEntry> sent = new ArrayList<>();
        long characters = 0;
        long completeTo = replica.revision();
        long staleMillis = replica.staleness(now).toMillis();
        for (StoredEntry entry : entries) {
            boolean sameRevision = !sent.isEmpty() && sent.getLast().revision() == entry.revision();
            if (characters > MAX_TELL_CHARACTERS && !sameRevision) {
                completeTo = sent.getLast().revision();
                staleMillis = Duration.ofDays(1).toMillis();
                break;
            }
            sent.add(entry);
            characters += entry.deleted() ? 0 : entry.json().length();
        }
        outbox.send(
                from,
                new PeerMessage.Tell(
                        ask.correlationId(),
                        ask.sinceRevision(),
                        sent,
                        completeTo,
                        staleMillis,
                        crashTracker.snapshot(now)));
    }

    /** Applies the changes and crash counts received from another host. */
    public void handleTell(PeerMessage.Tell tell, Instant now) {
        Instant requestedAt = pendingRequests.remove(tell.correlationId());
        replica.merge(tell.entries(), tell.sinceRevision(), tell.completeTo());
        crashTracker.mergeCounts(tell.crashCounts(), now);
        if (requestedAt != null && replica.revision() >= tell.completeTo()) {
            replica.confirm(requestedAt.minusMillis(tell.staleMillis()));
        }
    }

    /** Applies single entries that another host has just written. */
    public void handleNotice(PeerMessage.Notice notice) {
        notice.entries().forEach(replica::mergeEntry);
    }
}
