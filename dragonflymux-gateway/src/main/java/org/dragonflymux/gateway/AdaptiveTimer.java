package org.dragonflymux.gateway;

import io.netty.channel.EventLoop;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.LongConsumer;

/** A periodic action on an event loop that runs often while there is work for it, and rarely otherwise. */
final class AdaptiveTimer {

    private final EventLoop loop;
    private final BooleanSupplier busy;
    private final long busyMillis;
    private final long idleMillis;
    private final LongConsumer action;
    private ScheduledFuture<?> next;
    private boolean waitsLong;

    private AdaptiveTimer(EventLoop loop, BooleanSupplier busy, long busyMillis, long idleMillis, LongConsumer action) {
        this.loop = loop;
        this.busy = busy;
        this.busyMillis = busyMillis;
        this.idleMillis = idleMillis;
        this.action = action;
    }

    /**
     * Starts a timer.
     *
     * @param busy returns whether there is work for the action
     * @param busyMillis the interval while there is work
     * @param idleMillis the interval while there is none
     * @param action the action, which gets the interval that ended
     */
    static AdaptiveTimer start(
            EventLoop loop, BooleanSupplier busy, long busyMillis, long idleMillis, LongConsumer action) {
        AdaptiveTimer timer = new AdaptiveTimer(loop, busy, busyMillis, idleMillis, action);
        timer.schedule();
        return timer;
    }

    private void schedule() {
        waitsLong = !busy.getAsBoolean();
        long millis = waitsLong ? idleMillis : busyMillis;
        next = loop.schedule(() -> run(millis), millis, TimeUnit.MILLISECONDS);
    }

    private void run(long intervalMillis) {
        try {
            action.accept(intervalMillis);
        } finally {
            schedule();
        }
    }

    /** Switches to the short interval at once if there is work now. Must be called on the event loop. */
    void wake() {
        if (waitsLong && busy.getAsBoolean()) {
            next.cancel(false);
            schedule();
        }
    }
}
