package org.dragonflymux.core.shard;

import java.util.EnumMap;
import java.util.Map;
import java.util.Optional;

/** The progress of the move of one range. */
final class MoveProgress {

    enum Step {
        /** Grant the keys to the old owner again under a higher fencing token, so that it refuses earlier grants. */
        FENCE_OWNER,
        /** Ask the old owner to release the keys. */
        RELEASE,
        /** Wait until all grants of the old owner have expired. */
        AWAIT_EXPIRY,
        /** Grant the keys to the new owner. */
        GRANT,
        /** The new owner has the keys, or must be assumed to have them; the table can be updated. */
        DONE
    }

    private final long ownerIncarnation;
    private Step step;
    private long expiresAt;
    private boolean callOutstanding;
    private long retryAt = Long.MIN_VALUE;
    private Optional<String> handover = Optional.empty();
    private final Map<Step, Long> stepMillis = new EnumMap<>(Step.class);
    private long measuredUntil;
    private boolean reported;

    MoveProgress(Step first, long ownerIncarnation, long expiresAt, long now) {
        this.measuredUntil = now;
        this.step = first;
        this.ownerIncarnation = ownerIncarnation;
        this.expiresAt = expiresAt;
    }

    Step step() {
        return step;
    }

    /** Adds the time since the last call to the present step. */
    void measure(long now) {
        stepMillis.merge(step, Math.max(0, now - measuredUntil), Long::sum);
        measuredUntil = now;
    }

    /** Returns how long a step has taken so far, in milliseconds. */
    long millisIn(Step measured) {
        return stepMillis.getOrDefault(measured, 0L);
    }

    /** Returns whether the end of the move is to be reported, which is true once. */
    boolean takeEnd() {
        boolean first = step == Step.DONE && !reported;
        reported = reported || first;
        return first;
    }

    /** Returns whether the old owner may still hold the keys. */
    boolean waitsForOwner() {
        return switch (step) {
            case FENCE_OWNER, RELEASE, AWAIT_EXPIRY -> true;
            case GRANT, DONE -> false;
        };
    }

    /** Returns the latest incarnation of the old owner that was known when the move began. */
    long ownerIncarnation() {
        return ownerIncarnation;
    }

    long expiresAt() {
        return expiresAt;
    }

    Optional<String> handover() {
        return handover;
    }

    boolean mayCall(long now) {
        return !callOutstanding && now >= retryAt;
    }

    void callSent() {
        callOutstanding = true;
    }

    void ownerFenced(long heldUntil) {
        expiresAt = heldUntil;
        advanceTo(Step.RELEASE);
    }

    void released(Optional<String> token) {
        handover = token;
        advanceTo(Step.GRANT);
    }

    void advanceTo(Step nextStep) {
        step = nextStep;
        callOutstanding = false;
        retryAt = Long.MIN_VALUE;
    }

    void retryAt(long at) {
        callOutstanding = false;
        retryAt = at;
    }

    void expiresNotBefore(long at) {
        expiresAt = Math.max(expiresAt, at);
    }
}
