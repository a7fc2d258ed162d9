package org.dragonflymux.core.gateway;

import java.util.function.IntSupplier;

/** A host's part of how many requests for a service may be sent once more, so that retries never multiply overload. */
final class RetryAllowance {

    private static final double SAFE_SHARE = 0.75;

    private final double ratio;
    private final double extra;
    private final long windowMillis;
    private final IntSupplier hosts;
    private double saved;
    private long filledAt;

    RetryAllowance(GatewaySettings settings, IntSupplier hosts, long now) {
        this.ratio = settings.retryRatio() * SAFE_SHARE;
        this.extra = settings.extraRetries() * SAFE_SHARE;
        this.windowMillis = settings.retryWindowMillis();
        this.hosts = hosts;
        this.saved = part() / 2;
        this.filledAt = now;
    }

    /** Returns this host's part of the extra retries; half may be saved up and half flows in during a window. */
    private double part() {
        return extra / Math.max(1, hosts.getAsInt());
    }

    private void fill(long now) {
        saved = Math.min(limit(), saved + part() / 2 * (now - filledAt) / windowMillis);
        filledAt = now;
    }

    private double limit() {
        return Math.max(1, part() / 2);
    }

    void requestArrived() {
        saved = Math.min(limit() + ratio, saved + ratio);
    }

    boolean trySpend(long now) {
        fill(now);
        if (saved < 1) {
            return false;
        }
        saved--;
        return true;
    }
}
