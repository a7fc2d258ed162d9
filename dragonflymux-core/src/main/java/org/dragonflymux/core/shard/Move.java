package org.dragonflymux.core.shard;

import org.dragonflymux.core.name.TargetId;

/**
 * A planned or ongoing change of the owner of a range.
 *
 * @param to the next owner
 * @param incarnation the incarnation of the next owner
 * @param fence the fencing token under which it will own the range
 */
public record Move(TargetId to, long incarnation, long fence) {}
