package org.dragonflymux.load.bench;

import java.util.List;
import java.util.Locale;
import org.dragonflymux.runtime.settings.Program;

/** The program {@code dragonfly-bench}: slopes of costs over sizes, as docs/CAPACITY.md uses them. */
public final class Bench {

    private static final int TARGETS = 64;

    private Bench() {}

    /** Runs all benchmarks; takes about two minutes. */
    public static void main(String[] arguments) {
        fleet();
        replica();
        tables();
        memory();
    }

    private static void fleet() {
        FleetCost.measure(12, 64);
        Slope peers = Slope.of("peer bytes a second of a host", "hosts");
        Slope stores = Slope.of("store bytes a second of a host", "hosts");
        Slope grants = Slope.of("grant bytes a second of a host with 4 targets", "hosts");
        Slope cpu = Slope.of("decision and codec time of an idle host, microseconds a second", "hosts");
        Slope calls = Slope.of("store calls a second of the fleet", "hosts");
        for (int hosts : List.of(6, 12, 24, 48, 96)) {
            FleetCost.Costs costs = FleetCost.measure(hosts, 256);
            peers.add(hosts, costs.peerBytes());
            stores.add(hosts, costs.storeBytes());
            grants.add(hosts, costs.grantBytes());
            cpu.add(hosts, costs.cpuMicros());
            calls.add(hosts, costs.storeCallsOfFleet());
        }
        print(peers, stores, grants, cpu, calls);
    }

    private static void replica() {
        Slope memory = Slope.of("replica heap, kB", "documents");
        Slope merge = Slope.of("replica merge, ms", "documents");
        for (int documents : List.of(1000, 4000, 16_000, 32_000)) {
            memory.add(documents, DecisionCost.replicaKilobytes(documents));
            merge.add(documents, DecisionCost.replicaMergeMillis(documents));
        }
        print(memory, merge);
    }

    private static void tables() {
        Slope size = Slope.of("table with 64 targets in the store, kB", "partitions");
        Slope plan = Slope.of("plan of a table with 64 targets, ms", "partitions");
        Slope routes = Slope.of("reading a table with 64 targets into routes, ms", "partitions");
        for (int partitions : List.of(256, 1024, 4096, 16_384)) {
            size.add(partitions, DecisionCost.tableKilobytes(partitions, TARGETS));
            plan.add(partitions, DecisionCost.planMillis(partitions, TARGETS));
            routes.add(partitions, DecisionCost.routesMillis(partitions, TARGETS));
        }
        Slope planByTargets = Slope.of("plan of a table with 4096 partitions, ms", "targets");
        Slope sizeByTargets = Slope.of("table with 4096 partitions in the store, kB", "targets");
        for (int targets : List.of(16, 64, 256)) {
            planByTargets.add(targets, DecisionCost.planMillis(4096, targets));
            sizeByTargets.add(targets, DecisionCost.tableKilobytes(4096, targets));
        }
        print(size, plan, routes, planByTargets, sizeByTargets);
    }

    private static void memory() {
        Slope idempotency = Slope.of("memory of requests that must run once, kB", "entries");
        for (int entries : List.of(10_000, 40_000, 100_000)) {
            idempotency.add(entries, DecisionCost.idempotencyKilobytes(entries));
        }
        print(idempotency);
    }

    private static void print(Slope... slopes) {
        for (Slope slope : slopes) {
            Program.print(String.format(Locale.ROOT, "%s%n", slope.text()));
        }
    }
}
