package org.dragonflymux.core.shard;

import java.util.List;
import org.dragonflymux.core.shard.ShardPlanner.PlannedMove;

/**
 * The moves to start, and what they were decided by.
 *
 * @param moves the moves to start now
 * @param busiestUtilization the highest ratio of load to capacity of any target
 * @param meanUtilization the ratio of the whole load to the capacity of all usable targets
 * @param movesInProgress the number of moves that were in progress already
 * @param limit what held back further moves
 */
public record PlacementPlan(
        List<PlannedMove> moves, double busiestUtilization, double meanUtilization, int movesInProgress, Limit limit) {

    /** The plan of a service without targets. */
    static final PlacementPlan NONE = new PlacementPlan(List.of(), 0, 0, 0, Limit.NO_OTHER_TARGET);

    /** What held back further moves. */
    public enum Limit {
        /** There are not two usable targets. */
        NO_OTHER_TARGET,
        /** No difference between targets is both large and beyond the sampling error. */
        BALANCED,
        /** No range of a busy target fits another target. */
        NO_FITTING_RANGE,
        /** The moves in progress already delay as many requests as they may. */
        COST_TO_CALLERS
    }
}
