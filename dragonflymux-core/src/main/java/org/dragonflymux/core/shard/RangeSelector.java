package org.dragonflymux.core.shard;

import java.util.List;
import java.util.Optional;
import org.dragonflymux.core.name.TargetId;

/** Selects which range of a target moves: a narrow busy one, since the cost of a move grows with the number of its keys. */
final class RangeSelector {

    /** The busiest of many small ranges looks busier than it is by about as many deviations of its count. */
    private static final double SELECTION_DEVIATIONS = 1.5;
    /** The fixed cost of a move, expressed as a number of keys. */
    private static final double MOVE_COST_KEYS = 8;
    /** The cost of an additional assignment at one assignment per target, expressed as a number of keys. */
    private static final double ASSIGNMENT_COST_KEYS = 8;

    private final PlanningState state;

    RangeSelector(PlanningState state) {
        this.state = state;
    }

    /** Returns the range with the best ratio of load to cost of those with nearly, but at most, the given load. */
    Optional<KeyRange> mostEfficientRange(TargetId from, double maxRequestsPerSecond) {
        KeyRange bestRange = null;
        double bestValue = 0;
        for (KeyRange whole : state.settledRanges.get(from)) {
            KeyLoad.Snapshot load = state.loads.window(from, whole);
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
        double capacity = state.utilization(from) > PlanningState.OVERLOADED
                ? Math.min(state.meanCapacity, state.targets.get(from).capacityPerSecond())
                : state.meanCapacity;
        return PlanningState.QUIET_LOAD_SHARE * capacity;
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
        double perTarget = (double) state.table.assignments().size() / state.targets.size();
        return part.size() + MOVE_COST_KEYS + added * ASSIGNMENT_COST_KEYS * perTarget * perTarget;
    }

    static Optional<KeyRange> busiestKey(KeyLoad.Snapshot window, KeyRange range) {
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
}
