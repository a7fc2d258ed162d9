package org.dragonflymux.core.shard;

import java.util.Optional;

/** How far the move of one range has come. */
final class MoveProgress {

    /** The steps of a move. */
    enum Step {
        FENCE_OWNER,
        RELEASE,
        AWAIT_EXPIRY,
        GRANT,
        DONE
    }

    private Step step;
    private long expiresAt;
    private boolean calling;
    private long retryAt = Long.MIN_VALUE;
    private long ownerFence;
    private Optional<String> handover = Optional.empty();

    MoveProgress(Step first, long ownerFence, long expiresAt) {
        this.step = first;
        this.ownerFence = ownerFence;
        this.expiresAt = expiresAt;
    }

    Step step() {
        return step;
    }

    long expiresAt() {
        return expiresAt;
    }

    long ownerFence() {
        return ownerFence;
    }

    Optional<String> handover() {
        return handover;
    }

    boolean mayCall(long now) {
        return !calling && now >= retryAt;
    }

    void called() {
        calling = true;
    }

    void fenced(long fence, long holdsUntil) {
        ownerFence = fence;
        expiresAt = holdsUntil;
        next(Step.RELEASE);
    }

    void handedOver(Optional<String> token) {
        handover = token;
        next(Step.GRANT);
    }

    void next(Step following) {
        step = following;
        calling = false;
        retryAt = Long.MIN_VALUE;
    }

    void retryAt(long at) {
        calling = false;
        retryAt = at;
    }

    void expiresNotBefore(long at) {
        expiresAt = Math.max(expiresAt, at);
    }
}
