package org.dragonflymux.scenarios.bench;

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

/** Entry hosts, targets and a store on one timeline. */
public final class Fleet {

    private static final boolean TRACE = Boolean.getBoolean("scenario.trace");
    private static final Duration STORE_TIMEOUT = Duration.ofMillis(800);
    private static final Duration GRANT_TIMEOUT = Duration.ofMillis(600);
    private static final Duration LINK_TIMEOUT = Duration.ofMillis(1500);
    private static final Duration ONE_WAY = Duration.ofNanos(500_000);

    /** A caller's request and what became of it. */
    public static final class Call {
        private final String path;
        private final Instant askedAt;
        private Outcome outcome;
        private Instant answeredAt;

        private Call(String path, Instant askedAt) {
            this.path = path;
            this.askedAt = askedAt;
        }

        /** Returns the outcome, if there is one yet. */
        public Optional<Outcome> outcome() {
            return Optional.ofNullable(outcome);
        }

        /** Returns how long the caller waited. */
        public Duration elapsed() {
            return Duration.between(askedAt, answeredAt);
        }

        /** Tells whether the target's answer came. */
        public boolean succeeded() {
            return outcome instanceof Outcome.Answered;
        }
    }

    private static final class Host {
        private final String name;
        private final String domain;
        private final String address;
        private EntryHost machine;
        private boolean alive;
        private int runs;
        private final List<Event> whilePaused = new ArrayList<>();
        private final Map<String, Long> seenRevisions = new HashMap<>();

        private Host(String name, String domain, String address) {
            this.name = name;
            this.domain = domain;
            this.address = address;
        }
    }

    private final VirtualTimeScheduler time = VirtualTimeScheduler.startingAt(Instant.parse("2026-01-01T00:00:00Z"));
    private final Faults faults = new Faults();
    private final Checkers checkers = new Checkers();
    private final KeyValueModel store = KeyValueModel.empty();
    private final Map<String, Host> hosts = new LinkedHashMap<>();
    private final Map<String, Host> hostsByAddress = new HashMap<>();
    private final Map<String, BenchTarget> targets = new LinkedHashMap<>();
    private final Map<String, BenchTarget> targetsByAddress = new HashMap<>();
    private final Map<Long, Call> calls = new HashMap<>();
    private final Random random;
    private long lastCall;

    private Fleet(long seed) {
        this.random = new Random(seed);
    }

    /** Returns an empty fleet whose random choices follow from a seed. */
    public static Fleet seeded(long seed) {
        return new Fleet(seed);
    }

    /** Returns the checkers. */
    public Checkers checkers() {
        return checkers;
    }

    /** Returns the time. */
    public Instant now() {
        return time.now();
    }

    /** Lets time pass. */
    public void advance(Duration duration) {
        time.advance(duration);
    }

    // ---- operators ----

    /** Writes a document into the store, as an operator does; the operator reaches the store whenever it is up. */
    public void apply(Document document) {
        EtcdRequest read = new EtcdRequest(
                EtcdCodec.RANGE,
                com.fasterxml.jackson.databind.node.JsonNodeFactory.instance
                        .objectNode()
                        .put("key", EtcdCodec.encodeBase64(document.key().path())));
        List<StoredEntry> found = EtcdCodec.decodeRange(store.handle(read.path(), read.body(), time.now()));
        long revision = found.isEmpty() ? 0 : found.getFirst().revision();
        EtcdRequest write = EtcdCodec.compareAndSwap(document.key(), revision, DocumentCodec.toJson(document));
        store.handle(write.path(), write.body(), time.now());
    }

    /** Writes a customer with one credential, {@code key-of-NAME}. */
    public void customer(String name, double rate, int burst, int weight, Map<FailureDomain, RateReserve> reserves) {
        apply(new CustomerDocument(
                CustomerName.of(name),
                rate,
                burst,
                weight,
                reserves,
                List.of(new CredentialGrant("id", CredentialRegistry.hash("key-of-" + name)))));
    }

    /** Withdraws a customer's credentials. */
    public void withdraw(String name) {
        apply(new CustomerDocument(CustomerName.of(name), 100, 50, 1, Map.of(), List.of()));
    }

    // ---- hosts ----

    /** Starts an entry host, as a new run when it ran before. */
    public void startHost(String name, String domain) {
        Host host = hosts.computeIfAbsent(name, key -> {
            Host fresh = new Host(name, domain, "10.0.0." + (hosts.size() + 1) + ":1");
            hostsByAddress.put(fresh.address, fresh);
            return fresh;
        });
        host.runs++;
        host.alive = true;
        HostRecord record = new HostRecord(
                HostId.of(name + ".r" + host.runs), FailureDomain.of(domain), host.address, host.runs, false);
        List<String> seeds = hosts.values().stream().map(known -> known.address).toList();
        host.machine = EntryHost.start(record, seeds, new Random(random.nextLong()));
        EntryHost machine = host.machine;
        time.schedule(Duration.ofMillis(random.nextInt(20)), () -> tick(host, machine));
    }

    private void tick(Host host, EntryHost machine) {
        boolean same = host.alive && host.machine.equals(machine);
        if (!same) {
            return;
        }
        if (!faults.pausedHosts.contains(host.name)) {
            deliver(host, machine, new Event.Tick());
        }
        time.schedule(EntryHost.TICK, () -> tick(host, machine));
    }

    private void deliver(Host host, EntryHost machine, Event event) {
        boolean same = host.alive && host.machine.equals(machine);
        if (!same) {
            return;
        }
        if (faults.pausedHosts.contains(host.name)) {
            host.whilePaused.add(event);
            return;
        }
        List<Effect> effects = machine.on(event, time.now());
        checkRevisions(host);
        effects.forEach(effect -> carryOut(host, machine, effect));
    }

    private void checkRevisions(Host host) {
        if (!host.alive) {
            return;
        }
        for (DocumentKey key :
                List.of(DocumentKey.service(ServiceName.of("svc")), DocumentKey.assignment(ServiceName.of("svc")))) {
            long revision = host.machine.replica().revisionOf(key);
            Long before = host.seenRevisions.put(key.path() + host.runs, revision);
            if (before != null) {
                checkers.revision(host.name, key.path(), before, revision);
            }
        }
    }

    /** Ends an entry host's process. */
    public void kill(String name) {
        Host host = hosts.get(name);
        host.alive = false;
        host.whilePaused.clear();
        hosts.values().stream().filter(other -> other.alive).forEach(other -> failForwards(other, host));
    }

    private final Map<Long, Host> forwardedTo = new HashMap<>();

    private void failForwards(Host sender, Host lost) {
        for (Map.Entry<Long, Host> entry : List.copyOf(forwardedTo.entrySet())) {
            boolean theirs = entry.getValue().equals(lost) && callOwners.get(entry.getKey()) == sender;
            if (theirs) {
                forwardedTo.remove(entry.getKey());
                EntryHost machine = sender.machine;
                time.schedule(ONE_WAY, () -> deliver(sender, machine, new Event.ForwardFailed(entry.getKey(), true)));
            }
        }
    }

    private final Map<Long, Host> callOwners = new HashMap<>();

    /** Stops an entry host's process from running until {@link #resume}. */
    public void pause(String name) {
        faults.pausedHosts.add(name);
    }

    /** Lets a paused process go on; it first sees what came meanwhile. */
    public void resume(String name) {
        faults.pausedHosts.remove(name);
        Host host = hosts.get(name);
        List<Event> late = List.copyOf(host.whilePaused);
        host.whilePaused.clear();
        late.forEach(event -> deliver(host, host.machine, event));
    }

    /** Asks an entry host to shut down gracefully. */
    public void shutDown(String name) {
        Host host = hosts.get(name);
        deliver(host, host.machine, new Event.ShutdownRequested());
    }

    /** Tells whether a host's process runs. */
    public boolean running(String name) {
        return hosts.get(name).alive;
    }

    // ---- effects ----

    private void carryOut(Host host, EntryHost machine, Effect effect) {
        switch (effect) {
            case Effect.AnswerCaller answer -> answerCaller(answer);
            case Effect.SendPeer send -> sendPeer(host, machine, send);
            case Effect.CallStore call -> callStore(host, machine, call);
            case Effect.CallTarget call -> callTarget(host, machine, call);
            case Effect.SendGrant grant -> sendGrant(host, machine, grant);
            case Effect.Note note -> observed(host, note.observation());
            case Effect.Exit _ -> host.alive = false;
        }
    }

    private void observed(Host host, Observation observation) {
        if (observation instanceof Observation.Admitted admitted) {
            checkers.admitted(admitted.customer().value(), time.now());
        } else if (TRACE) {
            System.out.println(time.now() + " " + host.name + " " + observation);
        }
    }

    private void answerCaller(Effect.AnswerCaller answer) {
        Call call = calls.get(answer.request());
        if (call.outcome == null) {
            call.outcome = answer.outcome();
            call.answeredAt = time.now();
            checkers.answered(answer.request(), call.path, answer.outcome());
        }
    }

    private void sendPeer(Host from, EntryHost machine, Effect.SendPeer send) {
        Host to = hostsByAddress.get(send.address());
        if (to == null) {
            return;
        }
        boolean cut = faults.separated(from.domain, to.domain) || !to.alive;
        if (send.message() instanceof PeerMessage.Forward forward) {
            if (cut) {
                time.schedule(ONE_WAY, () -> deliver(from, machine, new Event.ForwardFailed(forward.request(), false)));
                return;
            }
            forwardedTo.put(forward.request(), to);
            time.schedule(LINK_TIMEOUT, () -> checkLink(from, machine, forward.request(), to));
        }
        if (!cut) {
            time.schedule(ONE_WAY, () -> arrive(from, to, send.message()));
        }
    }

    // A link on which nothing comes any more is closed, and the forwards on it fail.
    private void checkLink(Host from, EntryHost machine, long request, Host to) {
        boolean open = to.equals(forwardedTo.get(request));
        boolean silent = faults.separated(from.domain, to.domain) || faults.pausedHosts.contains(to.name) || !to.alive;
        if (open && silent) {
            forwardedTo.remove(request);
            deliver(from, machine, new Event.ForwardFailed(request, true));
        } else if (open) {
            time.schedule(LINK_TIMEOUT, () -> checkLink(from, machine, request, to));
        }
    }

    private void arrive(Host from, Host to, PeerMessage message) {
        if (!to.alive || faults.separated(from.domain, to.domain)) {
            return;
        }
        if (message instanceof PeerMessage.ForwardOutcome outcome) {
            forwardedTo.remove(outcome.request());
        }
        deliver(to, to.machine, new Event.PeerArrived(from.address, message));
    }

    private void callStore(Host host, EntryHost machine, Effect.CallStore call) {
        boolean cut = faults.cutFromStore.contains(host.domain);
        boolean[] answered = new boolean[1];
        time.schedule(STORE_TIMEOUT, () -> {
            if (!answered[0]) {
                answered[0] = true;
                deliver(host, machine, new Event.StoreReplied(call.call(), new StoreReply.Unavailable()));
            }
        });
        if (faults.storeDown || cut) {
            return;
        }
        time.schedule(faults.storeDelay.dividedBy(2), () -> {
            if (faults.storeDown) {
                return;
            }
            StoreReply reply = ask(call.body());
            boolean lost = faults.storeLosesAnswers || faults.cutFromStore.contains(host.domain);
            if (!lost) {
                time.schedule(faults.storeDelay.dividedBy(2), () -> {
                    if (!answered[0]) {
                        answered[0] = true;
                        deliver(host, machine, new Event.StoreReplied(call.call(), reply));
                    }
                });
            }
        });
    }

    private StoreReply ask(StoreCall call) {
        EtcdRequest request = EtcdCodec.encode(call);
        ObjectNode answer = store.handle(request.path(), request.body(), time.now());
        return answer.has("code") ? new StoreReply.Conflict() : EtcdCodec.decode(call, answer);
    }

    private void callTarget(Host host, EntryHost machine, Effect.CallTarget call) {
        BenchTarget target = targetsByAddress.get(call.address());
        boolean[] ended = new boolean[1];
        java.util.function.Consumer<TargetResult> end = result -> time.schedule(ONE_WAY, () -> {
            if (!ended[0]) {
                ended[0] = true;
                deliver(host, machine, new Event.AttemptEnded(call.attempt(), result));
            }
        });
        time.schedule(call.timeout(), () -> end.accept(new TargetResult.TimedOut()));
        if (!faults.separated(host.domain, target.domain())) {
            time.schedule(ONE_WAY, () -> target.call(call, end));
        }
    }

    private void sendGrant(Host host, EntryHost machine, Effect.SendGrant grant) {
        BenchTarget target = targetsByAddress.get(grant.address());
        boolean[] ended = new boolean[1];
        java.util.function.Consumer<org.dragonflymux.core.message.GrantReply> end =
                reply -> time.schedule(ONE_WAY, () -> {
                    if (!ended[0]) {
                        ended[0] = true;
                        deliver(
                                host,
                                machine,
                                new Event.GrantReplied(grant.service(), grant.target(), grant.grant(), reply));
                    }
                });
        time.schedule(GRANT_TIMEOUT, () -> end.accept(new org.dragonflymux.core.message.GrantReply.TimedOut()));
        if (!faults.separated(host.domain, target.domain())) {
            time.schedule(ONE_WAY, () -> target.grant(grant, end));
        }
    }

    // ---- targets ----

    /** Starts a target and returns the address that documents name. */
    public String startTarget(String name, String domain, org.dragonflymux.core.document.Fencing fencing, int slots) {
        String address = "10.1.0." + (targets.size() + 1) + ":1";
        BenchTarget target = new BenchTarget(name, domain, fencing, slots, time, faults, checkers);
        targets.put(name, target);
        targetsByAddress.put(address, target);
        return address;
    }

    /** Ends a target's process. */
    public void killTarget(String name) {
        faults.lostTargets.add(name);
        targets.get(name).restart();
    }

    /** Starts a killed target's process again, cold. */
    public void restartTarget(String name) {
        faults.lostTargets.remove(name);
        targets.get(name).restart();
    }

    /** Stops a target's process from running. */
    public void freezeTarget(String name) {
        faults.frozenTargets.add(name);
    }

    /** Lets a frozen target go on. */
    public void thawTarget(String name) {
        faults.frozenTargets.remove(name);
    }

    /** Lets a target ask for no new work. */
    public void leaveTarget(String name) {
        targets.get(name).leave();
    }

    /** Makes open connections to a target go silent; new ones work. */
    public void silenceTarget(String name) {
        faults.silentTargets.add(name);
    }

    /** Makes a target slower by a factor. */
    public void slowTarget(String name, int factor) {
        faults.slowTargets.put(name, factor);
    }

    /** Makes requests whose path has a text crash the target that runs them. */
    public void crashOn(String path) {
        faults.crashingPath = path;
    }

    /** Returns the names of all targets. */
    public List<String> targetNames() {
        return List.copyOf(targets.keySet());
    }

    /** Returns the failure domain of a target. */
    public String domainOfTarget(String name) {
        return targets.get(name).domain();
    }

    // ---- store and links ----

    /** Sets whether the store answers nobody. */
    public void storeDown(boolean down) {
        faults.storeDown = down;
    }

    /** Sets whether the store's answers are lost after calls took effect. */
    public void storeLosesAnswers(boolean loses) {
        faults.storeLosesAnswers = loses;
    }

    /** Sets how long the store takes for a call. */
    public void storeDelay(Duration delay) {
        faults.storeDelay = delay;
    }

    /** Cuts a failure domain off from the store, or joins it again. */
    public void cutFromStore(String domain, boolean cut) {
        if (cut) {
            faults.cutFromStore.add(domain);
        } else {
            faults.cutFromStore.remove(domain);
        }
    }

    /** Cuts a failure domain off from all others, or joins it again. */
    public void cutFromPeers(String domain, boolean cut) {
        if (cut) {
            faults.cutFromPeers.add(domain);
        } else {
            faults.cutFromPeers.remove(domain);
        }
    }

    // ---- callers ----

    /** Sends a request through a host. */
    public Call request(String hostName, String customer, String method, String key, String idempotencyKey) {
        return request(hostName, customer, method, key, idempotencyKey, "/" + key + "/" + (lastCall + 1));
    }

    /** Sends a request with a given path through a host. */
    public Call request(
            String hostName, String customer, String method, String key, String idempotencyKey, String path) {
        Host host = hosts.get(hostName);
        long id = ++lastCall;
        Call call = new Call(path, time.now());
        calls.put(id, call);
        callOwners.put(id, host);
        CallerRequest request = new CallerRequest(
                "key-of-" + customer,
                ServiceName.of("svc"),
                key,
                method,
                path,
                List.of(new Header(Checkers.CALL_HEADER, Long.toString(id))),
                new byte[0],
                idempotencyKey,
                null);
        deliver(host, host.machine, new Event.CallerArrived(id, request));
        return call;
    }

    /** Returns a new idempotency key, made now. */
    public String newIdempotencyKey() {
        long millis = time.now().toEpochMilli();
        long high = millis << 16 | 0x7000 | random.nextInt(1 << 12);
        long low = random.nextLong() & 0x3fffffffffffffffL | 0x8000000000000000L;
        return new java.util.UUID(high, low).toString();
    }

    // ---- what hosts and store show ----

    /** Returns the assignment table in the store. */
    public Optional<AssignmentTable> table() {
        return Optional.ofNullable(
                        store.values(DocumentKey.PREFIX + "assignment/svc").get(DocumentKey.PREFIX + "assignment/svc"))
                .flatMap(json -> DocumentCodec.fromJson(json).toJavaOptional())
                .map(AssignmentTable.class::cast);
    }

    /** Returns the target that owns a key by the table in the store, if any. */
    public Optional<String> owner(String key) {
        return table().map(table -> Routes.of(table, 1))
                .flatMap(routes -> routes.owner(routes.unit(KeyHash.of(key))))
                .map(lane -> lane.target().value());
    }

    /** Returns the name of the host that dispatches to a target by the table in the store, if any. */
    public Optional<String> dispatcher(String target) {
        return table().flatMap(table -> table.lanes().stream()
                        .filter(lane -> lane.target().value().equals(target) && lane.dispatcher() != null)
                        .findFirst())
                .map(lane -> hostName(lane.dispatcher()));
    }

    /** Returns the name of the host that assigns, by the table in the store. */
    public Optional<String> assigner() {
        return table().map(table -> hostName(table.assigner()));
    }

    /** Returns the name of the standby, by the table in the store. */
    public Optional<String> standby() {
        return table().map(AssignmentTable::standby).map(Fleet::hostName);
    }

    private static String hostName(HostId id) {
        return id.value().substring(0, id.value().lastIndexOf('.'));
    }

    /** Returns the revision of a service's document that a host has. */
    public long revisionAt(String host, ServiceDocument document) {
        return hosts.get(host).machine.replica().revisionOf(document.key());
    }

    /** Returns the highest revision of a service's document that any host has. */
    public long newestRevision(ServiceDocument document) {
        return hosts.values().stream()
                .filter(host -> host.alive)
                .mapToLong(host -> host.machine.replica().revisionOf(document.key()))
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
