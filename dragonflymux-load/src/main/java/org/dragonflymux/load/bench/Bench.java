package org.dragonflymux.load.bench;

import java.util.List;
import java.util.Locale;
import org.dragonflymux.runtime.settings.Program;

/** The program {@code dragonfly-bench}: fits costs as linear functions of sizes, for docs/CAPACITY.md. */
public final class Bench {

    private static final int TARGETS = 64;

    private Bench() {}

    /** Runs all benchmarks; takes about two minutes. */
    public static void main(String[] arguments) {
        measureFleet();
        measureReplica();
        measureTables();
        measureIdempotency();
    }

    private static void measureFleet() {
        FleetCost.measure(12, 64);
        LinearFit peerBytes = LinearFit.of("peer bytes per second per host", "hosts");
        LinearFit storeBytes = LinearFit.of("store bytes per second per host", "hosts");
        LinearFit grantBytes = LinearFit.of("grant bytes per second per host with 4 targets", "hosts");
        LinearFit cpu = LinearFit.of("decision and codec time per idle host, microseconds per second", "hosts");
        LinearFit storeCalls = LinearFit.of("store calls per second of the fleet", "hosts");
        for (int hosts : List.of(6, 12, 24, 48, 96)) {
            FleetCost.Costs costs = FleetCost.measure(hosts, 256);
            peerBytes.add(hosts, costs.peerBytes());
            storeBytes.add(hosts, costs.storeBytes());
            grantBytes.add(hosts, costs.grantBytes());
            cpu.add(hosts, costs.cpuMicros());
            storeCalls.add(hosts, costs.storeCallsOfFleet());
        }
        print(peerBytes, storeBytes, grantBytes, cpu, storeCalls);
    }

    private static void measureReplica() {
        LinearFit memory = LinearFit.of("replica heap, kB", "documents");
        LinearFit merge = LinearFit.of("replica merge, ms", "documents");
        for (int documents : List.of(1000, 4000, 16_000, 32_000)) {
            memory.add(documents, DecisionCost.replicaKilobytes(documents));
            merge.add(documents, DecisionCost.replicaMergeMillis(documents));
        }
        print(memory, merge);
    }

    private static void measureTables() {
        LinearFit size = LinearFit.of("encoded table with 64 targets, kB", "partitions");
        LinearFit plan = LinearFit.of("planning a table with 64 targets, ms", "partitions");
        LinearFit routes = LinearFit.of("decoding a table with 64 targets into routes, ms", "partitions");
        for (int partitions : List.of(256, 1024, 4096, 16_384)) {
            size.add(partitions, DecisionCost.tableKilobytes(partitions, TARGETS));
            plan.add(partitions, DecisionCost.planMillis(partitions, TARGETS));
            routes.add(partitions, DecisionCost.routesMillis(partitions, TARGETS));
        }
        LinearFit planByTargets = LinearFit.of("planning a table with 4096 partitions, ms", "targets");
        LinearFit sizeByTargets = LinearFit.of("encoded table with 4096 partitions, kB", "targets");
        for (int targets : List.of(16, 64, 256)) {
            planByTargets.add(targets, DecisionCost.planMillis(4096, targets));
            sizeByTargets.add(targets, DecisionCost.tableKilobytes(4096, targets));
        }
        print(size, plan, routes, planByTargets, sizeByTargets);
    }

    private static void measureIdempotency() {
        LinearFit idempotency = LinearFit.of("heap of the registry of idempotency keys, kB", "entries");
        for (int entries : List.of(10_000, 40_000, 100_000)) {
            idempotency.add(entries, DecisionCost.idempotencyKilobytes(entries));
        }
        print(idempotency);
    }

    private static void print(LinearFit... fits) {
        for (LinearFit fit : fits) {
            Program.print(String.format(Locale.ROOT, "%s%n", fit.text()));
        }
    }
}
