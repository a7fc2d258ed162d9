package org.dragonflymux.core.shard;

/** The grantor's view of the grants of one target. Times are milliseconds of the monotonic clock. */
final class TargetGrants {

    private final GrantSettings settings;
    private long heldUntil = Long.MIN_VALUE;
    private long unconfirmedUntil;
    private int outstandingCalls;
    private long failingSince = Long.MAX_VALUE;
    private long retryAt = Long.MIN_VALUE;

    /**
     * Creates the grants of a target that this grantor has not called yet.
     *
     * @param unconfirmedUntil until when grants of an earlier grantor may be in force, of which this one knows nothing
     */
    TargetGrants(GrantSettings settings, long unconfirmedUntil) {
        this.settings = settings;
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
            case GrantResult.NotSent _ -> callFailed(sentAt, now);
            case GrantResult.Fenced _ -> failingSince = Long.MAX_VALUE;
        }
    }

    private void callFailed(long sentAt, long now) {
        failingSince = Math.min(failingSince, sentAt);
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

    /** Returns for how long all calls to the target have failed, in milliseconds. */
    long unresponsiveMillis(long now) {
        return failingSince == Long.MAX_VALUE ? 0 : now - failingSince;
    }
}
