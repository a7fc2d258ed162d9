package org.dragonflymux.gateway.control.simulation;

import java.util.Optional;
import org.dragonflymux.core.balance.TargetEntry;
import org.dragonflymux.core.name.FailureDomain;
import org.dragonflymux.core.name.ServiceName;
import org.dragonflymux.core.name.TargetId;
import org.dragonflymux.core.shard.GrantResult;
import org.dragonflymux.core.shard.KeyRange;

/**
 * A target that remembers holds and fencing tokens until it ends. Every 256th key is simulated. It is at work on each key that
 * it holds, and on those that it released until the release is answered.
 */
final class SimulatedTarget {

    static final int KEY_STEP = 256;
    static final int KEYS = (KeyRange.MAX_KEY + 1) / KEY_STEP;

    private static final double SLOW_CLOCK_FACTOR = 1.02;

    private final TargetId id;
    private final ServiceName service;
    private long incarnation;
    private boolean up;
    private boolean draining;
    private boolean fencedByReleases = true;
    private long[] heldUntil = new long[KEYS];
    private long[] fenceSeen = new long[KEYS];
    /** Until when the keys would be held without releases, by the grants that weren't held up on their way. */
    private long[] grantedUntil = new long[KEYS];

    private long[] workEndsAt = new long[KEYS];
    private long[] highestFence = new long[KEYS];
    private final long[] previousIncarnationsFence = new long[KEYS];

    SimulatedTarget(TargetId id, ServiceName service) {
        this.id = id;
        this.service = service;
    }

    TargetId id() {
        return id;
    }

    boolean up() {
        return up;
    }

    long incarnation() {
        return incarnation;
    }

    /** Sets whether the token of a release counts as seen. */
    void fencedByReleases(boolean fenced) {
        fencedByReleases = fenced;
    }

    void draining(boolean announced) {
        draining = announced;
    }

    TargetEntry entry() {
        return new TargetEntry(id, service, "127.0.0.1:1", FailureDomain.of("a"), 4, draining, 0, incarnation);
    }

    /** Starts the target, which knows nothing of its earlier incarnations. */
    void start(long now) {
        up = true;
        draining = false;
        incarnation = now + 1;
        heldUntil = new long[KEYS];
        fenceSeen = new long[KEYS];
        grantedUntil = new long[KEYS];
        workEndsAt = new long[KEYS];
        for (int key = 0; key < KEYS; key++) {
            previousIncarnationsFence[key] = Math.max(previousIncarnationsFence[key], highestFence[key]);
        }
        highestFence = new long[KEYS];
    }

    void crash() {
        up = false;
    }

    static int firstKey(KeyRange range) {
        return (range.first() + KEY_STEP - 1) / KEY_STEP;
    }

    static int lastKey(KeyRange range) {
        return range.last() / KEY_STEP;
    }

    /** Returns whether this target takes a grant, because it has seen no higher token. */
    boolean takes(KeyRange range, long fence) {
        for (int key = firstKey(range); key <= lastKey(range); key++) {
            if (fenceSeen[key] > fence) {
                return false;
            }
        }
        return true;
    }

    /**
     * Takes a grant, now or late; its hold counts from its arrival.
     *
     * @param onTime whether the grant wasn't held up on its way
     */
    GrantResult grant(KeyRange range, long fence, long holdMillis, long arrivedAt, boolean onTime) {
        if (!takes(range, fence)) {
            return new GrantResult.Fenced();
        }
        for (int key = firstKey(range); key <= lastKey(range); key++) {
            fenceSeen[key] = fence;
            heldUntil[key] = arrivedAt + (long) (holdMillis * SLOW_CLOCK_FACTOR);
            if (onTime) {
                grantedUntil[key] = heldUntil[key];
                highestFence[key] = Math.max(highestFence[key], fence);
            }
        }
        return new GrantResult.Done(Optional.empty());
    }

    /**
     * Gives keys back. Work on those that it held goes on for a while.
     *
     * @return when all work on the keys has ended
     */
    long release(KeyRange range, long fence, long now, long workMillis) {
        long endsAt = now + workMillis;
        for (int key = firstKey(range); key <= lastKey(range); key++) {
            if (heldUntil[key] > now) {
                workEndsAt[key] = now + workMillis;
            }
            endsAt = Math.max(endsAt, workEndsAt[key]);
            if (fencedByReleases) {
                fenceSeen[key] = Math.max(fenceSeen[key], fence);
            }
            heldUntil[key] = 0;
        }
        return endsAt;
    }

    /** Returns whether this target is at work on a key that it may still hold by a grant that wasn't held up on its way. */
    boolean worksOn(int key, long now) {
        return up && grantedUntil[key] > now && (heldUntil[key] > now || workEndsAt[key] > now);
    }

    /** Returns the highest token under which this target had a key, not counting grants that were held up. */
    long highestFence(int key) {
        return Math.max(highestFence[key], previousIncarnationsFence[key]);
    }

    /** Returns the highest token under which earlier incarnations had a key, not counting grants that were held up. */
    long previousIncarnationsFence(int key) {
        return previousIncarnationsFence[key];
    }

    boolean holds(int key, long now) {
        return up && heldUntil[key] > now;
    }
}
