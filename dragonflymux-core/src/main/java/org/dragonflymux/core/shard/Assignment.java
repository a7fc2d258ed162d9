package org.dragonflymux.core.shard;

import java.util.Optional;
import org.dragonflymux.core.name.TargetId;

/**
 * The owner of a range of shard keys.
 *
 * @param range the keys
 * @param owner the target that owns the keys, or the previous owner during a move
 * @param incarnation the incarnation of the owner; another incarnation of it must be granted the keys again
 * @param fence the fencing token of the ownership
 * @param move the move in progress, if any
 */
public record Assignment(KeyRange range, TargetId owner, long incarnation, long fence, Optional<Move> move) {

    /** Returns the same ownership, restricted to a part of the keys. */
    public Assignment withRange(KeyRange part) {
        return new Assignment(part, owner, incarnation, fence, move);
    }

    /** Returns whether both are equal except for their ranges, so that adjacent ranges can be merged. */
    public boolean sameOwnership(Assignment other) {
        return owner.equals(other.owner)
                && incarnation == other.incarnation
                && fence == other.fence
                && move.equals(other.move);
    }
}
