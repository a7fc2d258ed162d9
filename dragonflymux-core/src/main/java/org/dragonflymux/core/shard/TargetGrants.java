package org.dragonflymux.core.shard;

/** What the grantor knows of the grants of one target. Times are milliseconds of the monotonic clock. */
final class TargetGrants {

    private final GrantSettings settings;
    private long holdsUntil;
    private long uncertainUntil = Long.MIN_VALUE;
    private int outstanding;
    private long failingSince = Long.MAX_VALUE;
    private long retryAt = Long.MIN_VALUE;

    TargetGrants(GrantSettings settings, long holdsUntil) {
        this.settings = settings;
        this.holdsUntil = holdsUntil;
    }

    void sent() {
        outstanding++;
    }

    void ended(GrantResult result, long sentAt, long now) {
        outstanding--;
        switch (result) {
            case GrantResult.Done _ -> {
                holdsUntil = Math.max(holdsUntil, now + settings.longestHold());
                failingSince = Long.MAX_VALUE;
            }
            case GrantResult.Unknown _ -> {
                uncertainUntil = Math.max(uncertainUntil, now + settings.longestHold());
                failed(sentAt, now);
            }
            case GrantResult.NotSent _ -> failed(sentAt, now);
            case GrantResult.Fenced _ -> failingSince = Long.MAX_VALUE;
        }
    }

    private void failed(long sentAt, long now) {
        failingSince = Math.min(failingSince, sentAt);
        retryAt = now + settings.renewEvery() / 6;
    }

    /** Returns until when the target may hold what was granted so far. */
    long holdsUntil() {
        return Math.max(holdsUntil, uncertainUntil);
    }

    /** Returns whether a grant without an answer may still act. */
    boolean uncertain(long now) {
        return now < uncertainUntil;
    }

    boolean busy() {
        return outstanding > 0;
    }

    /** Returns how many calls have no answer yet. */
    int outstanding() {
        return outstanding;
    }

    boolean mayTry(long now) {
        return now >= retryAt;
    }

    /** Returns for how long the target has answered nothing, in milliseconds. */
    long silentFor(long now) {
        return failingSince == Long.MAX_VALUE ? 0 : now - failingSince;
    }
}
