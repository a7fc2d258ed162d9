package org.dragonflymux.core.document;

import org.dragonflymux.core.name.TargetId;

/**
 * A pending move of one unit of the key space. It commits once the current owner's dispatcher has stopped sending
 * requests for the unit.
 *
 * @param unit the index of a partition, or the number of partitions plus the index of a pin
 * @param to the target that owns the unit after the move
 * @param ticket a number unique among the moves of the table, so that a report on an earlier move never commits a later
 *     one
 */
public record UnitMove(int unit, TargetId to, long ticket) {}
