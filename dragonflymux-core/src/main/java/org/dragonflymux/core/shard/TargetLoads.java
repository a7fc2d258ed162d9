package org.dragonflymux.core.shard;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.dragonflymux.core.name.TargetId;

/**
 * The estimated load of each target. A long window has the smaller sampling error, a short one shows a change sooner. Each
 * target's load is taken from the longest window that no shorter one contradicts.
 */
final class TargetLoads {

    /**
     * By how many standard deviations the counts of two windows must differ. Five plans a second test some hundred targets,
     * so a lower value takes chance for a change every few seconds.
     */
    private static final double CHANGE_DEVIATIONS = 4.5;

    private final List<KeyLoad.Snapshot> windows;
    private final Map<TargetId, Estimate> estimates = new HashMap<>();

    /** The load of a target in requests per second, its variance, and the window it was taken from. */
    private record Estimate(double requestsPerSecond, double variance, KeyLoad.Snapshot window) {

        Estimate plus(double more, double moreVariance) {
            return new Estimate(requestsPerSecond + more, Math.max(0, variance + moreVariance), window);
        }
    }

    /**
     * Creates the estimates.
     *
     * @param windows the load of windows that end now, the shortest first
     * @param owned the ranges of each target, including those that move to it
     */
    TargetLoads(List<KeyLoad.Snapshot> windows, Map<TargetId, List<KeyRange>> owned) {
        this.windows = windows;
        owned.forEach((target, ranges) -> estimates.put(target, estimate(ranges)));
    }

    private Estimate estimate(List<KeyRange> ranges) {
        double[] counts = new double[windows.size()];
        for (int i = 0; i < counts.length; i++) {
            KeyLoad.Snapshot window = windows.get(i);
            counts[i] = ranges.stream().mapToInt(window::requestsIn).sum();
        }
        int chosen = 0;
        while (chosen + 1 < counts.length && agreesWithShorterWindows(counts, chosen + 1)) {
            chosen++;
        }
        KeyLoad.Snapshot window = windows.get(chosen);
        double load = counts[chosen] * window.sampleWeight();
        return new Estimate(load, load * window.sampleWeight(), window);
    }

    private boolean agreesWithShorterWindows(double[] counts, int longer) {
        for (int shorter = 0; shorter < longer; shorter++) {
            double expected = counts[longer]
                    * windows.get(longer).sampleWeight()
                    / windows.get(shorter).sampleWeight();
            // One request is added because few expected requests have a skewed distribution.
            if (Math.abs(counts[shorter] - expected) > CHANGE_DEVIATIONS * Math.sqrt(expected + 1)) {
                return false;
            }
        }
        return true;
    }

    private Estimate of(TargetId target) {
        return estimates.getOrDefault(target, new Estimate(0, 0, windows.getLast()));
    }

    double requestsPerSecond(TargetId target) {
        return of(target).requestsPerSecond();
    }

    /** Returns the variance of the load of a target, in squared requests per second. */
    double variance(TargetId target) {
        return of(target).variance();
    }

    /** Returns the window that the load of a target is taken from. */
    KeyLoad.Snapshot window(TargetId target) {
        return of(target).window();
    }

    double total() {
        return estimates.values().stream()
                .mapToDouble(Estimate::requestsPerSecond)
                .sum();
    }

    /** Counts the load of a range at its next owner. */
    void move(KeyRange range, TargetId from, TargetId to) {
        KeyLoad.Snapshot window = window(from);
        double load = window.requestsPerSecond(range);
        double variance = load * window.sampleWeight();
        estimates.put(from, of(from).plus(-load, -variance));
        estimates.put(to, of(to).plus(load, variance));
    }
}
