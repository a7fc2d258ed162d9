package org.dragonflymux.core.shard;

import org.dragonflymux.core.name.TargetId;

/**
 * The intended next owner of a range.
 *
 * @param to the next owner
 * @param incarnation the next owner's life that is meant
 * @param fence the fencing token with which it will own the range
 */
public record Move(TargetId to, long incarnation, long fence) {}
