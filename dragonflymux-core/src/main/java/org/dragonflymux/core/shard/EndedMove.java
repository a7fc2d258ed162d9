package org.dragonflymux.core.shard;

import org.dragonflymux.core.name.TargetId;

/**
 * A move whose new owner has the keys, or must be assumed to have them, and how long its steps took, in milliseconds.
 *
 * @param range the keys
 * @param from the previous owner
 * @param to the new owner
 * @param fenceMillis the calls that fence grants of the previous owner that are not confirmed; 0 if there are none
 * @param releaseMillis the release by the previous owner, which waits for running work
 * @param expiryMillis the wait for the end of the previous owner's grants; 0 if it released the keys
 * @param grantMillis the grant to the new owner
 * @param handover whether the previous owner gave a handover
 */
public record EndedMove(
        KeyRange range,
        TargetId from,
        TargetId to,
        long fenceMillis,
        long releaseMillis,
        long expiryMillis,
        long grantMillis,
        boolean handover) {}
