package org.dragonflymux.core.shard;

import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.dragonflymux.core.name.TargetId;
import org.dragonflymux.core.shard.PlacementPlan.Limit;

/** Moves ranges from highly utilized targets to those with spare capacity, as far as that is worth its cost to callers. */
final class Balancing {

    /** Targets give load away above this share of the way from the mean utilization to the fill level. */
    private static final double SOURCE_LEVEL_SHARE = 0.75;
    /** The range of n normal samples, in standard deviations of a difference and roots of ln n, for 2 to 100 samples. */
    private static final double RANGE_FACTOR = 1.8;

    private static final double MIN_UTILIZATION_RATIO = 1.35;
    private static final double MIN_UTILIZATION_GAIN = 0.12;
    /** Requests for a moving range wait until its move ends; this share of all requests may do so to improve the balance. */
    private static final double DELAYED_SHARE = 0.05;
    /** A hot key moves to a target that is faster by this factor; less is not worth its move. */
    private static final double FASTER_TARGET_RATIO = 1.25;

    private final PlanningState state;
    private final RangeSelector selector;

    Balancing(PlanningState state) {
        this.state = state;
        this.selector = new RangeSelector(state);
    }

    /** Plans the moves and returns what held back further ones. */
    Limit balance() {
        if (state.usableTargets < 2) {
            return Limit.NO_OTHER_TARGET;
        }
        double maxMoving = maxMovingRequestsPerSecond();
        Set<TargetId> sources = state.targets.values().stream()
                .filter(PlanTarget::usable)
                .map(PlanTarget::id)
                .filter(state.settledRanges::containsKey)
                .collect(Collectors.toCollection(HashSet::new));
        Set<TargetId> full = new HashSet<>();
        Limit limit = Limit.BALANCED;
        while (!sources.isEmpty()) {
            if (state.movingRequestsPerSecond > maxMoving) {
                return Limit.COST_TO_CALLERS;
            }
            TargetId source = mostUtilized(sources);
            if (isolateHotKey(source)) {
                continue;
            }
            Set<TargetId> excluded = new HashSet<>(full);
            excluded.add(source);
            PlanTarget destination = state.leastUtilized(excluded).orElse(null);
            if (destination == null || !improvesBalance(source, destination.id())) {
                return limit;
            }
            double room = room(source, destination);
            Optional<KeyRange> range = selector.mostEfficientRange(source, room);
            if (range.isPresent()
                    && state.utilizationAfter(range.get(), source, destination) + MIN_UTILIZATION_GAIN
                            <= state.utilization(source)) {
                state.balancingMove(range.get(), source, destination.id());
            } else if (room < smallestMovableLoad(source)) {
                full.add(destination.id());
            } else {
                limit = Limit.NO_FITTING_RANGE;
                sources.remove(source);
            }
        }
        return limit;
    }

    /**
     * Returns how many requests per second may wait for moves. Those of overloaded targets don't count: they would wait in a
     * queue for longer than for a move, or be refused.
     */
    private double maxMovingRequestsPerSecond() {
        double atOverloadedTargets = state.targets.values().stream()
                .mapToDouble(target -> state.loads.requestsPerSecond(target.id())
                                > PlanningState.OVERLOADED * target.capacityPerSecond()
                        ? state.loads.requestsPerSecond(target.id())
                        : 0)
                .sum();
        return DELAYED_SHARE * state.loads.total() + atOverloadedTargets;
    }

    /** Returns the load of two requests in the window by which the ranges of a target are chosen. */
    private double smallestMovableLoad(TargetId source) {
        return 2
                * state.settledRanges.get(source).stream()
                        .mapToDouble(range -> state.loads.window(source, range).sampleWeight())
                        .max()
                        .orElse(0);
    }

    private TargetId mostUtilized(Set<TargetId> sources) {
        return sources.stream()
                .max(Comparator.comparingDouble(state::utilization).thenComparing(Comparator.naturalOrder()))
                .orElseThrow();
    }

    /** Returns the utilization above which targets give load away; less spread hardly delays requests. */
    private double sourceLevel() {
        return state.meanUtilization + SOURCE_LEVEL_SHARE * (state.fillLevel() - state.meanUtilization);
    }

    /** Returns how much load to move from one target to another, in requests per second. */
    private double room(TargetId from, PlanTarget to) {
        PlanTarget source = state.targets.get(from);
        double sourceLoad = state.loads.requestsPerSecond(from);
        double destinationLoad = state.loads.requestsPerSecond(to.id());
        double untilEqual = sourceLoad
                - (sourceLoad + destinationLoad)
                        * state.weightedCapacity(source)
                        / (state.weightedCapacity(source) + state.weightedCapacity(to));
        double untilFilled = state.fillLevel() * state.weightedCapacity(to) - destinationLoad;
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
        Optional<PlanTarget> faster = fasterTarget(state.targets.get(owner));
        if (faster.isPresent()) {
            state.balancingMove(hotKey.get(), owner, faster.get().id());
            return true;
        }
        return moveOtherKeys(hotKey.get(), owner);
    }

    private Optional<KeyRange> tooHotKey(TargetId owner) {
        if (state.utilization(owner) < 1) {
            return Optional.empty();
        }
        return state.settledRanges.get(owner).stream()
                .flatMap(range -> RangeSelector.busiestKey(state.loads.window(owner, range), range).stream())
                .max(Comparator.comparingDouble(key -> state.load(owner, key)))
                .filter(key ->
                        state.certainLoad(owner, key) > state.targets.get(owner).capacityPerSecond());
    }

    /**
     * Returns a target that is faster by its nominal capacity. The slowdown of the current owner doesn't count, since the hot
     * key causes it: an idle target of the same speed would look faster and slow down as soon as it has the key.
     */
    private Optional<PlanTarget> fasterTarget(PlanTarget current) {
        return state.targets.values().stream()
                .filter(PlanTarget::usable)
                .filter(target ->
                        target.nominalCapacityPerSecond() >= current.nominalCapacityPerSecond() * FASTER_TARGET_RATIO)
                .filter(target -> target.capacityPerSecond() > current.capacityPerSecond())
                .filter(target -> state.utilization(target.id()) < state.fillLevel())
                .max(Comparator.comparingDouble(PlanTarget::capacityPerSecond)
                        .thenComparing(target -> -state.utilization(target.id()))
                        .thenComparing(PlanTarget::id));
    }

    /** Moves the other ranges with requests away from the owner of a hot key, as far as others have room. */
    private boolean moveOtherKeys(KeyRange hotKey, TargetId owner) {
        boolean moved = false;
        for (KeyRange whole : List.copyOf(state.settledRanges.get(owner))) {
            for (KeyRange part : PlanningState.without(hotKey, whole)) {
                Optional<PlanTarget> destination = state.leastUtilized(owner)
                        .filter(to -> state.load(owner, part) > 0
                                && state.utilizationAfter(part, owner, to) < state.fillLevel());
                destination.ifPresent(to -> state.balancingMove(part, owner, to.id()));
                moved = moved || destination.isPresent();
            }
        }
        return moved;
    }

    private boolean improvesBalance(TargetId mostUtilized, TargetId destination) {
        double most = state.utilization(mostUtilized);
        double gain = most - state.utilization(destination);
        return most > Math.max(PlanningState.HIGH_UTILIZATION, sourceLevel())
                        && most > MIN_UTILIZATION_RATIO * state.utilization(destination)
                        && gain > Math.max(MIN_UTILIZATION_GAIN, differenceByChance(mostUtilized, destination))
                || state.keyCounts.get(destination) == 0 && most > 0;
    }

    /**
     * Returns by how much the estimated utilizations of the most and the least utilized target may differ by chance, since the
     * load is a sample. The range of n normal samples is nearly twice the root of 2 ln n deviations of one of them. An overloaded
     * target refuses requests meanwhile, so that less evidence suffices unless the mean is high itself.
     */
    private double differenceByChance(TargetId most, TargetId least) {
        double deviation = Math.hypot(state.deviation(most), state.deviation(least));
        double deviations =
                state.overloadedUnlikeOthers(most) ? 1 : RANGE_FACTOR * Math.sqrt(Math.log(state.usableTargets));
        return deviations * deviation;
    }
}
