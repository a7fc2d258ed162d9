package org.dragonflymux.core.ingress;

/**
 * Limits how many requests the system sends again to a small share of all requests, so that retries never multiply an
 * overload.
 */
final class RetryBudget {

    private static final double EARNED_PER_REQUEST = 0.1;
    private static final double MAX_SAVED = 20;

    private double saved = MAX_SAVED;

    private RetryBudget() {}

    static RetryBudget full() {
        return new RetryBudget();
    }

    void requestArrived() {
        saved = Math.min(MAX_SAVED, saved + EARNED_PER_REQUEST);
    }

    boolean trySpend() {
        if (saved < 1) {
            return false;
        }
        saved--;
        return true;
    }
}
