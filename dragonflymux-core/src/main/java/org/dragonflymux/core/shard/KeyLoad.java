package org.dragonflymux.core.shard;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.stream.LongStream;

/** The shard keys of recent requests on all hosts: a sample of the load by key. */
public final class KeyLoad {

    /** The load of the last second, by which a change is noticed. */
    private static final long WINDOW_MILLIS = 1_000;
    /** The windows of {@link #windows}, the shortest first. */
    private static final long[] WINDOWS_MILLIS = {400, WINDOW_MILLIS, 3_000, 8_000};

    private static final long LONGEST_WINDOW_MILLIS = 8_000;
    private static final int MAX_SAMPLES = 8_192;
    private static final double MILLIS_PER_SECOND = 1000;

    private final Deque<Sample> samples = new ArrayDeque<>();
    /** Since when all requests are among the samples. */
    private long completeSince = Long.MAX_VALUE;

    private record Sample(long timeMillis, int key) {}

    private KeyLoad() {}

    public static KeyLoad empty() {
        return new KeyLoad();
    }

    /** Adds a request for a key. */
    public void recordRequest(int key, long now) {
        completeSince = Math.min(completeSince, now);
        samples.addLast(new Sample(now, key));
        if (samples.size() > MAX_SAMPLES) {
            completeSince = samples.removeFirst().timeMillis;
        }
    }

    /** Returns the requests of the last second. */
    public Snapshot snapshot(long now) {
        return snapshot(WINDOW_MILLIS, WINDOW_MILLIS, now);
    }

    /** Returns the requests of several windows that end now, the shortest first. */
    public List<Snapshot> windows(long now) {
        return LongStream.of(WINDOWS_MILLIS)
                .mapToObj(millis -> snapshot(millis, WINDOWS_MILLIS[0], now))
                .toList();
    }

    private Snapshot snapshot(long windowMillis, long minMillis, long now) {
        while (!samples.isEmpty() && samples.peekFirst().timeMillis < now - LONGEST_WINDOW_MILLIS) {
            samples.removeFirst();
        }
        // Requests before the first one, or beyond the number of samples kept, are unknown, not absent.
        long knownMillis = Math.max(now - completeSince, minMillis);
        long coveredMillis = Math.min(windowMillis, knownMillis);
        int[] keys = samples.stream()
                .filter(sample -> sample.timeMillis > now - coveredMillis)
                .mapToInt(Sample::key)
                .sorted()
                .toArray();
        return new Snapshot(keys, MILLIS_PER_SECOND / coveredMillis);
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
            int low = 0;
            int high = sortedKeys.length;
            while (low < high) {
                int middle = (low + high) >>> 1;
                if (sortedKeys[middle] < key) {
                    low = middle + 1;
                } else {
                    high = middle;
                }
            }
            return low;
        }

        /** Returns the number of requests on a range of keys. */
        public int requestsIn(KeyRange range) {
            return indexOf(range.last() + 1) - indexOf(range.first());
        }

        /** Returns the load on a range of keys, in requests per second. */
        public double requestsPerSecond(KeyRange range) {
            return requestsIn(range) * sampleWeight;
        }
    }
}
