package org.dragonflymux.core.shard;

import org.dragonflymux.core.name.TargetId;

/**
 * A planned or ongoing change of the owner of a range. It reserves three fencing tokens, so that a grant that is carried out
 * late is refused by each target that has seen a later step.
 *
 * @param to the next owner
 * @param incarnation the incarnation of the next owner
 * @param fence the fencing token under which it will own the range
 */
public record Move(TargetId to, long incarnation, long fence) {

    /** The number of fencing tokens that a move reserves. */
    static final int FENCES = 3;

    /** Returns the token under which the old owner is granted the range once more, so that it refuses earlier grants. */
    long ownerFence() {
        return fence - 2;
    }

    /**
     * Returns the token under which the old owner is asked to release the range. It is above {@link #ownerFence}, since a grant
     * under that one, by this grantor or an earlier one, may be carried out later.
     */
    long releaseFence() {
        return fence - 1;
    }
}
