package org.dragonflymux.gateway.http;

import io.netty.channel.DefaultSelectStrategyFactory;
import io.netty.channel.EventLoop;
import io.netty.channel.SelectStrategy;
import io.netty.channel.SelectStrategyFactory;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;

/**
 * How long ago an event loop last asked its connections for news. What happened on them since isn't known yet: on a busy
 * host a caller may have left long before the loop comes to what it sent.
 */
public final class PollAge implements SelectStrategyFactory {

    private static final long MAX_FRESH_MILLIS = 200;
    /** Timers that fall due during a pass of the loop run in a later one. */
    private static final long LATER_PASS_MILLIS = 1;

    private final LongSupplier clock;
    private volatile long polledAt;

    private PollAge(LongSupplier clock) {
        this.clock = clock;
        this.polledAt = clock.getAsLong();
    }

    /**
     * Returns the age of a loop's news.
     *
     * @param clock tells milliseconds of the monotonic clock
     */
    public static PollAge by(LongSupplier clock) {
        return new PollAge(clock);
    }

    /** Returns an age that is always zero, for calls that nobody takes back. */
    public static PollAge ofNoMatter() {
        return new PollAge(() -> 0);
    }

    /** Takes in that the loop asks its connections for news now. */
    public void polled() {
        polledAt = clock.getAsLong();
    }

    /** Returns whether the news is young enough to act on it. */
    public boolean fresh() {
        return clock.getAsLong() - polledAt <= MAX_FRESH_MILLIS;
    }

    /**
     * Runs an action once the news is fresh.
     *
     * @param cancelled tells whether the action isn't wanted any more
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

    /** Runs an action after the loop has asked for news once more, and once the news is fresh. */
    public void afterNextPoll(EventLoop loop, BooleanSupplier cancelled, Runnable action) {
        loop.schedule(() -> whenFresh(loop, cancelled, action), LATER_PASS_MILLIS, TimeUnit.MILLISECONDS);
    }

    @Override
    public SelectStrategy newSelectStrategy() {
        SelectStrategy usual = DefaultSelectStrategyFactory.INSTANCE.newSelectStrategy();
        return (poll, hasTasks) -> {
            polled();
            return usual.calculateStrategy(poll, hasTasks);
        };
    }
}
