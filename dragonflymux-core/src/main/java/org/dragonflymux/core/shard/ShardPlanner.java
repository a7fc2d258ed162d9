package org.dragonflymux.core.shard;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.dragonflymux.core.name.TargetId;

/**
 * Plans which keys move: away from targets that cannot own keys, and from highly utilized targets to those with spare
 * capacity. The narrowest busy ranges of a highly utilized target move first, since the cost of a move grows with the
 * number of its keys.
 */
public final class ShardPlanner {

    private static final int MAX_BALANCING_MOVES_PER_PLAN = 4;
    private static final int MAX_CONCURRENT_BALANCING_MOVES = 24;
    private static final int MAX_CONCURRENT_MOVES = 64;
    private static final double HIGH_UTILIZATION = 0.4;
    private static final double MIN_UTILIZATION_RATIO = 1.35;
    private static final double MIN_UTILIZATION_GAIN = 0.12;
    private static final int MAX_MERGES_PER_PLAN = 16;
    private static final int MAX_CONSOLIDATIONS_PER_PLAN = 8;
    /** A range is small if it has fewer keys than an even share per target divided by this number. */
    private static final int SMALL_RANGE_DIVISOR = 12;
    /** Above this number of assignments per target, adjacent ranges of the same owner are merged. */
    private static final int MERGE_ABOVE_PER_TARGET = 2;
    /** Above this number of assignments per target, small ranges move to the owners of adjacent ranges. */
    private static final int CONSOLIDATE_ABOVE_PER_TARGET = 5;

    private static final double PIECES_PER_TARGET = 3;
    /** The fixed cost of a move, expressed as a number of keys. */
    private static final double MOVE_COST_KEYS = 8;
    /** The cost of an additional assignment at one assignment per target, expressed as a number of keys. */
    private static final double ASSIGNMENT_COST_KEYS = 8;
    /**
     * The exponent by which faster targets get more than their proportional load while there is spare capacity, since
     * each request takes less time on them.
     */
    private static final double SPEED_PREFERENCE = 0.8;

    private ShardPlanner() {}

    /**
     * A move of a range to another owner.
     *
     * @param range the range, which lies within one assignment
     * @param to the next owner
     */
    public record PlannedMove(KeyRange range, TargetId to) {}

    /** Returns the initial table, in which each usable target owns keys in proportion to its capacity. */
    public static ShardTable initial(List<PlanTarget> targets) {
        List<PlanTarget> usable = targets.stream()
                .filter(PlanTarget::usable)
                .sorted(Comparator.comparing(PlanTarget::id))
                .toList();
        double total =
                usable.stream().mapToDouble(PlanTarget::capacityPerSecond).sum();
        ShardTable table = ShardTable.EMPTY;
        double cumulativeCapacity = 0;
        int first = KeyRange.MIN_KEY;
        for (int i = 0; i < usable.size(); i++) {
            cumulativeCapacity += usable.get(i).capacityPerSecond();
            int last = i == usable.size() - 1
                    ? KeyRange.MAX_KEY
                    : (int) Math.round(cumulativeCapacity / total * KeyRange.ALL.size()) - 1;
            if (last >= first) {
                PlanTarget target = usable.get(i);
                table = table.with(new Assignment(
                        new KeyRange(first, last), target.id(), target.incarnation(), i + 1L, Optional.empty()));
                first = last + 1;
            }
        }
        return table;
    }

    /** Returns the moves to start now. */
    public static List<PlannedMove> plan(ShardTable table, List<PlanTarget> targets, KeyLoad.Snapshot load) {
        if (targets.isEmpty()) {
            return List.of();
        }
        return new PlanningRun(table, targets, load).plan();
    }

    /**
     * Returns the table with adjacent ranges of the same owner merged under a new fencing token, if there are many
     * assignments. Each assignment needs a renewal call of its own, so many of them are expensive.
     */
    public static ShardTable mergeAdjacentRanges(ShardTable table, int targets) {
        if (targets == 0) {
            return table;
        }
        ShardTable merged = table;
        for (int i = 0;
                i < MAX_MERGES_PER_PLAN && merged.assignments().size() > targets * MERGE_ABOVE_PER_TARGET;
                i++) {
            Optional<ShardTable> next = mergeOnce(merged);
            if (next.isEmpty()) {
                return merged;
            }
            merged = next.get();
        }
        return merged;
    }

    private static Optional<ShardTable> mergeOnce(ShardTable table) {
        List<Assignment> rows = table.assignments();
        for (int i = 0; i + 1 < rows.size(); i++) {
            Assignment left = rows.get(i);
            Assignment right = rows.get(i + 1);
            boolean mergeable = left.owner().equals(right.owner())
                    && left.incarnation() == right.incarnation()
                    && left.move().isEmpty()
                    && right.move().isEmpty()
                    && left.range().last() + 1 == right.range().first();
            if (mergeable) {
                KeyRange range =
                        new KeyRange(left.range().first(), right.range().last());
                return Optional.of(table.with(new Assignment(
                        range, left.owner(), left.incarnation(), table.lastFence() + 1, Optional.empty())));
            }
        }
        return Optional.empty();
    }

    /** A single run of the planner. */
    private static final class PlanningRun {

        private final ShardTable table;
        private final KeyLoad.Snapshot load;
        private final Map<TargetId, PlanTarget> targets = new HashMap<>();
        private final Map<TargetId, Double> requestsPerSecond = new HashMap<>();
        private final Map<TargetId, Integer> keyCounts = new HashMap<>();
        private final List<PlannedMove> moves = new ArrayList<>();
        private final Map<TargetId, List<Assignment>> settledAssignments = new HashMap<>();
        private final double meanCapacity;
        private final double speedExponent;
        private final double maxAdjacentOwnerUtilization;
        private int activeMoves;
        private int activeBalancingMoves;

        PlanningRun(ShardTable table, List<PlanTarget> targets, KeyLoad.Snapshot load) {
            this.table = table;
            this.load = load;
            for (PlanTarget target : targets) {
                this.targets.put(target.id(), target);
                requestsPerSecond.put(target.id(), 0.0);
                keyCounts.put(target.id(), 0);
            }
            this.meanCapacity = targets.stream()
                    .mapToDouble(PlanTarget::capacityPerSecond)
                    .average()
                    .orElse(1);
            double totalRequestsPerSecond = load.requestsPerSecond(KeyRange.ALL);
            double spareCapacity = Math.max(0, 1 - totalRequestsPerSecond / Math.max(1, meanCapacity * targets.size()));
            this.speedExponent = SPEED_PREFERENCE * spareCapacity;
            this.maxAdjacentOwnerUtilization = Math.max(HIGH_UTILIZATION, 1 - spareCapacity);
        }

        /** Returns the capacity of a target, weighted in favour of fast targets while capacity is spare. */
        private double weightedCapacity(PlanTarget target) {
            return target.capacityPerSecond() * Math.pow(target.capacityPerSecond() / meanCapacity, speedExponent);
        }

        List<PlannedMove> plan() {
            countLoads();
            evacuateUnusableTargets();
            balance();
            consolidate();
            return moves;
        }

        private void countLoads() {
            for (Assignment assignment : table.assignments()) {
                TargetId effectiveOwner = assignment.move().map(Move::to).orElse(assignment.owner());
                requestsPerSecond.merge(effectiveOwner, load.requestsPerSecond(assignment.range()), Double::sum);
                keyCounts.merge(effectiveOwner, assignment.range().size(), Integer::sum);
                if (assignment.move().isPresent()) {
                    activeMoves++;
                    activeBalancingMoves += ownerUsable(assignment) ? 1 : 0;
                } else {
                    settledAssignments
                            .computeIfAbsent(assignment.owner(), _ -> new ArrayList<>())
                            .add(assignment);
                }
            }
        }

        private boolean ownerUsable(Assignment assignment) {
            PlanTarget owner = targets.get(assignment.owner());
            return owner != null && owner.usable() && owner.incarnation() == assignment.incarnation();
        }

        private void evacuateUnusableTargets() {
            double total = requestsPerSecond.values().stream()
                    .mapToDouble(Double::doubleValue)
                    .sum();
            long usable = targets.values().stream().filter(PlanTarget::usable).count();
            if (usable == 0) {
                return;
            }
            double loadPerPiece = total / usable / PIECES_PER_TARGET;
            for (Assignment assignment : table.assignments()) {
                if (assignment.move().isEmpty() && !ownerUsable(assignment)) {
                    for (KeyRange piece : pieces(assignment.range(), loadPerPiece)) {
                        if (activeMoves + moves.size() < MAX_CONCURRENT_MOVES) {
                            destinationOf(piece, assignment).ifPresent(to -> move(piece, assignment.owner(), to));
                        }
                    }
                }
            }
        }

        /** Returns the next owner of a piece; a small piece goes to the owner of an adjacent range to allow a merge. */
        private Optional<TargetId> destinationOf(KeyRange piece, Assignment from) {
            Optional<TargetId> adjacentOwner =
                    piece.size() < smallSize() ? adjacentOwnerWithSpareCapacity(piece, from) : Optional.empty();
            return adjacentOwner
                    .or(() -> leastUtilized(from.owner()).map(PlanTarget::id))
                    .or(() -> restartedOwner(from));
        }

        private Optional<TargetId> restartedOwner(Assignment from) {
            return Optional.ofNullable(targets.get(from.owner()))
                    .filter(PlanTarget::usable)
                    .filter(owner -> owner.incarnation() != from.incarnation())
                    .map(PlanTarget::id);
        }

        private int smallSize() {
            return KeyRange.ALL.size() / targets.size() / SMALL_RANGE_DIVISOR;
        }

        private Optional<TargetId> adjacentOwnerWithSpareCapacity(KeyRange piece, Assignment from) {
            return Stream.of(table.assignmentOf(piece.first() - 1), table.assignmentOf(piece.last() + 1))
                    .flatMap(Optional::stream)
                    .map(assignment -> assignment.move().map(Move::to).orElse(assignment.owner()))
                    .filter(id -> !id.equals(from.owner()))
                    .filter(id -> targets.containsKey(id) && targets.get(id).usable())
                    .filter(id -> utilization(id) + load.requestsPerSecond(piece) / weightedCapacity(targets.get(id))
                            < maxAdjacentOwnerUtilization)
                    .min(Comparator.comparingDouble(this::utilization));
        }

        /** Moves small ranges with little load to the owners of adjacent ranges if there are many assignments. */
        private void consolidate() {
            if (table.assignments().size() <= targets.size() * CONSOLIDATE_ABOVE_PER_TARGET) {
                return;
            }
            Set<Assignment> planned = moves.stream()
                    .flatMap(move -> table.assignmentOf(move.range().first()).stream())
                    .collect(Collectors.toSet());
            table.assignments().stream()
                    .filter(assignment -> assignment.move().isEmpty())
                    .filter(assignment -> assignment.range().size() < smallSize())
                    .filter(assignment -> !planned.contains(assignment))
                    .sorted(Comparator.comparingDouble(
                                    (Assignment assignment) -> load.requestsPerSecond(assignment.range()))
                            .thenComparingInt(assignment -> assignment.range().size()))
                    .limit(MAX_CONSOLIDATIONS_PER_PLAN)
                    .forEach(assignment -> adjacentOwnerWithSpareCapacity(assignment.range(), assignment)
                            .ifPresent(to -> move(assignment.range(), assignment.owner(), to)));
        }

        private List<KeyRange> pieces(KeyRange range, double loadPerPiece) {
            double inRange = load.requestsPerSecond(range);
            int fairSize = KeyRange.ALL.size() / targets.size() + 1;
            int bySize = (range.size() + fairSize - 1) / fairSize;
            int byLoad = loadPerPiece <= 0 ? 1 : (int) Math.ceil(inRange / loadPerPiece);
            int count = Math.clamp(Math.max(bySize, byLoad), 1, Math.min(targets.size(), range.size()));
            List<KeyRange> result = new ArrayList<>();
            int first = range.first();
            int begin = load.indexOf(range.first());
            int end = load.indexOf(range.last() + 1);
            for (int i = 1; i <= count && first <= range.last(); i++) {
                int last = i == count ? range.last() : cut(range, begin, end, i, count);
                last = Math.clamp(last, first, range.last());
                result.add(new KeyRange(first, last));
                first = last + 1;
            }
            return result;
        }

        private int cut(KeyRange range, int begin, int end, int part, int parts) {
            if (end - begin < parts) {
                return range.first() + (int) ((long) range.size() * part / parts) - 1;
            }
            return load.sortedKeys()[begin + (int) ((long) (end - begin) * part / parts) - 1];
        }

        private double utilization(TargetId id) {
            PlanTarget target = targets.get(id);
            return target == null ? 0 : requestsPerSecond.get(id) / Math.max(0.1, weightedCapacity(target));
        }

        private Optional<PlanTarget> leastUtilized(TargetId except) {
            return targets.values().stream()
                    .filter(PlanTarget::usable)
                    .filter(target -> !target.id().equals(except))
                    .min(Comparator.comparingDouble((PlanTarget target) -> utilization(target.id()))
                            .thenComparing(target -> keyCounts.get(target.id()))
                            .thenComparing(PlanTarget::id));
        }

        private void move(KeyRange range, TargetId from, TargetId to) {
            moves.add(new PlannedMove(range, to));
            double moved = load.requestsPerSecond(range);
            requestsPerSecond.merge(from, -moved, Double::sum);
            requestsPerSecond.merge(to, moved, Double::sum);
            keyCounts.merge(from, -range.size(), Integer::sum);
            keyCounts.merge(to, range.size(), Integer::sum);
        }

        private void balance() {
            if (targets.values().stream().filter(PlanTarget::usable).count() < 2) {
                return;
            }
            // Moves away from lost targets may take a long time, so balancing moves have a limit of their own.
            for (int i = 0;
                    i < MAX_BALANCING_MOVES_PER_PLAN && activeBalancingMoves + i < MAX_CONCURRENT_BALANCING_MOVES;
                    i++) {
                if (!balanceOnce()) {
                    return;
                }
            }
        }

        private boolean balanceOnce() {
            TargetId mostUtilized = targets.values().stream()
                    .filter(target -> settledAssignments.containsKey(target.id()))
                    .map(PlanTarget::id)
                    .max(Comparator.comparingDouble(this::utilization).thenComparing(Comparator.naturalOrder()))
                    .orElse(null);
            if (mostUtilized == null) {
                return false;
            }
            PlanTarget destination = leastUtilized(mostUtilized).orElse(null);
            if (destination == null || !improvesBalance(mostUtilized, destination.id())) {
                return false;
            }
            double excess = requestsPerSecond.get(mostUtilized)
                    - (requestsPerSecond.get(mostUtilized) + requestsPerSecond.get(destination.id()))
                            * weightedCapacity(targets.get(mostUtilized))
                            / (weightedCapacity(targets.get(mostUtilized)) + weightedCapacity(destination));
            Optional<KeyRange> range = mostEfficientRange(mostUtilized, excess);
            if (range.isEmpty()) {
                return false;
            }
            double after = (requestsPerSecond.get(destination.id()) + load.requestsPerSecond(range.get()))
                    / weightedCapacity(destination);
            if (utilization(mostUtilized) - after < MIN_UTILIZATION_GAIN) {
                settledAssignments.remove(mostUtilized);
                return true;
            }
            settledAssignments.remove(mostUtilized);
            move(range.get(), mostUtilized, destination.id());
            return true;
        }

        private boolean improvesBalance(TargetId mostUtilized, TargetId destination) {
            double most = utilization(mostUtilized);
            double gain = most - utilization(destination);
            return most > HIGH_UTILIZATION
                            && most > MIN_UTILIZATION_RATIO * utilization(destination)
                            && gain
                                    > Math.max(
                                            MIN_UTILIZATION_GAIN,
                                            samplingError(mostUtilized) + samplingError(destination))
                    || keyCounts.get(destination) == 0 && most > 0;
        }

        /** Returns by how much the estimated utilization of a target may be off, since the load is a sample. */
        private double samplingError(TargetId id) {
            return Math.sqrt(requestsPerSecond.get(id) * load.sampleWeight())
                    / Math.max(0.1, weightedCapacity(targets.get(id)))
                    / 2;
        }

        /** Returns the range with the best ratio of load to cost of those with nearly, but at most, the given load. */
        private Optional<KeyRange> mostEfficientRange(TargetId from, double maxRequestsPerSecond) {
            int maxRequests = (int) (maxRequestsPerSecond / load.sampleWeight());
            KeyRange bestRange = null;
            double bestValue = 0;
            for (Assignment assignment : settledAssignments.get(from)) {
                int begin = load.indexOf(assignment.range().first());
                int end = load.indexOf(assignment.range().last() + 1);
                int count = Math.min(maxRequests, end - begin);
                for (int i = begin; count > 0 && i + count <= end; i++) {
                    KeyRange busy = new KeyRange(load.sortedKeys()[i], load.sortedKeys()[i + count - 1]);
                    // Idle keys at an end of the assignment move along, which avoids a second split.
                    KeyRange wide = new KeyRange(
                            i == begin ? assignment.range().first() : busy.first(),
                            i + count == end ? assignment.range().last() : busy.last());
                    for (KeyRange candidate : List.of(busy, wide)) {
                        double value = load.requestsPerSecond(candidate) / cost(candidate, assignment.range());
                        if (value > bestValue) {
                            bestRange = candidate;
                            bestValue = value;
                        }
                    }
                }
            }
            return Optional.ofNullable(bestRange);
        }

        /** Returns the cost of moving a range, in keys: the moved keys, a fixed cost, and the added assignments. */
        private double cost(KeyRange part, KeyRange whole) {
            int added = (part.first() > whole.first() ? 1 : 0) + (part.last() < whole.last() ? 1 : 0);
            double perTarget = (double) table.assignments().size() / targets.size();
            return part.size() + MOVE_COST_KEYS + added * ASSIGNMENT_COST_KEYS * perTarget * perTarget;
        }
    }
}
