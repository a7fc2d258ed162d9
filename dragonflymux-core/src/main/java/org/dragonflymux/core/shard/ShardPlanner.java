package org.dragonflymux.core.shard;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.dragonflymux.core.name.TargetId;

/** Plans which keys move, and which assignments are merged. */
public final class ShardPlanner {

    private static final int MAX_MERGES_PER_PLAN = 16;
    /** Above this number of assignments per target, adjacent ranges of the same owner are merged. */
    private static final int MERGE_ABOVE_PER_TARGET = 2;

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

    /** Returns the moves to start now, by the load of a single window. */
    public static List<PlannedMove> plan(ShardTable table, List<PlanTarget> targets, KeyLoad.Snapshot load) {
        return plan(table, targets, List.of(load)).moves();
    }

    /**
     * Returns the moves to start now.
     *
     * @param windows the load of windows that end now, the shortest first
     */
    public static PlacementPlan plan(ShardTable table, List<PlanTarget> targets, List<KeyLoad.Snapshot> windows) {
        if (targets.isEmpty()) {
            return PlacementPlan.NONE;
        }
        PlanningState state = new PlanningState(table, targets, windows);
        double busiest = state.busiestUtilization();
        Evacuation evacuation = new Evacuation(state);
        evacuation.evacuateUnusableTargets();
        PlacementPlan.Limit limit = new Balancing(state).balance();
        evacuation.consolidate();
        return new PlacementPlan(List.copyOf(state.moves), busiest, state.meanUtilization, state.activeMoves, limit);
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
}
