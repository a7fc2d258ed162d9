package org.dragonflymux.load.bench;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.dragonflymux.core.document.Document;
import org.dragonflymux.core.document.DocumentCodec;
import org.dragonflymux.core.document.Fencing;
import org.dragonflymux.core.document.HostRecord;
import org.dragonflymux.core.document.ServiceDocument;
import org.dragonflymux.core.document.TargetDeclaration;
import org.dragonflymux.core.host.EntryHost;
import org.dragonflymux.core.message.Effect;
import org.dragonflymux.core.message.Event;
import org.dragonflymux.core.message.GrantReply;
import org.dragonflymux.core.message.StoreCall;
import org.dragonflymux.core.message.StoreReply;
import org.dragonflymux.core.name.FailureDomain;
import org.dragonflymux.core.name.HostId;
import org.dragonflymux.core.name.ServiceName;
import org.dragonflymux.core.name.TargetId;
import org.dragonflymux.runtime.peer.PeerCodec;
import org.dragonflymux.runtime.store.EtcdCodec;
import org.dragonflymux.runtime.store.EtcdRequest;
import org.dragonflymux.standin.store.KeyValueModel;
import org.dragonflymux.standin.time.VirtualTimeScheduler;

/** What control costs an idle fleet of a given size: bytes, processor time and calls to the store. */
final class FleetCost {

    private static final Duration LATENCY = Duration.ofNanos(500_000);
    private static final Duration SETTLING = Duration.ofSeconds(6);
    private static final Duration MEASURED = Duration.ofSeconds(10);
    private static final int DOMAINS = 4;
    private static final int TARGETS_PER_HOST = 4;
    private static final int PEER_FRAME_BYTES = 4 + 40;
    private static final int HTTP_BYTES = 250;

    private record Host(String address, EntryHost machine) {}

    private final VirtualTimeScheduler time = VirtualTimeScheduler.startingAt(Instant.parse("2026-01-01T00:00:00Z"));
    private final KeyValueModel store = KeyValueModel.empty();
    private final Map<String, Host> hosts = new HashMap<>();
    private long peerBytes;
    private long storeBytes;
    private long grantBytes;
    private long nanos;
    private long storeCalls;
    private final int size;

    private FleetCost(int size) {
        this.size = size;
    }

    /** Costs of one host in one second. */
    record Costs(double peerBytes, double storeBytes, double grantBytes, double cpuMicros, double storeCallsOfFleet) {}

    static Costs measure(int hosts, int partitions) {
        return new FleetCost(hosts).measure(partitions);
    }

    private Costs measure(int partitions) {
        apply(service(partitions));
        Random random = new Random(1);
        for (int i = 0; i < size; i++) {
            start(i, random);
        }
        time.advance(SETTLING);
        peerBytes = 0;
        storeBytes = 0;
        grantBytes = 0;
        nanos = 0;
        storeCalls = store.calls();
        time.advance(MEASURED);
        double hostSeconds = size * (double) MEASURED.toSeconds();
        return new Costs(
                peerBytes / hostSeconds,
                storeBytes / hostSeconds,
                grantBytes / hostSeconds,
                nanos / 1000.0 / hostSeconds,
                (store.calls() - storeCalls) / (double) MEASURED.toSeconds());
    }

    private ServiceDocument service(int partitions) {
        List<TargetDeclaration> targets = new ArrayList<>();
        for (int i = 0; i < size * TARGETS_PER_HOST; i++) {
            targets.add(new TargetDeclaration(TargetId.of("t" + i), domain(i), "127.0.0.1:" + (i + 1), 3));
        }
        return new ServiceDocument(
                ServiceName.of("svc"), partitions, Fencing.CHECKED, null, 0, 0, 0, 0, Set.of("GET"), targets);
    }

    private static FailureDomain domain(int index) {
        return FailureDomain.of("d" + index % DOMAINS);
    }

    private void apply(Document document) {
        EtcdRequest write = EtcdCodec.compareAndSwap(document.key(), 0, DocumentCodec.toJson(document));
        store.handle(write.path(), write.body(), time.now());
    }

    private void start(int index, Random random) {
        String address = "10.0." + index / 250 + "." + (index % 250 + 1) + ":1";
        HostRecord record = new HostRecord(HostId.of("h" + index + ".r1"), domain(index), address, index, false);
        Host host = new Host(address, EntryHost.start(record, List.of(), new Random(random.nextLong())));
        hosts.put(address, host);
        time.schedule(Duration.ofMillis(random.nextInt(500)), () -> tick(host));
    }

    private void tick(Host host) {
        deliver(host, new Event.Tick());
        time.schedule(EntryHost.TICK, () -> tick(host));
    }

    private void deliver(Host host, Event event) {
        long before = System.nanoTime();
        List<Effect> effects = host.machine().on(event, time.now());
        nanos += System.nanoTime() - before;
        effects.forEach(effect -> carryOut(host, effect));
    }

    private void carryOut(Host host, Effect effect) {
        switch (effect) {
            case Effect.SendPeer send -> sendPeer(host, send);
            case Effect.CallStore call -> callStore(host, call);
            case Effect.SendGrant grant -> {
                grantBytes += HTTP_BYTES + 80;
                GrantReply reply = new GrantReply.Answered(!grant.boot().isEmpty(), "boot", millis(), false);
                time.schedule(
                        LATENCY,
                        () -> deliver(
                                host, new Event.GrantReplied(grant.service(), grant.target(), grant.grant(), reply)));
            }
            default -> {}
        }
    }

    private long millis() {
        return time.now().toEpochMilli();
    }

    private void sendPeer(Host from, Effect.SendPeer send) {
        long before = System.nanoTime();
        byte[] frame = PeerCodec.encode(send.message());
        PeerCodec.decode(frame);
        nanos += System.nanoTime() - before;
        peerBytes += frame.length + PEER_FRAME_BYTES;
        Host to = hosts.get(send.address());
        if (to != null) {
            time.schedule(LATENCY, () -> deliver(to, new Event.PeerArrived(from.address(), send.message())));
        }
    }

    private void callStore(Host host, Effect.CallStore call) {
        StoreReply reply = ask(call.body());
        time.schedule(LATENCY.multipliedBy(4), () -> deliver(host, new Event.StoreReplied(call.call(), reply)));
    }

    private StoreReply ask(StoreCall call) {
        EtcdRequest request = EtcdCodec.encode(call);
        ObjectNode answer = store.handle(request.path(), request.body(), time.now());
        storeBytes += 2L * HTTP_BYTES
                + request.body().toString().length()
                + answer.toString().length();
        return answer.has("code") ? new StoreReply.Conflict() : EtcdCodec.decode(call, answer);
    }
}
