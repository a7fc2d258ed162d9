package org.dragonflymux.core.gateway;

import java.util.function.IntSupplier;

/** A host's share of the retry budget of a service. The budget keeps retries from amplifying an overload. */
final class RetryBudget {

    private static final double SAFETY_FACTOR = 0.75;

    private final double ratio;
    private final double extraRetries;
    private final long windowMillis;
    private final IntSupplier hostCount;
    private double tokens;
    private long refilledAt;

    RetryBudget(GatewaySettings settings, IntSupplier hostCount, long now) {
        this.ratio = settings.retryRatio() * SAFETY_FACTOR;
        this.extraRetries = settings.extraRetries() * SAFETY_FACTOR;
        this.windowMillis = settings.retryWindowMillis();
        this.hostCount = hostCount;
        this.tokens = hostShare() / 2;
        this.refilledAt = now;
    }

    /** Returns this host's share of the extra retries. Half of it is the capacity, half is refilled during a window. */
    private double hostShare() {
        return extraRetries / Math.max(1, hostCount.getAsInt());
    }

    private void refill(long now) {
        tokens = Math.min(capacity(), tokens + hostShare() / 2 * (now - refilledAt) / windowMillis);
        refilledAt = now;
    }

    private double capacity() {
        return Math.max(1, hostShare() / 2);
    }

    void recordRequest() {
        tokens = Math.min(capacity() + ratio, tokens + ratio);
    }

    boolean trySpend(long now) {
        refill(now);
        if (tokens < 1) {
            return false;
        }
        tokens--;
        return true;
    }
}
