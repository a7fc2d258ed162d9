package org.dragonflymux.gateway;

import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;

/** Runs an action once for all requests to run it within a certain time. Must be used on its event loop. */
final class CoalescingTrigger {

    private final EventLoop loop;
    private final long delayMillis;
    private final Runnable action;
    private boolean pending;

    private CoalescingTrigger(EventLoop loop, long delayMillis, Runnable action) {
        this.loop = loop;
        this.delayMillis = delayMillis;
        this.action = action;
    }

    /**
     * Creates a trigger.
     *
     * @param delayMillis the time from the first request to the run
     */
    static CoalescingTrigger of(EventLoop loop, long delayMillis, Runnable action) {
        return new CoalescingTrigger(loop, delayMillis, action);
    }

    /** Requests a run, which serves all requests until then. */
    void request() {
        if (!pending) {
            pending = true;
            loop.schedule(this::runIfPending, delayMillis, TimeUnit.MILLISECONDS);
        }
    }

    /** Runs the action at once, for the pending requests as well. */
    void runNow() {
        pending = false;
        action.run();
    }

    private void runIfPending() {
        if (pending) {
            runNow();
        }
    }
}
