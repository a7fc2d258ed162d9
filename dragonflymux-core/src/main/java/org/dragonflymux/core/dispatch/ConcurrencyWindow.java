package org.dragonflymux.core.dispatch;

import java.time.Duration;

/**
 * How many requests a target is given at once: one after a cold start, then more as it answers at its usual pace.
 *
 * <p>A target that turns slow without saying so is treated the same way: its window shrinks by half after each run of slow
 * answers and grows again with quick ones. Only own measurements count, because reports are late.
 */
public final class ConcurrencyWindow {

    private static final double GROWTH_PER_ANSWER = 0.125;
    private static final double SLOW_FACTOR = 4.0;
    private static final int SLOW_ANSWERS_UNTIL_SHRINK = 4;
    private static final double MEAN_WEIGHT = 0.1;
    private static final double USUAL_WEIGHT = 0.02;

    private final int slots;
    private double window = 1;
    private int slowInRow;
    private double meanMillis;
    private double usualMillis;

    private ConcurrencyWindow(int slots) {
        this.slots = slots;
    }

    /**
     * Returns the window of a cold target.
     *
     * @param slots how many requests the target runs at once when warm
     */
    public static ConcurrencyWindow cold(int slots) {
        return new ConcurrencyWindow(slots);
    }

    /** Returns how many requests may run at once now. */
    public int size() {
        return (int) window;
    }

    /** Returns the mean time of an answer, or zero when there was none. */
    public Duration meanTime() {
        return Duration.ofNanos((long) (meanMillis * 1e6));
    }

    /** Tells whether the target is much slower than it usually is. */
    public boolean straggling() {
        return slowInRow >= SLOW_ANSWERS_UNTIL_SHRINK;
    }

    /** Takes in the time of an answer. */
    public void answered(Duration elapsed) {
        double millis = elapsed.toNanos() / 1e6;
        boolean slow = usualMillis > 0 && millis > SLOW_FACTOR * usualMillis;
        // One answer that was held up for seconds says little about the next; a run of slow ones soon shows.
        double bounded = meanMillis == 0 ? millis : Math.min(millis, SLOW_FACTOR * meanMillis);
        meanMillis = meanMillis == 0 ? millis : meanMillis + MEAN_WEIGHT * (bounded - meanMillis);
        usualMillis = usualMillis == 0 ? millis : usualMillis + USUAL_WEIGHT * (millis - usualMillis);
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

    /** Takes in that the target shed a request or did not answer in time. */
    public void shrink() {
        window = Math.max(1, window / 2);
    }

    /** Takes in that the target was restarted. */
    public void restart() {
        window = 1;
        slowInRow = 0;
    }
}
