package org.dragonflymux.core.shard;

import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Deque;

/** The shard keys of recent requests on all hosts: a sample of the load by key. */
public final class KeyLoad {

    private static final long WINDOW_MILLIS = 1_500;
    private static final int MAX_SAMPLES = 8_192;
    private static final double MILLIS_PER_SECOND = 1000;

    private final Deque<Sample> samples = new ArrayDeque<>();

    private record Sample(long timeMillis, int key) {}

    private KeyLoad() {}

    public static KeyLoad empty() {
        return new KeyLoad();
    }

    /** Adds a request for a key. */
    public void recordRequest(int key, long now) {
        samples.addLast(new Sample(now, key));
        if (samples.size() > MAX_SAMPLES) {
            samples.removeFirst();
        }
    }

    /** Returns the requests of the sampling window that ends now. */
    public Snapshot snapshot(long now) {
        while (!samples.isEmpty() && samples.peekFirst().timeMillis < now - WINDOW_MILLIS) {
            samples.removeFirst();
        }
        int[] keys = samples.stream().mapToInt(Sample::key).sorted().toArray();
        return new Snapshot(keys, MILLIS_PER_SECOND / WINDOW_MILLIS);
    }

    /**
     * The keys of the requests in one sampling window.
     *
     * @param sortedKeys the key of each request, in ascending order
     * @param sampleWeight the load that one sampled request represents, in requests per second
     */
    public record Snapshot(int[] sortedKeys, double sampleWeight) {

        /** Returns the index of the first request whose key is not below the given key. */
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

        /** Returns the load on a range of keys, in requests per second. */
        public double requestsPerSecond(KeyRange range) {
            return (indexOf(range.last() + 1) - indexOf(range.first())) * sampleWeight;
        }
    }
}
