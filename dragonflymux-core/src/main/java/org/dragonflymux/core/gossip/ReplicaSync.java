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
import org.dragonflymux.core.session.StoreCallQueue;

/**
 * Keeps the replica up to date.
 *
 * <p>In each failure domain the first live host polls the store; all hosts ask a few others at random what is new. A host
 * that has had no confirmation for a while polls for itself. The cost of a host does not grow with the fleet.
 */
public final class ReplicaSync {

    /** How often the store is polled, by the hosts that poll. */
    public static final Duration POLL_INTERVAL = Duration.ofMillis(400);

    /** How often other hosts are asked. */
    public static final Duration GOSSIP_INTERVAL = Duration.ofMillis(400);

    /** How many other hosts are asked each time. */
    public static final int FANOUT = 2;

    /** Without confirmation for this long, a host polls for itself. */
    public static final Duration SELF_POLL_AFTER = Duration.ofMillis(2000);

    private static final int MAX_TELL_CHARACTERS = 256 << 10;
    private static final Duration QUESTION_KEPT = Duration.ofSeconds(30);

    private final HostRecord self;
    private final List<String> seeds;
    private final ConfigurationReplica replica;
    private final StoreCallQueue store;
    private final CrashTracker crashGuard;
    private final IdSequence numbers;
    private final Outbox outbox;
    private final RandomGenerator random;
    private final Map<Long, Instant> questions = new HashMap<>();
    private Instant nextPoll = Instant.MIN;
    private Instant nextGossip = Instant.MIN;
    private boolean polling;

    private ReplicaSync(
            HostRecord self,
            List<String> seeds,
            ConfigurationReplica replica,
            StoreCallQueue store,
            CrashTracker crashGuard,
            IdSequence numbers,
            Outbox outbox,
            RandomGenerator random) {
        this.self = self;
        this.seeds = seeds;
        this.replica = replica;
        this.store = store;
        this.crashGuard = crashGuard;
        this.numbers = numbers;
        this.outbox = outbox;
        this.random = random;
    }

    /**
     * Returns the sync of a replica.
     *
     * @param seeds addresses of entry hosts from the settings, asked while no others are known
     */
    public static ReplicaSync of(
            HostRecord self,
            List<String> seeds,
            ConfigurationReplica replica,
            StoreCallQueue store,
            CrashTracker crashGuard,
            IdSequence numbers,
            Outbox outbox,
            RandomGenerator random) {
        return new ReplicaSync(self, List.copyOf(seeds), replica, store, crashGuard, numbers, outbox, random);
    }

    /** Polls the store and asks other hosts when that is due. */
    public void tick(Instant now) {
        if (!now.isBefore(nextPoll) && !polling) {
            nextPoll = now.plus(POLL_INTERVAL);
            pollIfPoller(now);
        }
        if (!now.isBefore(nextGossip)) {
            nextGossip = now.plus(GOSSIP_INTERVAL);
            questions.values().removeIf(askedAt -> askedAt.plus(QUESTION_KEPT).isBefore(now));
            chosenPeers().forEach(address -> ask(address, now));
        }
    }

    private void pollIfPoller(Instant now) {
        if (polls(now)) {
            poll(now);
        }
    }

    private boolean polls(Instant now) {
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
        store.call(new StoreCall.Poll(since), now, (reply, askedAt, at) -> {
            polling = false;
            if (reply instanceof StoreReply.Polled polled) {
                polled(polled, since, askedAt, at);
            }
        });
    }

    private void polled(StoreReply.Polled polled, long since, Instant askedAt, Instant now) {
        boolean sessionsChanged =
                polled.entries().stream().anyMatch(entry -> entry.key().isSession())
                        || polled.sessionCount() != replica.sessionKeys().size();
        if (!sessionsChanged) {
            complete(polled, since, askedAt);
            return;
        }
        polled.entries().forEach(replica::mergeEntry);
        polling = true;
        store.call(new StoreCall.ListSessions(), now, (reply, listAskedAt, at) -> {
            polling = false;
            if (reply instanceof StoreReply.Sessions sessions) {
                replica.retainSessions(sessions.keys(), sessions.revision());
                complete(polled, since, askedAt);
            }
        });
    }

    private void complete(StoreReply.Polled polled, long since, Instant askedAt) {
        replica.merge(polled.entries(), since, polled.revision());
        replica.confirm(askedAt);
    }

    private List<String> chosenPeers() {
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

    /** Returns a few other hosts that may reach what this host cannot. */
    public List<String> somePeers() {
        return chosenPeers();
    }

    /** Asks certain hosts at once, because what this host knows has shown to be out of date. */
    public void askNow(Collection<HostId> hosts, Instant now) {
        for (HostId host : hosts) {
            replica.host(host)
                    .filter(record -> !record.host().equals(self.host()))
                    .ifPresent(record -> ask(record.peerAddress(), now));
        }
    }

    private void ask(String address, Instant now) {
        long question = numbers.next();
        questions.put(question, now);
        outbox.send(address, new PeerMessage.Ask(question, replica.revision()));
    }

    /** Answers another host's question. */
    public void asked(String from, PeerMessage.Ask ask, Instant now) {
        List<StoredEntry> entries = replica.since(ask.sinceRevision());
        List<StoredEntry> told = new ArrayList<>();
        long characters = 0;
        long completeTo = replica.revision();
        long staleMillis = replica.staleness(now).toMillis();
        for (StoredEntry entry : entries) {
            boolean sameRevision = !told.isEmpty() && told.getLast().revision() == entry.revision();
            if (characters > MAX_TELL_CHARACTERS && !sameRevision) {
                completeTo = told.getLast().revision();
                staleMillis = Duration.ofDays(1).toMillis();
                break;
            }
            told.add(entry);
            characters += entry.deleted() ? 0 : entry.json().length();
        }
        outbox.send(
                from,
                new PeerMessage.Tell(
                        ask.question(), ask.sinceRevision(), told, completeTo, staleMillis, crashGuard.snapshot(now)));
    }

    /** Takes in another host's answer. */
    public void told(PeerMessage.Tell tell, Instant now) {
        Instant askedAt = questions.remove(tell.question());
        replica.merge(tell.entries(), tell.sinceRevision(), tell.completeTo());
        crashGuard.learn(tell.crashCounts(), now);
        if (askedAt != null && replica.revision() >= tell.completeTo()) {
            replica.confirm(askedAt.minusMillis(tell.staleMillis()));
        }
    }

    /** Takes in single entries that another host learned early. */
    public void noticed(PeerMessage.Notice notice) {
        notice.entries().forEach(replica::mergeEntry);
    }
}
