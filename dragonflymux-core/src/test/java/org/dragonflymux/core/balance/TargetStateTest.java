package org.dragonflymux.core.balance;

import static org.assertj.core.api.Assertions.assertThat;

import org.dragonflymux.core.name.FailureDomain;
import org.dragonflymux.core.name.ServiceName;
import org.dragonflymux.core.name.TargetId;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class TargetStateTest {

    private static final int SLOTS = 3;
    private static final int SLOWED_PERCENT = 300;

    private final TargetState target = TargetState.of(
            new TargetEntry(
                    TargetId.of("t"), ServiceName.of("s"), "127.0.0.1:1", FailureDomain.of("a"), SLOTS, false, 0, 1),
            0);

    private void answers(int count, double millis, long now) {
        for (int i = 0; i < count; i++) {
            target.succeeded(millis, 1, now);
        }
    }

    @Nested
    class NoisyNeighbour {

        @Test
        void what_it_slows_does_not_make_the_target_itself_slow() {
            answers(50, 60, 0);
            target.reported(SLOWED_PERCENT, 1_000);
            answers(5, 180, 1_000);

            assertThat(target.millisFor(SLOTS, 0, 60_000)).isBetween(59.0, 61.0);
        }

        @Test
        void it_counts_for_the_work_of_this_moment() {
            answers(50, 60, 0);
            target.reported(SLOWED_PERCENT, 1_000);

            assertThat(target.millisFor(1, 0, 1_000)).isBetween(59.0, 61.0);
            assertThat(target.millisFor(1, 0, 60_000)).isBetween(19.0, 21.0);
        }

        /** A whole queue was counted as slowed; 1,006 requests of a calm day were refused at their keys' owners. */
        @Test
        void it_does_not_last_as_long_as_a_queue() {
            answers(50, 60, 0);
            target.reported(SLOWED_PERCENT, 1_000);

            assertThat(target.millisFor(9, 0, 1_000)).isLessThan(9 * 60.0 * 3 / SLOTS * 0.6);
        }
    }

    @Test
    void one_heavy_request_sways_plans_less_than_choices() {
        answers(50, 60, 0);
        answers(1, 600, 0);

        assertThat(target.longTermServiceMillis(0) - 60).isLessThan((target.serviceMillis(0) - 60) / 2);
    }
}
