package org.dragonflymux.gateway.control.simulation;

import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.function.BooleanSupplier;

/** Time in milliseconds that passes only as its timers run. Timers that are due together run in the order of their setting. */
final class VirtualTime {

    private final PriorityQueue<Timer> timers =
            new PriorityQueue<>(Comparator.comparingLong(Timer::at).thenComparingLong(Timer::number));
    private long now;
    private long lastNumber;

    private record Timer(long at, long number, Runnable action) {}

    long now() {
        return now;
    }

    void after(long millis, Runnable action) {
        timers.add(new Timer(now + Math.max(0, millis), ++lastNumber, action));
    }

    /** Runs an action repeatedly until it returns false. */
    void every(long millis, BooleanSupplier action) {
        after(millis, () -> {
            if (action.getAsBoolean()) {
                every(millis, action);
            }
        });
    }

    void runUntil(long end) {
        while (!timers.isEmpty() && timers.peek().at() <= end) {
            Timer next = timers.poll();
            now = next.at();
            next.action().run();
        }
        now = end;
    }
}
