package org.dragonflymux.load.run;

import java.time.Duration;
import java.util.EnumMap;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;

/** What a run measured; latencies count from when a request was due, in microseconds. */
public final class RunRecord {

    private static final long MAX_MICROS = Duration.ofMinutes(2).toNanos() / 1000;
    private static final int DIGITS = 3;

    /** The figures of one customer or one second. */
    public static final class Figures {

        private final Histogram latency = new Histogram(MAX_MICROS, DIGITS);
        private final Map<Result, Long> counts = new EnumMap<>(Result.class);

        private void add(Result result, Duration elapsed) {
            counts.merge(result, 1L, Long::sum);
            if (result == Result.SUCCEEDED) {
                latency.recordValue(Math.min(MAX_MICROS, elapsed.toNanos() / 1000));
            }
        }

        /** Returns a latency percentile of the requests that succeeded, in milliseconds. */
        public double millisAt(double percentile) {
            return latency.getValueAtPercentile(percentile) / 1000.0;
        }

        /** Returns how many requests ended so. */
        public long count(Result result) {
            return counts.getOrDefault(result, 0L);
        }

        /** Returns how many requests there were. */
        public long total() {
            return counts.values().stream().mapToLong(Long::longValue).sum();
        }
    }

    private final Figures all = new Figures();
    private final Map<String, Figures> byCustomer = new TreeMap<>();
    private final TreeMap<Long, Figures> bySecond = new TreeMap<>();

    /** Adds a request's end. */
    synchronized void add(String customer, Duration dueAt, Result result, Duration elapsed) {
        all.add(result, elapsed);
        byCustomer.computeIfAbsent(customer, _ -> new Figures()).add(result, elapsed);
        bySecond.computeIfAbsent(dueAt.toSeconds(), _ -> new Figures()).add(result, elapsed);
    }

    /** Returns the figures of all requests. */
    public Figures all() {
        return all;
    }

    /** Returns the figures by customer. */
    public Map<String, Figures> byCustomer() {
        return byCustomer;
    }

    /** Returns the figures by the second in which requests were due. */
    public Map<Long, Figures> bySecond() {
        return bySecond;
    }
}
