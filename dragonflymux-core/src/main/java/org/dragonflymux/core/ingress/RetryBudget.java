package org.dragonflymux.core.ingress;

/**
 * Limits retries to a small fraction of all requests, so that retries do not amplify an overload.
 */
final class RetryBudget {

    private static final double TOKENS_PER_REQUEST = 0.1;
    private static final double MAX_TOKENS = 20;

    private double tokens = MAX_TOKENS;

    private RetryBudget() {}

    static RetryBudget full() {
        return new RetryBudget();
    }

    void recordRequest() {
        tokens = Math.min(MAX_TOKENS, tokens + TOKENS_PER_REQUEST);
    }

    boolean trySpend() {
        if (tokens < 1) {
            return false;
        }
        tokens--;
        return true;
    }
}
