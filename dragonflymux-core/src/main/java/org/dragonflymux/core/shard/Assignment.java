package org.dragonflymux.core.shard;

import java.util.Optional;
import org.dragonflymux.core.name.TargetId;

/**
 * Who owns a range.
 *
 * @param range the keys
 * @param owner the target that owns them, or owned them last while they move
 * @param incarnation the owner's life that was meant; another life has to be granted the keys anew
 * @param fence the fencing token of the ownership
 * @param move where the keys move to, while they move
 */
public record Assignment(KeyRange range, TargetId owner, long incarnation, long fence, Optional<Move> move) {

    /** Returns the same ownership of a part of the keys. */
    public Assignment part(KeyRange part) {
        return new Assignment(part, owner, incarnation, fence, move);
    }

    /** Returns whether both may be one assignment, ranges aside. */
    public boolean sameOwnership(Assignment other) {
        return owner.equals(other.owner)
                && incarnation == other.incarnation
                && fence == other.fence
                && move.equals(other.move);
    }
}
