package org.dragonflymux.core.shard;

import org.dragonflymux.core.name.TargetId;

/**
 * The properties of a target that the planner uses.
 *
 * @param id the target
 * @param incarnation its current incarnation
 * @param capacityPerSecond its capacity in requests per second
 * @param nominalCapacityPerSecond its capacity without the slowdown that it reports, which its own load may have caused
 * @param usable whether it may own keys
 */
public record PlanTarget(
        TargetId id, long incarnation, double capacityPerSecond, double nominalCapacityPerSecond, boolean usable) {

    /** Creates a target without a slowdown. */
    public static PlanTarget withoutSlowdown(TargetId id, long incarnation, double capacityPerSecond, boolean usable) {
        return new PlanTarget(id, incarnation, capacityPerSecond, capacityPerSecond, usable);
    }
}
