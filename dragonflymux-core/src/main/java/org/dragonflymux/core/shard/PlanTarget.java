package org.dragonflymux.core.shard;

import org.dragonflymux.core.name.TargetId;

/**
 * A target as the planner sees it.
 *
 * @param id the target
 * @param incarnation its present life
 * @param perSecond how many requests a second it bears
 * @param usable whether it may own keys
 */
public record PlanTarget(TargetId id, long incarnation, double perSecond, boolean usable) {}
