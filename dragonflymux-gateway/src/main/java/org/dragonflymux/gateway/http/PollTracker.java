package org.dragonflymux.gateway.http;

import io.netty.channel.DefaultSelectStrategyFactory;
import io.netty.channel.EventLoop;
import io.netty.channel.SelectStrategy;
import io.netty.channel.SelectStrategyFactory;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;

/**
 * Tracks when an event loop last polled its connections for I/O events. Later events are not known yet: on a busy host, a
 * caller may have disconnected long before the loop handles what it sent.
 */
public final class PollTracker implements SelectStrategyFactory {

    private static final long MAX_POLL_AGE_MILLIS = 200;
    /** Delay that moves a task to a later iteration: a timer never runs in the iteration in which it becomes due. */
    private static final long NEXT_ITERATION_MILLIS = 1;

    private final LongSupplier clock;
    private volatile long polledAt;

    private PollTracker(LongSupplier clock) {
        this.clock = clock;
        this.polledAt = clock.getAsLong();
    }

    /**
     * Creates a tracker for one event loop.
     *
     * @param clock supplies the time, in milliseconds of the monotonic clock
     */
    public static PollTracker of(LongSupplier clock) {
        return new PollTracker(clock);
    }

    /** Creates a tracker that always counts as fresh, for calls that are never cancelled. */
    public static PollTracker alwaysFresh() {
        return new PollTracker(() -> 0);
    }

    /** Records that the event loop polls its connections now. */
    public void recordPoll() {
        polledAt = clock.getAsLong();
    }

    /** Returns whether the last poll is recent enough to act on its results. */
    public boolean fresh() {
        return clock.getAsLong() - polledAt <= MAX_POLL_AGE_MILLIS;
    }

    /**
     * Runs an action as soon as the last poll is recent enough.
     *
     * @param cancelled returns whether the action is no longer needed
     */
    public void whenFresh(EventLoop loop, BooleanSupplier cancelled, Runnable action) {
        if (cancelled.getAsBoolean()) {
            return;
        }
        if (fresh()) {
            action.run();
        } else {
            afterNextPoll(loop, cancelled, action);
        }
    }

    /** Runs an action after the event loop has polled at least once more, as soon as the last poll is recent enough. */
    public void afterNextPoll(EventLoop loop, BooleanSupplier cancelled, Runnable action) {
        loop.schedule(() -> whenFresh(loop, cancelled, action), NEXT_ITERATION_MILLIS, TimeUnit.MILLISECONDS);
    }

    @Override
    public SelectStrategy newSelectStrategy() {
        SelectStrategy delegate = DefaultSelectStrategyFactory.INSTANCE.newSelectStrategy();
        return (poll, hasTasks) -> {
            recordPoll();
            return delegate.calculateStrategy(poll, hasTasks);
        };
    }
}
