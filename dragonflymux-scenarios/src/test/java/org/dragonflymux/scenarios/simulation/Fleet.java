package org.dragonflymux.scenarios.simulation;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import org.dragonflymux.core.assignment.KeyHash;
import org.dragonflymux.core.assignment.Routes;
import org.dragonflymux.core.configuration.StoredEntry;
import org.dragonflymux.core.credential.CredentialRegistry;
import org.dragonflymux.core.document.AssignmentTable;
import org.dragonflymux.core.document.CredentialGrant;
import org.dragonflymux.core.document.CustomerDocument;
import org.dragonflymux.core.document.Document;
import org.dragonflymux.core.document.DocumentCodec;
import org.dragonflymux.core.document.DocumentKey;
import org.dragonflymux.core.document.HostRecord;
import org.dragonflymux.core.document.RateReserve;
import org.dragonflymux.core.document.ServiceDocument;
import org.dragonflymux.core.host.EntryHost;
import org.dragonflymux.core.message.CallerRequest;
import org.dragonflymux.core.message.Effect;
import org.dragonflymux.core.message.Event;
import org.dragonflymux.core.message.Header;
import org.dragonflymux.core.message.Observation;
import org.dragonflymux.core.message.Outcome;
import org.dragonflymux.core.message.PeerMessage;
import org.dragonflymux.core.message.StoreCall;
import org.dragonflymux.core.message.StoreReply;
import org.dragonflymux.core.message.TargetResult;
import org.dragonflymux.core.name.CustomerName;
import org.dragonflymux.core.name.FailureDomain;
import org.dragonflymux.core.name.HostId;
import org.dragonflymux.core.name.ServiceName;
import org.dragonflymux.runtime.store.EtcdCodec;
import org.dragonflymux.runtime.store.EtcdRequest;
import org.dragonflymux.standin.store.KeyValueModel;
import org.dragonflymux.standin.time.VirtualTimeScheduler;

/** A simulated fleet of entry hosts, targets and a store, with callers, operators and faults, in virtual time. */
public final class Fleet {

    private static final boolean TRACE = Boolean.getBoolean("scenario.trace");
    private static final Duration STORE_TIMEOUT = Duration.ofMillis(800);
    private static final Duration GRANT_TIMEOUT = Duration.ofMillis(600);
    private static final Duration CONNECTION_TIMEOUT = Duration.ofMillis(1500);
    private static final Duration ONE_WAY_LATENCY = Duration.ofNanos(500_000);

    /** A caller's request and its outcome. */
    public static final class Call {
        private final String path;
        private final Instant sentAt;
        private Outcome outcome;
        private Instant answeredAt;

        private Call(String path, Instant sentAt) {
            this.path = path;
            this.sentAt = sentAt;
        }

        /** Returns the outcome, if there is one yet. */
        public Optional<Outcome> outcome() {
            return Optional.ofNullable(outcome);
        }

        /** Returns how long the caller waited for the outcome. */
        public Duration elapsed() {
            return Duration.between(sentAt, answeredAt);
        }

        /** Returns whether the caller received the target's response. */
        public boolean succeeded() {
            return outcome instanceof Outcome.Answered;
        }
    }

    private static final class Host {
        private final String name;
        private final String domain;
        private final String address;
        private EntryHost entryHost;
        private boolean alive;
        private int incarnation;
        private final List<Event> eventsWhilePaused = new ArrayList<>();
        private final Map<String, Long> lastRevisions = new HashMap<>();

        private Host(String name, String domain, String address) {
            this.name = name;
            this.domain = domain;
            this.address = address;
        }
    }

    private final VirtualTimeScheduler scheduler =
            VirtualTimeScheduler.startingAt(Instant.parse("2026-01-01T00:00:00Z"));
    private final Faults faults = new Faults();
    private final InvariantChecker invariantChecker = new InvariantChecker();
    private final KeyValueModel store = KeyValueModel.empty();
    private final Map<String, Host> hosts = new LinkedHashMap<>();
    private final Map<String, Host> hostsByAddress = new HashMap<>();
    private final Map<String, SimulatedTarget> targets = new LinkedHashMap<>();
    private final Map<String, SimulatedTarget> targetsByAddress = new HashMap<>();
    private final Map<Long, Call> calls = new HashMap<>();
    private final Random random;
    private long lastCall;

    private Fleet(long seed) {
        this.random = new Random(seed);
    }

    /** Returns an empty fleet with a random number generator of the given seed. */
    public static Fleet seeded(long seed) {
        return new Fleet(seed);
    }

    /** Returns the checker of the protocol's invariants. */
    public InvariantChecker invariantChecker() {
        return invariantChecker;
    }

    /** Returns the current virtual time. */
    public Instant now() {
        return scheduler.now();
    }

    /** Advances the virtual time. */
    public void advance(Duration duration) {
        scheduler.advance(duration);
    }

    // ---- operators ----

    /** Writes a document to the store, as an operator does. Injected faults do not affect operators' writes. */
    public void writeDocument(Document document) {
        EtcdRequest read = new EtcdRequest(
                EtcdCodec.RANGE,
                com.fasterxml.jackson.databind.node.JsonNodeFactory.instance
                        .objectNode()
                        .put("key", EtcdCodec.encodeBase64(document.key().path())));
        List<StoredEntry> found = EtcdCodec.decodeRange(store.handle(read.path(), read.body(), scheduler.now()));
        long revision = found.isEmpty() ? 0 : found.getFirst().revision();
        EtcdRequest write = EtcdCodec.compareAndSwap(document.key(), revision, DocumentCodec.toJson(document));
        store.handle(write.path(), write.body(), scheduler.now());
    }

    /** Writes a customer with one credential, {@code key-of-NAME}, to the store. */
    public void writeCustomer(
            String name, double rate, int burst, int weight, Map<FailureDomain, RateReserve> reserves) {
        writeDocument(new CustomerDocument(
                CustomerName.of(name),
                rate,
                burst,
                weight,
                reserves,
                List.of(new CredentialGrant("id", CredentialRegistry.hash("key-of-" + name)))));
    }

    /** Revokes a customer's credentials. */
    public void revokeCredentials(String name) {
        writeDocument(new CustomerDocument(CustomerName.of(name), 100, 50, 1, Map.of(), List.of()));
    }

    // ---- hosts ----

    /** Starts an entry host, with a new incarnation if it was started before. */
    public void startHost(String name, String domain) {
        Host host = hosts.computeIfAbsent(name, key -> {
            Host added = new Host(name, domain, "10.0.0." + (hosts.size() + 1) + ":1");
            hostsByAddress.put(added.address, added);
            return added;
        });
        host.incarnation++;
        host.alive = true;
        HostRecord record = new HostRecord(
                HostId.of(name + ".r" + host.incarnation),
                FailureDomain.of(domain),
                host.address,
                host.incarnation,
                false);
        List<String> seeds = hosts.values().stream().map(other -> other.address).toList();
        host.entryHost = EntryHost.start(record, seeds, new Random(random.nextLong()));
        EntryHost entryHost = host.entryHost;
        scheduler.schedule(Duration.ofMillis(random.nextInt(20)), () -> tick(host, entryHost));
    }

    private void tick(Host host, EntryHost entryHost) {
        boolean current = host.alive && host.entryHost.equals(entryHost);
        if (!current) {
            return;
        }
        if (!faults.pausedHosts.contains(host.name)) {
            deliver(host, entryHost, new Event.Tick());
        }
        scheduler.schedule(EntryHost.TICK, () -> tick(host, entryHost));
    }

    private void deliver(Host host, EntryHost entryHost, Event event) {
        boolean current = host.alive && host.entryHost.equals(entryHost);
        if (!current) {
            return;
        }
        if (faults.pausedHosts.contains(host.name)) {
            host.eventsWhilePaused.add(event);
            return;
        }
        List<Effect> effects = entryHost.on(event, scheduler.now());
        checkRevisions(host);
        effects.forEach(effect -> perform(host, entryHost, effect));
    }

    private void checkRevisions(Host host) {
        if (!host.alive) {
            return;
        }
        for (DocumentKey key :
                List.of(DocumentKey.service(ServiceName.of("svc")), DocumentKey.assignment(ServiceName.of("svc")))) {
            long revision = host.entryHost.replica().revisionOf(key);
            Long before = host.lastRevisions.put(key.path() + host.incarnation, revision);
            if (before != null) {
                invariantChecker.checkRevision(host.name, key.path(), before, revision);
            }
        }
    }

    /** Kills an entry host's process. */
    public void kill(String name) {
        Host host = hosts.get(name);
        host.alive = false;
        host.eventsWhilePaused.clear();
        hosts.values().stream().filter(other -> other.alive).forEach(other -> failForwards(other, host));
    }

    private final Map<Long, Host> forwardedTo = new HashMap<>();

    private void failForwards(Host sender, Host killed) {
        for (Map.Entry<Long, Host> entry : List.copyOf(forwardedTo.entrySet())) {
            boolean affected = entry.getValue().equals(killed) && receiverByCall.get(entry.getKey()) == sender;
            if (affected) {
                forwardedTo.remove(entry.getKey());
                EntryHost entryHost = sender.entryHost;
                scheduler.schedule(
                        ONE_WAY_LATENCY,
                        () -> deliver(sender, entryHost, new Event.ForwardFailed(entry.getKey(), true)));
            }
        }
    }

    private final Map<Long, Host> receiverByCall = new HashMap<>();

    /** Pauses an entry host's process until {@link #resume}; events for it are queued. */
    public void pause(String name) {
        faults.pausedHosts.add(name);
    }

    /** Resumes a paused process, which first handles the queued events. */
    public void resume(String name) {
        faults.pausedHosts.remove(name);
        Host host = hosts.get(name);
        List<Event> queued = List.copyOf(host.eventsWhilePaused);
        host.eventsWhilePaused.clear();
        queued.forEach(event -> deliver(host, host.entryHost, event));
    }

    /** Asks an entry host to shut down gracefully. */
    public void shutDown(String name) {
        Host host = hosts.get(name);
        deliver(host, host.entryHost, new Event.ShutdownRequested());
    }

    /** Returns whether a host's process is running. */
    public boolean isRunning(String name) {
        return hosts.get(name).alive;
    }

    // ---- effects ----

    private void perform(Host host, EntryHost entryHost, Effect effect) {
        switch (effect) {
            case Effect.AnswerCaller answer -> answerCaller(answer);
            case Effect.SendPeer send -> sendPeer(host, entryHost, send);
            case Effect.CallStore call -> callStore(host, entryHost, call);
            case Effect.CallTarget call -> callTarget(host, entryHost, call);
            case Effect.SendGrant grant -> sendGrant(host, entryHost, grant);
            case Effect.Note note -> recordObservation(host, note.observation());
            case Effect.Exit _ -> host.alive = false;
        }
    }

    private void recordObservation(Host host, Observation observation) {
        if (observation instanceof Observation.Admitted admitted) {
            invariantChecker.requestAdmitted(admitted.customer().value(), scheduler.now());
        } else if (TRACE) {
            System.out.println(scheduler.now() + " " + host.name + " " + observation);
        }
    }

    private void answerCaller(Effect.AnswerCaller answer) {
        Call call = calls.get(answer.request());
        if (call.outcome == null) {
            call.outcome = answer.outcome();
            call.answeredAt = scheduler.now();
            invariantChecker.checkOutcome(answer.request(), call.path, answer.outcome());
        }
    }

    private void sendPeer(Host from, EntryHost entryHost, Effect.SendPeer send) {
        Host to = hostsByAddress.get(send.address());
        if (to == null) {
            return;
        }
        boolean unreachable = faults.isolated(from.domain, to.domain) || !to.alive;
        if (send.message() instanceof PeerMessage.Forward forward) {
            if (unreachable) {
                scheduler.schedule(
                        ONE_WAY_LATENCY,
                        () -> deliver(from, entryHost, new Event.ForwardFailed(forward.request(), false)));
                return;
            }
            forwardedTo.put(forward.request(), to);
            scheduler.schedule(CONNECTION_TIMEOUT, () -> checkConnection(from, entryHost, forward.request(), to));
        }
        if (!unreachable) {
            scheduler.schedule(ONE_WAY_LATENCY, () -> receivePeerMessage(from, to, send.message()));
        }
    }

    // A connection on which nothing arrives is closed, and the requests forwarded over it fail.
    private void checkConnection(Host from, EntryHost entryHost, long request, Host to) {
        boolean open = to.equals(forwardedTo.get(request));
        boolean silent = faults.isolated(from.domain, to.domain) || faults.pausedHosts.contains(to.name) || !to.alive;
        if (open && silent) {
            forwardedTo.remove(request);
            deliver(from, entryHost, new Event.ForwardFailed(request, true));
        } else if (open) {
            scheduler.schedule(CONNECTION_TIMEOUT, () -> checkConnection(from, entryHost, request, to));
        }
    }

    private void receivePeerMessage(Host from, Host to, PeerMessage message) {
        if (!to.alive || faults.isolated(from.domain, to.domain)) {
            return;
        }
        if (message instanceof PeerMessage.ForwardOutcome outcome) {
            forwardedTo.remove(outcome.request());
        }
        deliver(to, to.entryHost, new Event.PeerArrived(from.address, message));
    }

    private void callStore(Host host, EntryHost entryHost, Effect.CallStore call) {
        boolean isolated = faults.isolatedFromStore.contains(host.domain);
        boolean[] answered = new boolean[1];
        scheduler.schedule(STORE_TIMEOUT, () -> {
            if (!answered[0]) {
                answered[0] = true;
                deliver(host, entryHost, new Event.StoreReplied(call.call(), new StoreReply.Unavailable()));
            }
        });
        if (faults.storeDown || isolated) {
            return;
        }
        scheduler.schedule(faults.storeDelay.dividedBy(2), () -> {
            if (faults.storeDown) {
                return;
            }
            StoreReply reply = executeStoreCall(call.body());
            boolean lost = faults.storeLosesAnswers || faults.isolatedFromStore.contains(host.domain);
            if (!lost) {
                scheduler.schedule(faults.storeDelay.dividedBy(2), () -> {
                    if (!answered[0]) {
                        answered[0] = true;
                        deliver(host, entryHost, new Event.StoreReplied(call.call(), reply));
                    }
                });
            }
        });
    }

    private StoreReply executeStoreCall(StoreCall call) {
        EtcdRequest request = EtcdCodec.encode(call);
        ObjectNode answer = store.handle(request.path(), request.body(), scheduler.now());
        return answer.has("code") ? new StoreReply.Conflict() : EtcdCodec.decode(call, answer);
    }

    private void callTarget(Host host, EntryHost entryHost, Effect.CallTarget call) {
        SimulatedTarget target = targetsByAddress.get(call.address());
        boolean[] completed = new boolean[1];
        java.util.function.Consumer<TargetResult> complete = result -> scheduler.schedule(ONE_WAY_LATENCY, () -> {
            if (!completed[0]) {
                completed[0] = true;
                deliver(host, entryHost, new Event.AttemptEnded(call.attempt(), result));
            }
        });
        scheduler.schedule(call.timeout(), () -> complete.accept(new TargetResult.TimedOut()));
        if (!faults.isolated(host.domain, target.domain())) {
            scheduler.schedule(ONE_WAY_LATENCY, () -> target.call(call, complete));
        }
    }

    private void sendGrant(Host host, EntryHost entryHost, Effect.SendGrant grant) {
        SimulatedTarget target = targetsByAddress.get(grant.address());
        boolean[] completed = new boolean[1];
        java.util.function.Consumer<org.dragonflymux.core.message.GrantReply> complete =
                reply -> scheduler.schedule(ONE_WAY_LATENCY, () -> {
                    if (!completed[0]) {
                        completed[0] = true;
                        deliver(
                                host,
                                entryHost,
                                new Event.GrantReplied(grant.service(), grant.target(), grant.grant(), reply));
                    }
                });
        scheduler.schedule(
                GRANT_TIMEOUT, () -> complete.accept(new org.dragonflymux.core.message.GrantReply.TimedOut()));
        if (!faults.isolated(host.domain, target.domain())) {
            scheduler.schedule(ONE_WAY_LATENCY, () -> target.grant(grant, complete));
        }
    }

    // ---- targets ----

    /** Starts a target and returns its address, for use in service documents. */
    public String startTarget(String name, String domain, org.dragonflymux.core.document.Fencing fencing, int slots) {
        String address = "10.1.0." + (targets.size() + 1) + ":1";
        SimulatedTarget target = new SimulatedTarget(name, domain, fencing, slots, scheduler, faults, invariantChecker);
        targets.put(name, target);
        targetsByAddress.put(address, target);
        return address;
    }

    /** Kills a target's process. */
    public void killTarget(String name) {
        faults.stoppedTargets.add(name);
        targets.get(name).restart();
    }

    /** Restarts a target's process. */
    public void restartTarget(String name) {
        faults.stoppedTargets.remove(name);
        targets.get(name).restart();
    }

    /** Freezes a target's process: it accepts connections, but handles nothing until {@link #thawTarget}. */
    public void freezeTarget(String name) {
        faults.frozenTargets.add(name);
    }

    /** Resumes a frozen target. */
    public void thawTarget(String name) {
        faults.frozenTargets.remove(name);
    }

    /** Makes a target ask not to be sent new requests. */
    public void leaveTarget(String name) {
        targets.get(name).leave();
    }

    /** Makes open connections to a target stop responding, while new connections work. */
    public void silenceConnections(String name) {
        faults.silentConnections.add(name);
    }

    /** Multiplies the service time of a target by a factor. */
    public void slowDownTarget(String name, int factor) {
        faults.slowTargets.put(name, factor);
    }

    /** Makes targets crash on requests whose path contains a text. */
    public void crashOnPath(String path) {
        faults.crashOnPath = path;
    }

    /** Returns the names of all targets. */
    public List<String> targetNames() {
        return List.copyOf(targets.keySet());
    }

    /** Returns the failure domain of a target. */
    public String domainOfTarget(String name) {
        return targets.get(name).domain();
    }

    // ---- store and network ----

    /** Sets whether the store is down: it neither processes nor answers hosts' calls. */
    public void setStoreDown(boolean down) {
        faults.storeDown = down;
    }

    /** Sets whether the store's replies are lost although the calls take effect. */
    public void setStoreLosesAnswers(boolean losesAnswers) {
        faults.storeLosesAnswers = losesAnswers;
    }

    /** Sets how long a call to the store takes. */
    public void setStoreDelay(Duration delay) {
        faults.storeDelay = delay;
    }

    /** Isolates a failure domain's hosts from the store, or reconnects them. */
    public void setIsolatedFromStore(String domain, boolean isolated) {
        if (isolated) {
            faults.isolatedFromStore.add(domain);
        } else {
            faults.isolatedFromStore.remove(domain);
        }
    }

    /** Isolates a failure domain from all other domains, or reconnects it. */
    public void setIsolatedFromPeers(String domain, boolean isolated) {
        if (isolated) {
            faults.isolatedFromPeers.add(domain);
        } else {
            faults.isolatedFromPeers.remove(domain);
        }
    }

    // ---- callers ----

    /** Sends a request with a unique path through a host. */
    public Call request(String hostName, String customer, String method, String key, String idempotencyKey) {
        return request(hostName, customer, method, key, idempotencyKey, "/" + key + "/" + (lastCall + 1));
    }

    /** Sends a request with a given path through a host. */
    public Call request(
            String hostName, String customer, String method, String key, String idempotencyKey, String path) {
        Host host = hosts.get(hostName);
        long id = ++lastCall;
        Call call = new Call(path, scheduler.now());
        calls.put(id, call);
        receiverByCall.put(id, host);
        CallerRequest request = new CallerRequest(
                "key-of-" + customer,
                ServiceName.of("svc"),
                key,
                method,
                path,
                List.of(new Header(InvariantChecker.CALL_HEADER, Long.toString(id))),
                new byte[0],
                idempotencyKey,
                null);
        deliver(host, host.entryHost, new Event.CallerArrived(id, request));
        return call;
    }

    /** Returns a new idempotency key: a version 7 UUID with the current virtual time. */
    public String newIdempotencyKey() {
        long millis = scheduler.now().toEpochMilli();
        long high = millis << 16 | 0x7000 | random.nextInt(1 << 12);
        long low = random.nextLong() & 0x3fffffffffffffffL | 0x8000000000000000L;
        return new java.util.UUID(high, low).toString();
    }

    // ---- state of hosts and store ----

    /** Returns the assignment table in the store. */
    public Optional<AssignmentTable> table() {
        return Optional.ofNullable(
                        store.values(DocumentKey.PREFIX + "assignment/svc").get(DocumentKey.PREFIX + "assignment/svc"))
                .flatMap(json -> DocumentCodec.fromJson(json).toJavaOptional())
                .map(AssignmentTable.class::cast);
    }

    /** Returns the target that owns a key according to the table in the store, if any. */
    public Optional<String> owner(String key) {
        return table().map(table -> Routes.of(table, 1))
                .flatMap(routes -> routes.owner(routes.unit(KeyHash.of(key))))
                .map(lane -> lane.target().value());
    }

    /** Returns the name of the target's dispatcher according to the table in the store, if any. */
    public Optional<String> dispatcher(String target) {
        return table().flatMap(table -> table.lanes().stream()
                        .filter(lane -> lane.target().value().equals(target) && lane.dispatcher() != null)
                        .findFirst())
                .map(lane -> hostName(lane.dispatcher()));
    }

    /** Returns the name of the assigner according to the table in the store, if there is a table. */
    public Optional<String> assigner() {
        return table().map(table -> hostName(table.assigner()));
    }

    /** Returns the name of the standby according to the table in the store, if any. */
    public Optional<String> standby() {
        return table().map(AssignmentTable::standby).map(Fleet::hostName);
    }

    private static String hostName(HostId id) {
        return id.value().substring(0, id.value().lastIndexOf('.'));
    }

    /** Returns the revision of a service's document in a host's replica. */
    public long revisionAt(String host, ServiceDocument document) {
        return hosts.get(host).entryHost.replica().revisionOf(document.key());
    }

    /** Returns the highest revision of a service's document in the replica of any running host. */
    public long newestRevision(ServiceDocument document) {
        return hosts.values().stream()
                .filter(host -> host.alive)
                .mapToLong(host -> host.entryHost.replica().revisionOf(document.key()))
                .max()
                .orElse(0);
    }

    /** Returns the names of all running hosts. */
    public List<String> hostNames() {
        return hosts.values().stream()
                .filter(host -> host.alive)
                .map(host -> host.name)
                .toList();
    }

    /** Returns the failure domain of a host. */
    public String domainOfHost(String name) {
        return hosts.get(name).domain;
    }
}
