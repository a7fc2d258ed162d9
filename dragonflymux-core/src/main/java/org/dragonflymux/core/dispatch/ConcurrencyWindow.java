package org.dragonflymux.core.dispatch;

import java.time.Duration;

/**
 * Limits the number of concurrent requests to a target: one after a cold start, then more as it answers at its usual
 * speed.
 *
 * <p>The window of a target that becomes slow without reporting it is halved after each run of slow answers, and grows
 * again with fast ones. Only the dispatcher's own measurements are used, because reports arrive late.
 */
public final class ConcurrencyWindow {

    private static final double GROWTH_PER_ANSWER = 0.125;
    private static final double SLOW_FACTOR = 4.0;
    private static final int SLOW_ANSWERS_UNTIL_SHRINK = 4;
    private static final double MEAN_WEIGHT = 0.1;
    private static final double BASELINE_WEIGHT = 0.02;

    private final int slots;
    private double window = 1;
    private int slowInRow;
    private double meanMillis;
    private double baselineMillis;

    private ConcurrencyWindow(int slots) {
        this.slots = slots;
    }

    /**
     * Returns the window of a cold target.
     *
     * @param slots the number of requests that the target runs concurrently when warm
     */
    public static ConcurrencyWindow cold(int slots) {
        return new ConcurrencyWindow(slots);
    }

    /** Returns the number of requests that may run concurrently now. */
    public int size() {
        return (int) window;
    }

    /** Returns the moving average of the answer time, or zero if there was no answer yet. */
    public Duration meanTime() {
        return Duration.ofNanos((long) (meanMillis * 1e6));
    }

    /** Returns whether the target is much slower than usual. */
    public boolean straggling() {
        return slowInRow >= SLOW_ANSWERS_UNTIL_SHRINK;
    }

    /** Records the time that an answer took. */
    public void recordAnswer(Duration elapsed) {
        double millis = elapsed.toNanos() / 1e6;
        boolean slow = baselineMillis > 0 && millis > SLOW_FACTOR * baselineMillis;
        // Bounds the effect of a single answer that was delayed by seconds; a run of slow answers still raises the mean
        // soon.
        double bounded = meanMillis == 0 ? millis : Math.min(millis, SLOW_FACTOR * meanMillis);
        meanMillis = meanMillis == 0 ? millis : meanMillis + MEAN_WEIGHT * (bounded - meanMillis);
        baselineMillis = baselineMillis == 0 ? millis : baselineMillis + BASELINE_WEIGHT * (millis - baselineMillis);
        if (!slow) {
            slowInRow = 0;
            window = Math.min(slots, window + GROWTH_PER_ANSWER);
            return;
        }
        slowInRow++;
        if (slowInRow % SLOW_ANSWERS_UNTIL_SHRINK == 0) {
            shrink();
        }
    }

    /** Halves the window, after the target shed a request or did not answer in time. */
    public void shrink() {
        window = Math.max(1, window / 2);
    }

    /** Starts again with one request, after the target was restarted. */
    public void reset() {
        window = 1;
        slowInRow = 0;
    }
}
