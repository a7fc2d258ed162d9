package org.dragonflymux.load.run;

import java.time.Duration;
import java.util.EnumMap;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;

/** The measurements of a run. Latencies are measured from a request's scheduled send time, in microseconds. */
public final class RunRecord {

    private static final long MAX_LATENCY_MICROS = Duration.ofMinutes(2).toNanos() / 1000;
    private static final int SIGNIFICANT_DIGITS = 3;

    /** The statistics of a group of requests, for example of one customer or of one second. */
    public static final class Statistics {

        private final Histogram latency = new Histogram(MAX_LATENCY_MICROS, SIGNIFICANT_DIGITS);
        private final Map<Result, Long> counts = new EnumMap<>(Result.class);

        private void add(Result result, Duration elapsed) {
            counts.merge(result, 1L, Long::sum);
            if (result == Result.SUCCEEDED) {
                latency.recordValue(Math.min(MAX_LATENCY_MICROS, elapsed.toNanos() / 1000));
            }
        }

        /** Returns a latency percentile of the successful requests, in milliseconds. */
        public double latencyMillis(double percentile) {
            return latency.getValueAtPercentile(percentile) / 1000.0;
        }

        /** Returns the number of requests with the given result. */
        public long count(Result result) {
            return counts.getOrDefault(result, 0L);
        }

        /** Returns the total number of requests. */
        public long total() {
            return counts.values().stream().mapToLong(Long::longValue).sum();
        }
    }

    private final Statistics all = new Statistics();
    private final Map<String, Statistics> byCustomer = new TreeMap<>();
    private final TreeMap<Long, Statistics> bySecond = new TreeMap<>();

    /** Records the result of a request. */
    synchronized void add(String customer, Duration scheduledAt, Result result, Duration elapsed) {
        all.add(result, elapsed);
        byCustomer.computeIfAbsent(customer, _ -> new Statistics()).add(result, elapsed);
        bySecond.computeIfAbsent(scheduledAt.toSeconds(), _ -> new Statistics()).add(result, elapsed);
    }

    /** Returns the statistics of all requests. */
    public Statistics all() {
        return all;
    }

    /** Returns the statistics by customer. */
    public Map<String, Statistics> byCustomer() {
        return byCustomer;
    }

    /** Returns the statistics by the second of the run for which requests were scheduled. */
    public Map<Long, Statistics> bySecond() {
        return bySecond;
    }
}
