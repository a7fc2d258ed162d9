package org.dragonflymux.core.document;

import org.dragonflymux.core.name.TargetId;

/**
 * A move of one unit of the key space that waits for the present owner's dispatcher to close it.
 *
 * @param unit the index of a partition, or the number of partitions plus the index of a pin
 * @param to the target that owns the unit once the move commits
 * @param ticket a number that no other move of the table has, so that an old closing never commits a later move
 */
public record UnitMove(int unit, TargetId to, long ticket) {}
