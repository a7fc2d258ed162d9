package org.dragonflymux.core.shard;

/** The grantor's view of the grants of one target. Times are milliseconds of the monotonic clock. */
final class TargetGrants {

    private static final long FAILURE_MEMORY_MILLIS = 30_000;

    private final GrantSettings settings;
    private long heldUntil = Long.MIN_VALUE;
    private long unconfirmedUntil;
    private int outstandingCalls;
    private long failingSince = Long.MAX_VALUE;
    private long lastFailureAt = Long.MIN_VALUE / 2;
    private long incarnation;
    private long retryAt = Long.MIN_VALUE;

    /**
     * Creates the grants of a target that this grantor has not called yet.
     *
     * @param unconfirmedUntil until when unknown grants of an earlier grantor may be in force
     * @param incarnation the registered incarnation of the target, 0 if it isn't registered
     */
    TargetGrants(GrantSettings settings, long unconfirmedUntil, long incarnation) {
        this.settings = settings;
        this.incarnation = incarnation;
        this.unconfirmedUntil = unconfirmedUntil;
    }

    void callSent() {
        outstandingCalls++;
    }

    void callEnded(GrantResult result, long sentAt, long now) {
        outstandingCalls--;
        switch (result) {
            case GrantResult.Done _ -> {
                heldUntil = Math.max(heldUntil, now + settings.worstCaseHoldMillis());
                failingSince = Long.MAX_VALUE;
            }
            case GrantResult.Unknown _ -> {
                unconfirmedUntil = Math.max(unconfirmedUntil, now + settings.worstCaseHoldMillis());
                callFailed(sentAt, now);
            }
            case GrantResult.NotSent _, GrantResult.TargetEnded _ -> callFailed(sentAt, now);
            case GrantResult.Fenced _ -> failingSince = Long.MAX_VALUE;
        }
    }

    private void callFailed(long sentAt, long now) {
        failingSince = failuresForgotten(now) ? sentAt : Math.min(failingSince, sentAt);
        lastFailureAt = now;
        retryAt = now + settings.renewalIntervalMillis() / 6;
    }

    /** Returns the latest time until which the target may hold keys that were granted so far. */
    long heldUntil() {
        return Math.max(heldUntil, unconfirmedUntil);
    }

    /** Returns whether a grant with an unknown result may still be in force. */
    boolean hasUnconfirmedGrant(long now) {
        return now < unconfirmedUntil;
    }

    boolean hasOutstandingCalls() {
        return outstandingCalls > 0;
    }

    int outstandingCalls() {
        return outstandingCalls;
    }

    boolean mayCall(long now) {
        return now >= retryAt;
    }

    /** Records the registered incarnation of the target. Failed calls to an earlier one say nothing of it. */
    void registeredAs(long registeredIncarnation) {
        if (registeredIncarnation > incarnation) {
            incarnation = registeredIncarnation;
            failingSince = Long.MAX_VALUE;
        }
    }

    /** Returns for how long all calls to the target have failed, in milliseconds; 0 if the last one was long ago. */
    long unresponsiveMillis(long now) {
        return failingSince == Long.MAX_VALUE || failuresForgotten(now) ? 0 : now - failingSince;
    }

    /** A target without keys isn't called, so that only time can show that it may answer again. */
    private boolean failuresForgotten(long now) {
        return outstandingCalls == 0 && now - lastFailureAt > FAILURE_MEMORY_MILLIS;
    }
}
