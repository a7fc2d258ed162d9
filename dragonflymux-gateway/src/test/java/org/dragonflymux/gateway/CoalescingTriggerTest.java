package org.dragonflymux.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.embedded.EmbeddedChannel;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against work that grows with the fleet for each change of any target, as during a release of many targets. */
class CoalescingTriggerTest {

    private static final long DELAY_MILLIS = 200;
    private static final long INTERVAL_MILLIS = 10;

    private final EmbeddedChannel channel = new EmbeddedChannel();
    private final AtomicInteger runs = new AtomicInteger();
    private final CoalescingTrigger trigger =
            CoalescingTrigger.of(channel.eventLoop(), DELAY_MILLIS, runs::incrementAndGet);

    @BeforeEach
    void freezeTime() {
        channel.freezeTime();
    }

    private void advance(long millis) {
        channel.advanceTimeBy(millis, TimeUnit.MILLISECONDS);
        channel.runScheduledPendingTasks();
    }

    @Test
    void runs_once_for_the_requests_of_a_delay() {
        for (int i = 0; i < 100; i++) {
            trigger.request();
            advance(INTERVAL_MILLIS);
        }

        assertThat(runs.get()).isBetween(4, 5);
    }

    @Test
    void runs_no_later_than_the_delay_after_the_first_request() {
        trigger.request();
        advance(DELAY_MILLIS - 1);
        assertThat(runs).hasValue(0);
        advance(1);

        assertThat(runs).hasValue(1);
    }

    @Test
    void serves_pending_requests_when_it_runs_at_once() {
        trigger.request();
        trigger.runNow();
        advance(2 * DELAY_MILLIS);

        assertThat(runs).hasValue(1);
    }
}
