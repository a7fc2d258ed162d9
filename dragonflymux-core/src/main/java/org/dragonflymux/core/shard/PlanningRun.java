package org.dragonflymux.core.shard;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.dragonflymux.core.name.TargetId;
import org.dragonflymux.core.shard.PlacementPlan.Limit;
import org.dragonflymux.core.shard.ShardPlanner.PlannedMove;

/**
 * A single run of the planner: moves keys away from targets that cannot own them, and from highly utilized targets to those
 * with spare capacity. The narrowest busy ranges move first, since the cost of a move grows with the number of its keys.
 */
final class PlanningRun {

    /** The most moves away from lost targets in progress, if there are fewer targets that can take keys. */
    private static final int MIN_EVACUATION_LIMIT = 64;

    private static final double HIGH_UTILIZATION = 0.4;
    /** Targets give load away above this share of the way from the mean utilization to the fill level. */
    private static final double SOURCE_LEVEL_SHARE = 0.75;
    /** Above this utilization requests wait so long that some are refused. */
    private static final double OVERLOADED = 0.9;
    /** The range of n normal samples, in standard deviations of a difference and roots of ln n, for 2 to 100 samples. */
    private static final double RANGE_FACTOR = 1.8;

    private static final double MIN_UTILIZATION_RATIO = 1.35;
    private static final double MIN_UTILIZATION_GAIN = 0.12;
    private static final int MAX_CONSOLIDATIONS_PER_PLAN = 8;
    /** A range is small if it has fewer keys than an even share per target divided by this number. */
    private static final int SMALL_RANGE_DIVISOR = 12;
    /** Above this number of assignments per target, small ranges move to the owners of adjacent ranges. */
    private static final int CONSOLIDATE_ABOVE_PER_TARGET = 2;

    /**
     * A range is quiet if its load is below this share of the mean capacity. Quiet ranges move only to be merged, and others only
     * for the balance, so that neither undoes the other.
     */
    private static final double QUIET_LOAD_SHARE = 0.05;
    /** The busiest of many small ranges looks busier than it is by about as many deviations of its count. */
    private static final double SELECTION_DEVIATIONS = 1.5;

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
    /** Requests for a moving range wait until its move ends; this share of all requests may do so to improve the balance. */
    private static final double DELAYED_SHARE = 0.05;
    /** The calls of one move and the renewals of the assignment that it adds, expressed as requests per second. */
    private static final double MOVE_COST_REQUESTS_PER_SECOND = 0.5;
    /** A hot key moves to a target that is faster by this factor; less is not worth its move. */
    private static final double FASTER_TARGET_RATIO = 1.25;

    private final ShardTable table;
    private final Map<TargetId, PlanTarget> targets = new HashMap<>();
    private final Map<TargetId, Integer> keyCounts = new HashMap<>();
    private final List<PlannedMove> moves = new ArrayList<>();
    /** The parts of assignments that don't move, by owner. */
    private final Map<TargetId, List<KeyRange>> settledRanges = new HashMap<>();

    private final TargetLoads loads;
    private final int usableTargets;
    private final double meanCapacity;
    private final double meanUtilization;
    private final double speedExponent;
    private final double maxAdjacentOwnerUtilization;
    private int activeMoves;
    /** The load of the ranges whose balancing moves are in progress or planned, with the cost of the moves themselves. */
    private double movingRequestsPerSecond;

    PlanningRun(ShardTable table, List<PlanTarget> targets, List<KeyLoad.Snapshot> windows) {
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

    private static TargetId nextOwner(Assignment assignment) {
        return assignment.move().map(Move::to).orElse(assignment.owner());
    }

    private void countMoves() {
        for (Assignment assignment : table.assignments()) {
            TargetId nextOwner = nextOwner(assignment);
            keyCounts.merge(nextOwner, assignment.range().size(), Integer::sum);
            if (assignment.move().isEmpty()) {
                settledRanges
                        .computeIfAbsent(assignment.owner(), _ -> new ArrayList<>())
                        .add(assignment.range());
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

    PlacementPlan plan() {
        double busiest = targets.values().stream()
                .mapToDouble(target -> loads.requestsPerSecond(target.id()) / Math.max(0.1, target.capacityPerSecond()))
                .max()
                .orElse(0);
        evacuateUnusableTargets();
        Limit limit = balance();
        consolidate();
        return new PlacementPlan(List.copyOf(moves), busiest, meanUtilization, activeMoves, limit);
    }

    /** Returns the capacity of a target, weighted in favour of fast targets while capacity is spare. */
    private double weightedCapacity(PlanTarget target) {
        return target.capacityPerSecond() * Math.pow(target.capacityPerSecond() / meanCapacity, speedExponent);
    }

    private boolean ownerUsable(Assignment assignment) {
        PlanTarget owner = targets.get(assignment.owner());
        return owner != null && owner.usable() && owner.incarnation() == assignment.incarnation();
    }

    private void evacuateUnusableTargets() {
        if (usableTargets == 0) {
            return;
        }
        double loadPerPiece = loads.total() / usableTargets / PIECES_PER_TARGET;
        int maxMoves = Math.max(MIN_EVACUATION_LIMIT, usableTargets);
        table.assignments().stream()
                .filter(assignment -> assignment.move().isEmpty() && !ownerUsable(assignment))
                .sorted(Comparator.comparingDouble(assignment -> -load(assignment.owner(), assignment.range())))
                .forEach(assignment -> {
                    for (KeyRange piece : pieces(assignment, loadPerPiece)) {
                        if (activeMoves + moves.size() < maxMoves) {
                            destinationOf(piece, assignment).ifPresent(to -> move(piece, assignment.owner(), to));
                        }
                    }
                });
    }

    private double load(TargetId owner, KeyRange range) {
        return loads.of(owner, range).requestsPerSecond();
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
                .map(PlanningRun::nextOwner)
                .filter(id -> !id.equals(from.owner()))
                .filter(id -> targets.containsKey(id) && targets.get(id).usable())
                .filter(id -> utilization(id) + load(from.owner(), piece) / weightedCapacity(targets.get(id))
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
                .filter(assignment -> !adjoinsOwnRange(assignment))
                .filter(this::quiet)
                .sorted(Comparator.comparingDouble(
                                (Assignment assignment) -> load(assignment.owner(), assignment.range()))
                        .thenComparingInt(assignment -> assignment.range().size()))
                .limit(MAX_CONSOLIDATIONS_PER_PLAN)
                .forEach(assignment -> adjacentOwnerWithSpareCapacity(assignment.range(), assignment)
                        .ifPresent(to -> move(assignment.range(), assignment.owner(), to)));
    }

    /** Returns whether a range can be merged with one beside it, so that a move would only exchange their owners. */
    private boolean adjoinsOwnRange(Assignment assignment) {
        return Stream.of(
                        table.assignmentOf(assignment.range().first() - 1),
                        table.assignmentOf(assignment.range().last() + 1))
                .flatMap(Optional::stream)
                .anyMatch(adjacent -> nextOwner(adjacent).equals(assignment.owner()));
    }

    /** Returns whether the next owner of a range would hardly notice its load; a busy range would soon move away again. */
    private boolean quiet(Assignment assignment) {
        return loads.highest(assignment.range()) < QUIET_LOAD_SHARE * meanCapacity;
    }

    private List<KeyRange> pieces(Assignment assignment, double loadPerPiece) {
        KeyRange range = assignment.range();
        KeyLoad.Snapshot load = loads.window(assignment.owner(), range);
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
            int last = i == count ? range.last() : cut(load, range, begin, end, i, count);
            last = Math.clamp(last, first, range.last());
            result.add(new KeyRange(first, last));
            first = last + 1;
        }
        return result;
    }

    private static int cut(KeyLoad.Snapshot load, KeyRange range, int begin, int end, int part, int parts) {
        if (end - begin < parts) {
            return range.first() + (int) ((long) range.size() * part / parts) - 1;
        }
        return load.sortedKeys()[begin + (int) ((long) (end - begin) * part / parts) - 1];
    }

    private double utilization(TargetId id) {
        PlanTarget target = targets.get(id);
        return target == null ? 0 : loads.requestsPerSecond(id) / Math.max(0.1, weightedCapacity(target));
    }

    private Optional<PlanTarget> leastUtilized(TargetId except) {
        return leastUtilized(Set.of(except));
    }

    private Optional<PlanTarget> leastUtilized(Set<TargetId> except) {
        return targets.values().stream()
                .filter(PlanTarget::usable)
                .filter(target -> !except.contains(target.id()))
                .min(Comparator.comparingDouble((PlanTarget target) -> utilization(target.id()))
                        .thenComparing(target -> keyCounts.get(target.id()))
                        .thenComparing(PlanTarget::id));
    }

    private void move(KeyRange range, TargetId from, TargetId to) {
        moves.add(new PlannedMove(range, to));
        loads.move(range, from, to);
        keyCounts.merge(from, -range.size(), Integer::sum);
        keyCounts.merge(to, range.size(), Integer::sum);
    }

    /** Plans a move that delays requests which could be served without it. */
    private void balancingMove(KeyRange range, TargetId from, TargetId to) {
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

    /**
     * Returns how many requests per second may wait for moves. Those of overloaded targets don't count: they would wait in a
     * queue for longer than for a move, or be refused.
     */
    private double maxMovingRequestsPerSecond() {
        double atOverloadedTargets = targets.values().stream()
                .mapToDouble(target -> loads.requestsPerSecond(target.id()) > OVERLOADED * target.capacityPerSecond()
                        ? loads.requestsPerSecond(target.id())
                        : 0)
                .sum();
        return DELAYED_SHARE * loads.total() + atOverloadedTargets;
    }

    private Limit balance() {
        if (usableTargets < 2) {
            return Limit.NO_OTHER_TARGET;
        }
        double maxMoving = maxMovingRequestsPerSecond();
        Set<TargetId> sources = targets.values().stream()
                .filter(PlanTarget::usable)
                .map(PlanTarget::id)
                .filter(settledRanges::containsKey)
                .collect(Collectors.toCollection(HashSet::new));
        Set<TargetId> full = new HashSet<>();
        Limit limit = Limit.BALANCED;
        while (!sources.isEmpty()) {
            if (movingRequestsPerSecond > maxMoving) {
                return Limit.COST_TO_CALLERS;
            }
            TargetId source = mostUtilized(sources);
            if (isolateHotKey(source)) {
                continue;
            }
            Set<TargetId> excluded = new HashSet<>(full);
            excluded.add(source);
            PlanTarget destination = leastUtilized(excluded).orElse(null);
            if (destination == null || !improvesBalance(source, destination.id())) {
                return limit;
            }
            double room = room(source, destination);
            Optional<KeyRange> range = mostEfficientRange(source, room);
            if (range.isPresent()
                    && utilizationAfter(range.get(), source, destination) + MIN_UTILIZATION_GAIN
                            <= utilization(source)) {
                balancingMove(range.get(), source, destination.id());
            } else if (room < smallestMovableLoad(source)) {
                full.add(destination.id());
            } else {
                limit = Limit.NO_FITTING_RANGE;
                sources.remove(source);
            }
        }
        return limit;
    }

    /** Returns the load of two requests in the window by which the ranges of a target are chosen. */
    private double smallestMovableLoad(TargetId source) {
        return 2
                * settledRanges.get(source).stream()
                        .mapToDouble(range -> loads.window(source, range).sampleWeight())
                        .max()
                        .orElse(0);
    }

    private TargetId mostUtilized(Set<TargetId> sources) {
        return sources.stream()
                .max(Comparator.comparingDouble(this::utilization).thenComparing(Comparator.naturalOrder()))
                .orElseThrow();
    }

    private double utilizationAfter(KeyRange range, TargetId from, PlanTarget to) {
        return (loads.requestsPerSecond(to.id()) + load(from, range)) / Math.max(0.1, weightedCapacity(to));
    }

    /** Returns the utilization up to which targets take load: half of the spare capacity is left for chance. */
    private double fillLevel() {
        return Math.max(meanUtilization, (1 + meanUtilization) / 2);
    }

    /** Returns the utilization above which targets give load away; less spread hardly delays requests. */
    private double sourceLevel() {
        return meanUtilization + SOURCE_LEVEL_SHARE * (fillLevel() - meanUtilization);
    }

    /** Returns how much load to move from one target to another, in requests per second. */
    private double room(TargetId from, PlanTarget to) {
        PlanTarget source = targets.get(from);
        double sourceLoad = loads.requestsPerSecond(from);
        double destinationLoad = loads.requestsPerSecond(to.id());
        double untilEqual = sourceLoad
                - (sourceLoad + destinationLoad)
                        * weightedCapacity(source)
                        / (weightedCapacity(source) + weightedCapacity(to));
        double untilFilled = fillLevel() * weightedCapacity(to) - destinationLoad;
        return untilFilled > 0 ? Math.min(untilEqual, untilFilled) : untilEqual;
    }

    /**
     * Moves a key that is more than its owner can serve to the fastest suitable target, or, if it is there, the other keys of
     * its owner elsewhere.
     */
    private boolean isolateHotKey(TargetId owner) {
        Optional<KeyRange> hotKey = tooHotKey(owner);
        if (hotKey.isEmpty()) {
            return false;
        }
        Optional<PlanTarget> faster = fasterTarget(targets.get(owner));
        if (faster.isPresent()) {
            balancingMove(hotKey.get(), owner, faster.get().id());
            return true;
        }
        return moveNeighbours(hotKey.get(), owner);
    }

    private Optional<KeyRange> tooHotKey(TargetId owner) {
        if (utilization(owner) < 1) {
            return Optional.empty();
        }
        return settledRanges.get(owner).stream()
                .flatMap(range -> busiestKey(loads.window(owner, range), range).stream())
                .max(Comparator.comparingDouble(key -> load(owner, key)))
                .filter(key -> certainLoad(owner, key) > targets.get(owner).capacityPerSecond());
    }

    /** Returns the load of a range without what may be due to chance. */
    private double certainLoad(TargetId owner, KeyRange range) {
        TargetLoads.Load load = loads.of(owner, range);
        return load.requestsPerSecond() - 2 * Math.sqrt(load.variance());
    }

    private Optional<PlanTarget> fasterTarget(PlanTarget current) {
        return targets.values().stream()
                .filter(PlanTarget::usable)
                .filter(target -> target.capacityPerSecond() >= current.capacityPerSecond() * FASTER_TARGET_RATIO)
                .filter(target -> utilization(target.id()) < fillLevel())
                .max(Comparator.comparingDouble(PlanTarget::capacityPerSecond)
                        .thenComparing(target -> -utilization(target.id()))
                        .thenComparing(PlanTarget::id));
    }

    /** Moves the other ranges with requests away from the owner of a hot key, as far as others have room. */
    private boolean moveNeighbours(KeyRange hotKey, TargetId owner) {
        boolean moved = false;
        for (KeyRange whole : List.copyOf(settledRanges.get(owner))) {
            for (KeyRange part : without(hotKey, whole)) {
                Optional<PlanTarget> destination = leastUtilized(owner)
                        .filter(to -> load(owner, part) > 0 && utilizationAfter(part, owner, to) < fillLevel());
                destination.ifPresent(to -> balancingMove(part, owner, to.id()));
                moved = moved || destination.isPresent();
            }
        }
        return moved;
    }

    private static List<KeyRange> without(KeyRange part, KeyRange whole) {
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

    private static Optional<KeyRange> busiestKey(KeyLoad.Snapshot window, KeyRange range) {
        int end = window.indexOf(range.last() + 1);
        int busiest = -1;
        int most = 0;
        int begin = window.indexOf(range.first());
        while (begin < end) {
            int key = window.sortedKeys()[begin];
            int next = window.indexOf(key + 1);
            if (next - begin > most) {
                most = next - begin;
                busiest = key;
            }
            begin = next;
        }
        return busiest < 0 ? Optional.empty() : Optional.of(new KeyRange(busiest, busiest));
    }

    private boolean improvesBalance(TargetId mostUtilized, TargetId destination) {
        double most = utilization(mostUtilized);
        double gain = most - utilization(destination);
        return most > Math.max(HIGH_UTILIZATION, sourceLevel())
                        && most > MIN_UTILIZATION_RATIO * utilization(destination)
                        && gain > Math.max(MIN_UTILIZATION_GAIN, differenceByChance(mostUtilized, destination))
                || keyCounts.get(destination) == 0 && most > 0;
    }

    /**
     * Returns by how much the estimated utilizations of the most and the least utilized target may differ by chance, since the
     * load is a sample. The range of n normal samples is nearly twice the root of 2 ln n deviations of one of them. An overloaded
     * target refuses requests meanwhile, so that less evidence suffices.
     */
    private double differenceByChance(TargetId most, TargetId least) {
        double deviation = Math.hypot(deviation(most), deviation(least));
        double deviations = utilization(most) > OVERLOADED ? 1 : RANGE_FACTOR * Math.sqrt(Math.log(usableTargets));
        return deviations * deviation;
    }

    private double deviation(TargetId id) {
        return Math.sqrt(loads.of(id).variance()) / Math.max(0.1, weightedCapacity(targets.get(id)));
    }

    /** Returns the range with the best ratio of load to cost of those with nearly, but at most, the given load. */
    private Optional<KeyRange> mostEfficientRange(TargetId from, double maxRequestsPerSecond) {
        KeyRange bestRange = null;
        double bestValue = 0;
        for (KeyRange whole : settledRanges.get(from)) {
            KeyLoad.Snapshot load = loads.window(from, whole);
            int maxRequests = (int) (maxRequestsPerSecond / load.sampleWeight());
            double minRequests = minMovedLoad(from) / load.sampleWeight();
            int begin = load.indexOf(whole.first());
            int end = load.indexOf(whole.last() + 1);
            int count = Math.min(maxRequests, end - begin);
            for (int i = begin; count > 0 && i + count <= end; i++) {
                KeyRange busy = new KeyRange(load.sortedKeys()[i], load.sortedKeys()[i + count - 1]);
                // Idle keys at an end of the assignment move along, which avoids a second split.
                KeyRange wide = new KeyRange(
                        i == begin ? whole.first() : busy.first(), i + count == end ? whole.last() : busy.last());
                for (KeyRange candidate : List.of(busy, wide)) {
                    int requests = load.requestsIn(candidate);
                    double value = expectedRequests(requests, candidate, end - begin, whole)
                            * load.sampleWeight()
                            / cost(candidate, whole);
                    // The first and the last key may have more requests than those that were counted off.
                    if (value > bestValue && requests <= maxRequests && requests >= minRequests) {
                        bestRange = candidate;
                        bestValue = value;
                    }
                }
            }
        }
        return Optional.ofNullable(bestRange);
    }

    /** Returns the least load worth a move, which is less for an overloaded target of small capacity, such as a cold one. */
    private double minMovedLoad(TargetId from) {
        double capacity = utilization(from) > OVERLOADED
                ? Math.min(meanCapacity, targets.get(from).capacityPerSecond())
                : meanCapacity;
        return QUIET_LOAD_SHARE * capacity;
    }

    /**
     * Returns how many requests to expect for a part that was selected by its count. Under an even load, narrow ranges around the
     * requests that were sampled have no more load than others: moving those left all of it where it was.
     */
    private static double expectedRequests(int requests, KeyRange part, int requestsOfWhole, KeyRange whole) {
        double ifEven = (double) requestsOfWhole * part.size() / whole.size();
        double certain = requests - SELECTION_DEVIATIONS * Math.sqrt(requests);
        return Math.max(certain, Math.min(requests, ifEven));
    }

    /** Returns the cost of moving a range, in keys: the moved keys, a fixed cost, and the added assignments. */
    private double cost(KeyRange part, KeyRange whole) {
        int added = (part.first() > whole.first() ? 1 : 0) + (part.last() < whole.last() ? 1 : 0);
        double perTarget = (double) table.assignments().size() / targets.size();
        return part.size() + MOVE_COST_KEYS + added * ASSIGNMENT_COST_KEYS * perTarget * perTarget;
    }
}
