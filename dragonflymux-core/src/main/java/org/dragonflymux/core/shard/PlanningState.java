package org.dragonflymux.core.shard;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.dragonflymux.core.name.TargetId;
import org.dragonflymux.core.shard.ShardPlanner.PlannedMove;

/** What a run of the planner knows of targets and their loads, including the effects of the moves that it has planned. */
final class PlanningState {

    /**
     * A range is quiet if its load is below this share of the mean capacity. Quiet ranges move only to be merged, and others only
     * for the balance, so that neither undoes the other.
     */
    static final double QUIET_LOAD_SHARE = 0.05;
    /** Above this utilization requests wait so long that some are refused. */
    static final double OVERLOADED = 0.9;

    static final double HIGH_UTILIZATION = 0.4;

    /**
     * The exponent by which faster targets get more than their proportional load while there is spare capacity, since
     * each request takes less time on them.
     */
    private static final double SPEED_PREFERENCE = 0.8;
    /** The calls of one move and the renewals of the assignment that it adds, expressed as requests per second. */
    private static final double MOVE_COST_REQUESTS_PER_SECOND = 0.5;

    final ShardTable table;
    final Map<TargetId, PlanTarget> targets = new HashMap<>();
    final Map<TargetId, Integer> keyCounts = new HashMap<>();
    final List<PlannedMove> moves = new ArrayList<>();
    /** The parts of assignments that don't move, by owner, without those of lost owners. */
    final Map<TargetId, List<KeyRange>> settledRanges = new HashMap<>();

    final TargetLoads loads;
    final int usableTargets;
    final double meanCapacity;
    final double meanUtilization;
    private final double speedExponent;
    final double maxAdjacentOwnerUtilization;
    int activeMoves;
    /** The load of the ranges whose balancing moves are in progress or planned, with the cost of the moves themselves. */
    double movingRequestsPerSecond;

    PlanningState(ShardTable table, List<PlanTarget> targets, List<KeyLoad.Snapshot> windows) {
        this.table = table;
        for (PlanTarget target : targets) {
            this.targets.put(target.id(), target);
            keyCounts.put(target.id(), 0);
        }
        this.loads = new TargetLoads(windows, ownedRanges());
        this.usableTargets = (int) targets.stream().filter(PlanTarget::usable).count();
        this.meanCapacity = targets.stream()
                .mapToDouble(PlanTarget::capacityPerSecond)
                .average()
                .orElse(1);
        double usableCapacity = targets.stream()
                .filter(PlanTarget::usable)
                .mapToDouble(PlanTarget::capacityPerSecond)
                .sum();
        this.meanUtilization = loads.total() / Math.max(1, usableCapacity);
        double spareCapacity = Math.max(0, 1 - meanUtilization);
        this.speedExponent = SPEED_PREFERENCE * spareCapacity;
        this.maxAdjacentOwnerUtilization = Math.max(HIGH_UTILIZATION, 1 - spareCapacity);
        countMoves();
    }

    private Map<TargetId, List<KeyRange>> ownedRanges() {
        Map<TargetId, List<KeyRange>> owned = new HashMap<>();
        for (Assignment assignment : table.assignments()) {
            owned.computeIfAbsent(nextOwner(assignment), _ -> new ArrayList<>()).add(assignment.range());
        }
        return owned;
    }

    static TargetId nextOwner(Assignment assignment) {
        return assignment.move().map(Move::to).orElse(assignment.owner());
    }

    private void countMoves() {
        for (Assignment assignment : table.assignments()) {
            TargetId nextOwner = nextOwner(assignment);
            keyCounts.merge(nextOwner, assignment.range().size(), Integer::sum);
            if (assignment.move().isEmpty()) {
                // Ranges of lost owners are evacuated and must not move for the balance as well.
                if (ownerUsable(assignment)) {
                    settledRanges
                            .computeIfAbsent(assignment.owner(), _ -> new ArrayList<>())
                            .add(assignment.range());
                }
                continue;
            }
            activeMoves++;
            // Moves away from lost targets may take a long time, and delay no request that could be served without
            // them.
            if (ownerUsable(assignment)) {
                movingRequestsPerSecond += load(nextOwner, assignment.range()) + MOVE_COST_REQUESTS_PER_SECOND;
            }
        }
    }

    /** Returns the capacity of a target, weighted in favour of fast targets while capacity is spare. */
    double weightedCapacity(PlanTarget target) {
        return target.capacityPerSecond() * Math.pow(target.capacityPerSecond() / meanCapacity, speedExponent);
    }

    boolean ownerUsable(Assignment assignment) {
        PlanTarget owner = targets.get(assignment.owner());
        return owner != null && owner.usable() && owner.incarnation() == assignment.incarnation();
    }

    double load(TargetId owner, KeyRange range) {
        return loads.of(owner, range).requestsPerSecond();
    }

    double utilization(TargetId id) {
        PlanTarget target = targets.get(id);
        return target == null ? 0 : loads.requestsPerSecond(id) / Math.max(0.1, weightedCapacity(target));
    }

    Optional<PlanTarget> leastUtilized(TargetId except) {
        return leastUtilized(Set.of(except));
    }

    Optional<PlanTarget> leastUtilized(Set<TargetId> except) {
        return targets.values().stream()
                .filter(PlanTarget::usable)
                .filter(target -> !except.contains(target.id()))
                .min(Comparator.comparingDouble((PlanTarget target) -> utilization(target.id()))
                        .thenComparing(target -> keyCounts.get(target.id()))
                        .thenComparing(PlanTarget::id));
    }

    void move(KeyRange range, TargetId from, TargetId to) {
        moves.add(new PlannedMove(range, to));
        loads.move(range, from, to);
        keyCounts.merge(from, -range.size(), Integer::sum);
        keyCounts.merge(to, range.size(), Integer::sum);
    }

    /** Plans a move that delays requests which could be served without it. */
    void balancingMove(KeyRange range, TargetId from, TargetId to) {
        movingRequestsPerSecond += load(from, range) + MOVE_COST_REQUESTS_PER_SECOND;
        List<KeyRange> settled = settledRanges.get(from);
        KeyRange whole = settled.stream()
                .filter(candidate -> candidate.contains(range))
                .findFirst()
                .orElseThrow();
        settled.remove(whole);
        settled.addAll(without(range, whole));
        move(range, from, to);
    }

    static List<KeyRange> without(KeyRange part, KeyRange whole) {
        if (!whole.contains(part)) {
            return List.of(whole);
        }
        List<KeyRange> parts = new ArrayList<>();
        if (whole.first() < part.first()) {
            parts.add(new KeyRange(whole.first(), part.first() - 1));
        }
        if (part.last() < whole.last()) {
            parts.add(new KeyRange(part.last() + 1, whole.last()));
        }
        return parts;
    }

    double utilizationAfter(KeyRange range, TargetId from, PlanTarget to) {
        return (loads.requestsPerSecond(to.id()) + load(from, range)) / Math.max(0.1, weightedCapacity(to));
    }

    /** Returns the utilization up to which targets take load: half of the spare capacity is left for chance. */
    double fillLevel() {
        return Math.max(meanUtilization, (1 + meanUtilization) / 2);
    }

    /** Returns the load of a range without what may be due to chance. */
    double certainLoad(TargetId owner, KeyRange range) {
        TargetLoads.Load load = loads.of(owner, range);
        return load.requestsPerSecond() - 2 * Math.sqrt(load.variance());
    }

    double deviation(TargetId id) {
        return Math.sqrt(loads.of(id).variance()) / Math.max(0.1, weightedCapacity(targets.get(id)));
    }

    /** Returns the highest ratio of load to capacity of any target. */
    double busiestUtilization() {
        return targets.values().stream()
                .mapToDouble(target -> loads.requestsPerSecond(target.id()) / Math.max(0.1, target.capacityPerSecond()))
                .max()
                .orElse(0);
    }
}
