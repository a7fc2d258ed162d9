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

/** Measures what the control plane of an idle fleet of a given size costs: bytes, CPU time and calls to the store. */
final class FleetCost {

    private static final Duration NETWORK_LATENCY = Duration.ofNanos(500_000);
    private static final Duration SETTLING_TIME = Duration.ofSeconds(6);
    private static final Duration MEASUREMENT_TIME = Duration.ofSeconds(10);
    private static final int DOMAINS = 4;
    private static final int TARGETS_PER_HOST = 4;
    private static final int PEER_FRAME_OVERHEAD_BYTES = 4 + 40;
    private static final int HTTP_OVERHEAD_BYTES = 250;

    private record Host(String address, EntryHost entryHost) {}

    private final VirtualTimeScheduler scheduler =
            VirtualTimeScheduler.startingAt(Instant.parse("2026-01-01T00:00:00Z"));
    private final KeyValueModel store = KeyValueModel.empty();
    private final Map<String, Host> hosts = new HashMap<>();
    private long peerBytes;
    private long storeBytes;
    private long grantBytes;
    private long cpuNanos;
    private long storeCalls;
    private final int hostCount;

    private FleetCost(int hostCount) {
        this.hostCount = hostCount;
    }

    /** Costs per second, of one host except for {@code storeCallsOfFleet}. */
    record Costs(double peerBytes, double storeBytes, double grantBytes, double cpuMicros, double storeCallsOfFleet) {}

    static Costs measure(int hosts, int partitions) {
        return new FleetCost(hosts).measure(partitions);
    }

    private Costs measure(int partitions) {
        apply(service(partitions));
        Random random = new Random(1);
        for (int i = 0; i < hostCount; i++) {
            start(i, random);
        }
        scheduler.advance(SETTLING_TIME);
        peerBytes = 0;
        storeBytes = 0;
        grantBytes = 0;
        cpuNanos = 0;
        storeCalls = store.calls();
        scheduler.advance(MEASUREMENT_TIME);
        double hostSeconds = hostCount * (double) MEASUREMENT_TIME.toSeconds();
        return new Costs(
                peerBytes / hostSeconds,
                storeBytes / hostSeconds,
                grantBytes / hostSeconds,
                cpuNanos / 1000.0 / hostSeconds,
                (store.calls() - storeCalls) / (double) MEASUREMENT_TIME.toSeconds());
    }

    private ServiceDocument service(int partitions) {
        List<TargetDeclaration> targets = new ArrayList<>();
        for (int i = 0; i < hostCount * TARGETS_PER_HOST; i++) {
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
        store.handle(write.path(), write.body(), scheduler.now());
    }

    private void start(int index, Random random) {
        String address = "10.0." + index / 250 + "." + (index % 250 + 1) + ":1";
        HostRecord record = new HostRecord(HostId.of("h" + index + ".r1"), domain(index), address, index, false);
        Host host = new Host(address, EntryHost.start(record, List.of(), new Random(random.nextLong())));
        hosts.put(address, host);
        scheduler.schedule(Duration.ofMillis(random.nextInt(500)), () -> tick(host));
    }

    private void tick(Host host) {
        deliver(host, new Event.Tick());
        scheduler.schedule(EntryHost.TICK, () -> tick(host));
    }

    private void deliver(Host host, Event event) {
        long before = System.nanoTime();
        List<Effect> effects = host.entryHost().on(event, scheduler.now());
        cpuNanos += System.nanoTime() - before;
        effects.forEach(effect -> execute(host, effect));
    }

    private void execute(Host host, Effect effect) {
        switch (effect) {
            case Effect.SendPeer send -> sendPeer(host, send);
            case Effect.CallStore call -> callStore(host, call);
            case Effect.SendGrant grant -> {
                grantBytes += HTTP_OVERHEAD_BYTES + 80;
                GrantReply reply = new GrantReply.Answered(!grant.boot().isEmpty(), "boot", nowMillis(), false);
                scheduler.schedule(
                        NETWORK_LATENCY,
                        () -> deliver(
                                host, new Event.GrantReplied(grant.service(), grant.target(), grant.grant(), reply)));
            }
            default -> {}
        }
    }

    private long nowMillis() {
        return scheduler.now().toEpochMilli();
    }

    private void sendPeer(Host from, Effect.SendPeer send) {
        long before = System.nanoTime();
        byte[] frame = PeerCodec.encode(send.message());
        PeerCodec.decode(frame);
        cpuNanos += System.nanoTime() - before;
        peerBytes += frame.length + PEER_FRAME_OVERHEAD_BYTES;
        Host to = hosts.get(send.address());
        if (to != null) {
            scheduler.schedule(
                    NETWORK_LATENCY, () -> deliver(to, new Event.PeerArrived(from.address(), send.message())));
        }
    }

    private void callStore(Host host, Effect.CallStore call) {
        StoreReply reply = handleStoreCall(call.body());
        scheduler.schedule(
                NETWORK_LATENCY.multipliedBy(4), () -> deliver(host, new Event.StoreReplied(call.call(), reply)));
    }

    private StoreReply handleStoreCall(StoreCall call) {
        EtcdRequest request = EtcdCodec.encode(call);
        ObjectNode answer = store.handle(request.path(), request.body(), scheduler.now());
        storeBytes += 2L * HTTP_OVERHEAD_BYTES
                + request.body().toString().length()
                + answer.toString().length();
        return answer.has("code") ? new StoreReply.Conflict() : EtcdCodec.decode(call, answer);
    }
}
