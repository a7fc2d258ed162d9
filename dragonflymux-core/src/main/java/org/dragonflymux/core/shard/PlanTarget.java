package org.dragonflymux.core.shard;

import org.dragonflymux.core.name.TargetId;

/**
 * The properties of a target that the planner uses.
 *
 * @param id the target
 * @param incarnation its current incarnation
 * @param capacityPerSecond its capacity in requests per second
 * @param usable whether it may own keys
 */
public record PlanTarget(TargetId id, long incarnation, double capacityPerSecond, boolean usable) {}
