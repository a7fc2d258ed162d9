package org.dragonflymux.core.shard;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ToDoubleFunction;
import org.dragonflymux.core.name.TargetId;

/**
 * The estimated load of each target. A long window has the smaller sampling error, a short one shows a change sooner. The load
 * of a key is taken from the longest window that no shorter one contradicts, neither for its block of adjacent keys nor for
 * all keys of its owner. Blocks show the change of a busy range also after it was divided among many owners.
 */
final class TargetLoads {

    /** The size of a block, in keys: about as many as become busy together. */
    private static final int BLOCK_KEYS = 256;
    /**
     * By how many standard deviations the counts of two windows must differ. Five plans a second test some hundred blocks and
     * targets, so a lower value takes chance for a change every few seconds.
     */
    private static final double CHANGE_DEVIATIONS = 4.5;

    private final List<KeyLoad.Snapshot> windows;
    private final int[] windowOfBlock = new int[KeyRange.ALL.size() / BLOCK_KEYS];
    private final Map<TargetId, Integer> windowOfTarget = new HashMap<>();
    private final Map<TargetId, Load> loads = new HashMap<>();

    /**
     * An estimated load.
     *
     * @param requestsPerSecond the load in requests per second
     * @param variance its variance by chance, in squared requests per second
     */
    record Load(double requestsPerSecond, double variance) {

        static final Load NONE = new Load(0, 0);

        Load plus(Load other) {
            return new Load(requestsPerSecond + other.requestsPerSecond, variance + other.variance);
        }

        Load minus(Load other) {
            return new Load(
                    Math.max(0, requestsPerSecond - other.requestsPerSecond), Math.max(0, variance - other.variance));
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
        for (int block = 0; block < windowOfBlock.length; block++) {
            KeyRange keys = block(block);
            windowOfBlock[block] = longestAgreeing(window -> window.requestsIn(keys));
        }
        owned.forEach((target, ranges) -> {
            windowOfTarget.put(
                    target,
                    longestAgreeing(window ->
                            ranges.stream().mapToInt(window::requestsIn).sum()));
            loads.put(target, ranges.stream().map(range -> of(target, range)).reduce(Load.NONE, Load::plus));
        });
    }

    private static KeyRange block(int index) {
        return new KeyRange(index * BLOCK_KEYS, (index + 1) * BLOCK_KEYS - 1);
    }

    private int longestAgreeing(ToDoubleFunction<KeyLoad.Snapshot> count) {
        double[] counts = windows.stream().mapToDouble(count).toArray();
        int chosen = 0;
        while (chosen + 1 < counts.length && agreesWithShorterWindows(counts, chosen + 1)) {
            chosen++;
        }
        return chosen;
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

    /** Returns the load of a target, including ranges that move to it. */
    Load of(TargetId target) {
        return loads.getOrDefault(target, Load.NONE);
    }

    double requestsPerSecond(TargetId target) {
        return of(target).requestsPerSecond();
    }

    /** Returns the load of a range that a target owns. */
    Load of(TargetId target, KeyRange range) {
        Load load = Load.NONE;
        int longest = windowOfTarget.getOrDefault(target, windows.size() - 1);
        for (int i = range.first() / BLOCK_KEYS; i <= range.last() / BLOCK_KEYS; i++) {
            KeyRange block = block(i);
            KeyRange part = new KeyRange(Math.max(block.first(), range.first()), Math.min(block.last(), range.last()));
            KeyLoad.Snapshot window = windows.get(Math.min(longest, windowOfBlock[i]));
            double requestsPerSecond = window.requestsPerSecond(part);
            load = load.plus(new Load(requestsPerSecond, requestsPerSecond * window.sampleWeight()));
        }
        return load;
    }

    /** Returns the window that shows a range of a target best: the shortest of those that its load is taken from. */
    KeyLoad.Snapshot window(TargetId target, KeyRange range) {
        int chosen = windowOfTarget.getOrDefault(target, windows.size() - 1);
        for (int i = range.first() / BLOCK_KEYS; i <= range.last() / BLOCK_KEYS; i++) {
            chosen = Math.min(chosen, windowOfBlock[i]);
        }
        return windows.get(chosen);
    }

    /** Returns the load of a range in the window in which it is highest. */
    double highest(KeyRange range) {
        return windows.stream()
                .mapToDouble(window -> window.requestsPerSecond(range))
                .max()
                .orElse(0);
    }

    double total() {
        return loads.values().stream().mapToDouble(Load::requestsPerSecond).sum();
    }

    /** Counts the load of a range at its next owner. */
    void move(KeyRange range, TargetId from, TargetId to) {
        Load moved = of(from, range);
        loads.put(from, of(from).minus(moved));
        loads.put(to, of(to).plus(moved));
    }
}
