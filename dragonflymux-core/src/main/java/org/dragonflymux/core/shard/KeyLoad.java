package org.dragonflymux.core.shard;

import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Deque;

/** The shard keys of recent requests, over all hosts, as a sample of where load lies. */
public final class KeyLoad {

    private static final long WINDOW_MILLIS = 1_500;
    private static final int MAX_SAMPLES = 8_192;
    private static final double MILLIS_PER_SECOND = 1000;

    private final Deque<Sample> samples = new ArrayDeque<>();

    private record Sample(long at, int key) {}

    private KeyLoad() {}

    /** Returns a sample without requests. */
    public static KeyLoad empty() {
        return new KeyLoad();
    }

    /** Takes in that a request for a key came. */
    public void requested(int key, long now) {
        samples.addLast(new Sample(now, key));
        if (samples.size() > MAX_SAMPLES) {
            samples.removeFirst();
        }
    }

    /** Returns the sample as it is now. */
    public Snapshot snapshot(long now) {
        while (!samples.isEmpty() && samples.peekFirst().at < now - WINDOW_MILLIS) {
            samples.removeFirst();
        }
        int[] keys = samples.stream().mapToInt(Sample::key).sorted().toArray();
        return new Snapshot(keys, MILLIS_PER_SECOND / WINDOW_MILLIS);
    }

    /**
     * Keys of requests at one moment.
     *
     * @param sortedKeys a key for each request, in order
     * @param perSecond what one request in the sample stands for, in requests a second
     */
    public record Snapshot(int[] sortedKeys, double perSecond) {

        /** Returns the index of the first request whose key isn't below the given one. */
        public int indexOf(int key) {
            int found = Arrays.binarySearch(sortedKeys, key);
            if (found < 0) {
                return -found - 1;
            }
            while (found > 0 && sortedKeys[found - 1] == key) {
                found--;
            }
            return found;
        }

        /** Returns the requests a second for a range's keys. */
        public double perSecond(KeyRange range) {
            return (indexOf(range.last() + 1) - indexOf(range.first())) * perSecond;
        }
    }
}
