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

    private void recordAnswers(int count, double millis, long now) {
        for (int i = 0; i < count; i++) {
            target.succeeded(millis, 1, now);
        }
    }

    @Nested
    class NoisyNeighbour {

        @Test
        void does_not_change_the_base_service_time() {
            recordAnswers(50, 60, 0);
            target.slowdownReported(SLOWED_PERCENT, 1_000);
            recordAnswers(5, 180, 1_000);

            assertThat(target.estimatedMillisFor(SLOTS, 0, 60_000)).isBetween(59.0, 61.0);
        }

        @Test
        void affects_the_estimate_for_current_work_only() {
            recordAnswers(50, 60, 0);
            target.slowdownReported(SLOWED_PERCENT, 1_000);

            assertThat(target.estimatedMillisFor(1, 0, 1_000)).isBetween(59.0, 61.0);
            assertThat(target.estimatedMillisFor(1, 0, 60_000)).isBetween(19.0, 21.0);
        }

        /**
         * Guards against applying the current slowdown to a whole queue. Under normal conditions this made hosts refuse 1,006
         * requests for the owners of their keys.
         */
        @Test
        void affects_only_the_first_part_of_a_long_queue() {
            recordAnswers(50, 60, 0);
            target.slowdownReported(SLOWED_PERCENT, 1_000);

            assertThat(target.estimatedMillisFor(9, 0, 1_000)).isLessThan(9 * 60.0 * 3 / SLOTS * 0.6);
        }
    }

    @Test
    void one_expensive_request_changes_the_long_term_estimate_less_than_the_recent_one() {
        recordAnswers(50, 60, 0);
        recordAnswers(1, 600, 0);

        assertThat(target.longTermServiceMillis(0) - 60).isLessThan((target.serviceMillis(0) - 60) / 2);
    }
}
