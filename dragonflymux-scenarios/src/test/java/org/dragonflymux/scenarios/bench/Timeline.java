package org.dragonflymux.scenarios.bench;

import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.PriorityQueue;

/** Virtual time: what is to happen when, run in order, the same on every run. */
final class Timeline {

    private record Entry(Instant at, long sequence, Runnable action) {}

    private final PriorityQueue<Entry> entries =
            new PriorityQueue<>(Comparator.comparing(Entry::at).thenComparingLong(Entry::sequence));
    private Instant now = Instant.parse("2026-01-01T00:00:00Z");
    private long sequence;

    Instant now() {
        return now;
    }

    void after(Duration delay, Runnable action) {
        entries.add(new Entry(now.plus(delay), sequence++, action));
    }

    void advance(Duration duration) {
        Instant end = now.plus(duration);
        while (!entries.isEmpty() && !entries.peek().at().isAfter(end)) {
            Entry next = entries.poll();
            now = next.at();
            next.action().run();
        }
        now = end;
    }
}
