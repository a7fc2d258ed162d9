package org.dragonflymux.load.bench;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.dragonflymux.core.assignment.PlanInput;
import org.dragonflymux.core.assignment.Routes;
import org.dragonflymux.core.assignment.TablePlanner;
import org.dragonflymux.core.configuration.ConfigurationReplica;
import org.dragonflymux.core.configuration.StoredEntry;
import org.dragonflymux.core.credential.CredentialRegistry;
import org.dragonflymux.core.document.AssignmentTable;
import org.dragonflymux.core.document.CredentialGrant;
import org.dragonflymux.core.document.CustomerDocument;
import org.dragonflymux.core.document.DocumentCodec;
import org.dragonflymux.core.document.Fencing;
import org.dragonflymux.core.document.HostRecord;
import org.dragonflymux.core.document.Lane;
import org.dragonflymux.core.document.LaneState;
import org.dragonflymux.core.document.ServiceDocument;
import org.dragonflymux.core.document.TargetDeclaration;
import org.dragonflymux.core.idempotency.IdempotencyKey;
import org.dragonflymux.core.idempotency.IdempotencyRegistry;
import org.dragonflymux.core.name.CustomerName;
import org.dragonflymux.core.name.FailureDomain;
import org.dragonflymux.core.name.HostId;
import org.dragonflymux.core.name.ServiceName;
import org.dragonflymux.core.name.TargetId;

/** Measures time, heap and encoded size of single components of the decision logic. */
final class DecisionCost {

    private static final int REPEATS = 7;
    private static final Instant NOW = Instant.parse("2026-01-01T00:00:00Z");

    private DecisionCost() {}

    /** Returns the heap usage after garbage collection. */
    private static long usedHeapBytes() {
        for (int i = 0; i < 4; i++) {
            System.gc();
        }
        Runtime runtime = Runtime.getRuntime();
        return runtime.totalMemory() - runtime.freeMemory();
    }

    private static double minMillis(Runnable action) {
        double min = Double.MAX_VALUE;
        for (int i = 0; i < REPEATS; i++) {
            long before = System.nanoTime();
            action.run();
            min = Math.min(min, (System.nanoTime() - before) / 1e6);
        }
        return min;
    }

    private static List<StoredEntry> customers(int count) {
        List<StoredEntry> entries = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            CustomerDocument customer = new CustomerDocument(
                    CustomerName.of("customer-" + i),
                    100,
                    50,
                    1,
                    Map.of(),
                    List.of(new CredentialGrant("id", CredentialRegistry.hash("credential-" + i))));
            entries.add(new StoredEntry(customer.key(), i + 1, DocumentCodec.toJson(customer)));
        }
        return entries;
    }

    static double replicaKilobytes(int documents) {
        List<StoredEntry> entries = customers(documents);
        long before = usedHeapBytes();
        ConfigurationReplica replica = ConfigurationReplica.empty(_ -> {});
        replica.merge(entries, 0, documents);
        long after = usedHeapBytes();
        return replica.revision() == documents ? (after - before) / 1024.0 : Double.NaN;
    }

    static double replicaMergeMillis(int documents) {
        List<StoredEntry> entries = customers(documents);
        return minMillis(() -> ConfigurationReplica.empty(_ -> {}).merge(entries, 0, documents));
    }

    static AssignmentTable table(int partitions, int targets) {
        List<Lane> lanes = new ArrayList<>();
        for (int i = 0; i < targets; i++) {
            lanes.add(new Lane(TargetId.of("target-" + i), HostId.of("host-" + i / 4 + ".abc123"), i, LaneState.OPEN));
        }
        List<Integer> owners = new ArrayList<>();
        for (int i = 0; i < partitions; i++) {
            owners.add(i % targets);
        }
        return new AssignmentTable(
                ServiceName.of("svc"),
                1,
                HostId.of("host-0.abc123"),
                null,
                300_000,
                targets + 1,
                partitions,
                List.of(),
                lanes,
                owners,
                List.of());
    }

    static double tableKilobytes(int partitions, int targets) {
        return DocumentCodec.toJson(table(partitions, targets)).length() / 1024.0;
    }

    static double planMillis(int partitions, int targets) {
        AssignmentTable table = table(partitions, targets);
        PlanInput input = planInput(partitions, targets);
        return minMillis(() -> TablePlanner.next(input, table));
    }

    private static PlanInput planInput(int partitions, int targets) {
        List<TargetDeclaration> declarations = new ArrayList<>();
        var hosts = new java.util.TreeMap<HostId, HostRecord>();
        for (int i = 0; i < targets; i++) {
            FailureDomain domain = FailureDomain.of("d" + i % 16);
            declarations.add(new TargetDeclaration(TargetId.of("target-" + i), domain, "127.0.0.1:1", 3));
            HostId host = HostId.of("host-" + i / 4 + ".abc123");
            hosts.putIfAbsent(host, new HostRecord(host, domain, "127.0.0.1:1", 1, false));
        }
        ServiceDocument service = new ServiceDocument(
                ServiceName.of("svc"), partitions, Fencing.CHECKED, null, 0, 0, 0, 0, null, declarations);
        return new PlanInput(
                HostId.of("host-0.abc123"),
                service,
                hosts,
                java.util.Set.of(),
                java.util.Set.of(),
                new java.util.TreeMap<>(),
                Map.of());
    }

    static double routesMillis(int partitions, int targets) {
        String json = DocumentCodec.toJson(table(partitions, targets));
        return minMillis(
                () -> Routes.of((AssignmentTable) DocumentCodec.fromJson(json).get(), 1));
    }

    static double idempotencyKilobytes(int entries) {
        Random random = new Random(1);
        long before = usedHeapBytes();
        IdempotencyRegistry registry = IdempotencyRegistry.empty();
        for (int i = 0; i < entries; i++) {
            long high = NOW.toEpochMilli() << 16 | 0x7000 | random.nextInt(1 << 12);
            IdempotencyKey key = new IdempotencyKey(new java.util.UUID(high, random.nextLong()), NOW);
            registry.claim(CustomerName.of("c"), key, NOW.minus(Duration.ofDays(1)), NOW);
        }
        long after = usedHeapBytes();
        return registry.size() == entries ? (after - before) / 1024.0 : Double.NaN;
    }
}
