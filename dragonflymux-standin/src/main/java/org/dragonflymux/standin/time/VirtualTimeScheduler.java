package org.dragonflymux.standin.time;

import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.PriorityQueue;

/** Virtual time: what is to happen when, run in order, the same on every run. */
public final class VirtualTimeScheduler {

    private record Entry(Instant at, long sequence, Runnable action) {}

    private final PriorityQueue<Entry> entries =
            new PriorityQueue<>(Comparator.comparing(Entry::at).thenComparingLong(Entry::sequence));
    private Instant now;
    private long sequence;

    private VirtualTimeScheduler(Instant now) {
        this.now = now;
    }

    /** Returns a timeline on which nothing is to happen yet. */
    public static VirtualTimeScheduler startingAt(Instant start) {
        return new VirtualTimeScheduler(start);
    }

    /** Returns the present instant. */
    public Instant now() {
        return now;
    }

    /** Lets something happen after a delay. */
    public void schedule(Duration delay, Runnable action) {
        entries.add(new Entry(now.plus(delay), sequence++, action));
    }

    /** Lets time pass. */
    public void advance(Duration duration) {
        Instant end = now.plus(duration);
        while (!entries.isEmpty() && !entries.peek().at().isAfter(end)) {
            Entry next = entries.poll();
            now = next.at();
            next.action().run();
        }
        now = end;
    }
}
