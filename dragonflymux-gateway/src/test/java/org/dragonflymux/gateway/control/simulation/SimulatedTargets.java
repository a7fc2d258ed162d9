package org.dragonflymux.gateway.control.simulation;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.function.LongFunction;
import java.util.function.LongPredicate;
import java.util.stream.IntStream;
import org.dragonflymux.core.balance.TargetEntry;
import org.dragonflymux.core.name.ServiceName;
import org.dragonflymux.core.name.TargetId;
import org.dragonflymux.core.shard.GrantEffect;
import org.dragonflymux.core.shard.GrantResult;

/** All targets, and the way of calls to them. */
final class SimulatedTargets {

    private static final long ONE_WAY_MILLIS = 2;
    private static final long SAMPLE_MILLIS = 25;
    private static final int MAX_LATE_MILLIS = 4_000;
    private static final int MAX_WORK_MILLIS = 150;
    /** Stands for a process that is no incarnation of the target. */
    private static final long NO_INCARNATION = -1;

    private final VirtualTime time;
    private final SimulatedStore store;
    private final SplittableRandom random;
    private final List<SimulatedTarget> targets = new ArrayList<>();
    private final OwnershipChecker checker;
    private final Set<TargetId> cutOff = new HashSet<>();
    private final Set<Path> cutPaths = new HashSet<>();
    /** The latest incarnation of a target whose address another process has. */
    private final Map<TargetId, Long> reusedAddresses = new HashMap<>();

    private double lateShare;
    private long lastLateGrantAt;

    /** The way of calls from a host to a target. */
    private record Path(String host, TargetId target) {}

    private boolean addressReused(TargetEntry entry) {
        return entry.incarnation() <= reusedAddresses.getOrDefault(entry.id(), Long.MIN_VALUE);
    }

    SimulatedTargets(int count, ServiceName service, VirtualTime time, SimulatedStore store, SplittableRandom random) {
        this(
                IntStream.range(0, count)
                        .mapToObj(i -> TargetId.of("target-" + i))
                        .toList(),
                service,
                time,
                store,
                random);
    }

    SimulatedTargets(
            List<TargetId> ids, ServiceName service, VirtualTime time, SimulatedStore store, SplittableRandom random) {
        this.time = time;
        this.store = store;
        this.random = random;
        for (TargetId id : ids) {
            SimulatedTarget target = new SimulatedTarget(id, service);
            targets.add(target);
            start(target);
        }
        checker = new OwnershipChecker(time::now, targets);
        time.every(SAMPLE_MILLIS, () -> {
            checker.sample();
            return true;
        });
    }

    List<SimulatedTarget> all() {
        return targets;
    }

    /** Starts a target, which accepts calls and registers at once. */
    void start(SimulatedTarget target) {
        target.start(time.now());
        store.registerTarget(target.entry());
    }

    void announceShutdown(SimulatedTarget target) {
        if (target.up() && !cutOff.contains(target.id())) {
            target.draining(true);
            store.registerTarget(target.entry());
        }
    }

    /** Cuts a target off from the hosts and the store, or ends that. It goes on holding what it holds. */
    void cutOff(SimulatedTarget target, boolean cut) {
        if (cut) {
            cutOff.add(target.id());
            store.removeTarget(target.id());
        } else if (cutOff.remove(target.id()) && target.up()) {
            store.registerTarget(target.entry());
        }
    }

    /** Cuts a target off from one host, or ends that. */
    void cutOff(SimulatedTarget target, String host, boolean cut) {
        Path path = new Path(host, target.id());
        if (cut) {
            cutPaths.add(path);
        } else {
            cutPaths.remove(path);
        }
    }

    /** Gives the address of a target that has ended to another process; if the target starts again, it has another one. */
    void reuseAddress(SimulatedTarget target) {
        if (!target.up()) {
            reusedAddresses.put(target.id(), target.incarnation());
        }
    }

    /** Sets the share of grants that are carried out late and not answered. */
    void lateGrants(double share) {
        lateShare = share;
    }

    /** Sets whether targets refuse grants under tokens below that of a release. */
    void fencedByReleases(boolean fenced) {
        targets.forEach(target -> target.fencedByReleases(fenced));
    }

    private SimulatedTarget target(TargetId id) {
        return targets.stream()
                .filter(target -> target.id().equals(id))
                .findFirst()
                .orElseThrow();
    }

    /** Returns whether an incarnation of a target is running, so that its connections are there. */
    boolean runs(TargetId id, long incarnation) {
        SimulatedTarget target = target(id);
        return target.up() && target.incarnation() == incarnation;
    }

    /**
     * Sends a grant.
     *
     * @param sender the name of the host that sends it
     * @param written returns whether the grant is written to a connection to an incarnation of the target
     */
    void grant(
            String sender,
            TargetEntry to,
            GrantEffect.Grant grant,
            long timeoutMillis,
            LongPredicate written,
            Consumer<GrantResult> result) {
        LongFunction<GrantResult> action = arrivedAt -> take(sender, target(to.id()), grant, arrivedAt);
        arrive(sender, to, timeoutMillis, written, result, target -> {
            if (random.nextDouble() >= lateShare) {
                answer(action.apply(time.now()), 0, result);
                return;
            }
            long arrivedAt = time.now();
            long incarnation = target.incarnation();
            int lateMillis = random.nextInt(MAX_LATE_MILLIS);
            lastLateGrantAt = Math.max(lastLateGrantAt, arrivedAt + lateMillis);
            time.after(lateMillis, () -> {
                if (runs(to.id(), incarnation)) {
                    action.apply(arrivedAt);
                }
            });
            time.after(timeoutMillis, () -> result.accept(new GrantResult.Unknown()));
        });
    }

    private GrantResult take(String sender, SimulatedTarget target, GrantEffect.Grant grant, long arrivedAt) {
        boolean onTime = arrivedAt == time.now();
        boolean taken = target.takes(grant.range(), grant.fence());
        GrantResult result = target.grant(grant.range(), grant.fence(), grant.holdMillis(), arrivedAt, onTime);
        String kind = onTime ? "grant" : "late grant that arrived at " + arrivedAt;
        checker.called(sender, kind, target, grant.range(), grant.fence(), result);
        if (taken && onTime) {
            checker.grantTaken(target, grant.range(), grant.fence());
        }
        return result;
    }

    void release(
            String sender,
            TargetEntry to,
            GrantEffect.Release release,
            long timeoutMillis,
            Consumer<GrantResult> result) {
        arrive(sender, to, timeoutMillis, _ -> true, result, target -> {
            int workMillis = random.nextInt(MAX_WORK_MILLIS);
            long endsAt = target.release(release.range(), release.fence(), time.now(), workMillis);
            GrantResult outcome = new GrantResult.Done(Optional.of("handover-" + to.id() + "-" + release.fence()));
            checker.called(sender, "release", target, release.range(), release.fence(), outcome);
            answer(outcome, endsAt - time.now(), result);
        });
    }

    /**
     * Delivers a call to the incarnation that runs when it arrives, or to the process that has the address in its place; with none,
     * the connection is refused. The connection is there before the call is written to it.
     */
    private void arrive(
            String sender,
            TargetEntry to,
            long timeoutMillis,
            LongPredicate written,
            Consumer<GrantResult> result,
            Consumer<SimulatedTarget> action) {
        Path path = new Path(sender, to.id());
        time.after(ONE_WAY_MILLIS + random.nextInt(3), () -> {
            SimulatedTarget target = target(path.target());
            if (cutOff.contains(path.target()) || cutPaths.contains(path)) {
                time.after(timeoutMillis, () -> result.accept(new GrantResult.Unknown()));
            } else if (addressReused(to)) {
                boolean answered = written.test(NO_INCARNATION);
                answer(answered ? new GrantResult.TargetEnded() : new GrantResult.NotSent(), 0, result);
            } else if (target.up() && written.test(target.incarnation())) {
                action.accept(target);
            } else {
                answer(new GrantResult.NotSent(), 0, result);
            }
        });
    }

    private void answer(GrantResult outcome, long workMillis, Consumer<GrantResult> result) {
        time.after(workMillis + ONE_WAY_MILLIS, () -> result.accept(outcome));
    }

    /** Ends all faults of targets and of the way to them. */
    void endFaults() {
        lateShare = 0;
        cutPaths.clear();
        targets.forEach(target -> cutOff(target, false));
    }

    /** Returns when the last grant that is late was or will be carried out. */
    long lastLateGrantAt() {
        return lastLateGrantAt;
    }

    OwnershipChecker checker() {
        return checker;
    }
}
