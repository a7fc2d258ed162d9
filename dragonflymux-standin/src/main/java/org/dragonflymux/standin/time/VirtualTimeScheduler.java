package org.dragonflymux.standin.time;

import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * Runs scheduled actions in virtual time, in a deterministic order: by due time, and actions that are due at the same
 * time in the order in which they were scheduled.
 *
 * <p>This class is not thread-safe.
 */
public final class VirtualTimeScheduler {

    private record ScheduledAction(Instant dueAt, long sequence, Runnable action) {}

    private final PriorityQueue<ScheduledAction> queue = new PriorityQueue<>(
            Comparator.comparing(ScheduledAction::dueAt).thenComparingLong(ScheduledAction::sequence));
    private Instant now;
    private long sequence;

    private VirtualTimeScheduler(Instant now) {
        this.now = now;
    }

    /** Returns a scheduler without actions. */
    public static VirtualTimeScheduler startingAt(Instant start) {
        return new VirtualTimeScheduler(start);
    }

    /** Returns the current virtual time. */
    public Instant now() {
        return now;
    }

    /** Schedules an action to run after a delay. */
    public void schedule(Duration delay, Runnable action) {
        queue.add(new ScheduledAction(now.plus(delay), sequence++, action));
    }

    /** Advances the virtual time and runs all actions that fall due, including those that they schedule. */
    public void advance(Duration duration) {
        Instant end = now.plus(duration);
        while (!queue.isEmpty() && !queue.peek().dueAt().isAfter(end)) {
            ScheduledAction next = queue.poll();
            now = next.dueAt();
            next.action().run();
        }
        now = end;
    }
}
