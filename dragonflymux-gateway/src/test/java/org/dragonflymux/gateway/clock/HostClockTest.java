package org.dragonflymux.gateway.clock;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.condition.EnabledOnOs;
import org.junit.jupiter.api.condition.OS;

class HostClockTest {

    private static final long SUSPENSION_MILLIS = 3_500;
    private static final long STEP_MILLIS = 2_000;

    private long monotonicMillis = 5_000;
    private long elapsedMillis = 1_700_000_000_000L;

    private void advance(long millis) {
        monotonicMillis += millis;
        elapsedMillis += millis;
    }

    private long monotonicNanos() {
        return monotonicMillis * 1_000_000;
    }

    @Nested
    class WithBootTime {

        private final HostClock clock = HostClock.withBootTime(() -> monotonicNanos(), () -> elapsedMillis);
        private final LeaseClock leases = clock.leaseClock();
        private final HoldClock holds = clock.holdClock();

        @Test
        void both_clocks_count_suspensions() {
            long leasesBefore = leases.nowMillis();
            long holdsBefore = holds.nowMillis();
            elapsedMillis += SUSPENSION_MILLIS;
            advance(10);

            assertThat(leases.nowMillis() - leasesBefore).isEqualTo(SUSPENSION_MILLIS + 10);
            assertThat(holds.nowMillis() - holdsBefore).isEqualTo(SUSPENSION_MILLIS + 10);
        }

        @Test
        void differences_between_readings_do_not_count() {
            long before = leases.nowMillis();
            for (int i = 0; i < 100; i++) {
                elapsedMillis += i % 2 == 0 ? 5 : -5;
                advance(1);
                leases.nowMillis();
            }

            assertThat(leases.nowMillis() - before).isEqualTo(100);
        }
    }

    @Nested
    class WithTimeOfDay {

        private final HostClock clock = HostClock.withTimeOfDay(() -> monotonicNanos(), () -> elapsedMillis);
        private final LeaseClock leases = clock.leaseClock();
        private final HoldClock holds = clock.holdClock();

        @Test
        void the_clock_of_leases_never_runs_behind() {
            long before = leases.nowMillis();
            elapsedMillis += SUSPENSION_MILLIS;
            advance(10);

            assertThat(leases.nowMillis() - before).isEqualTo(SUSPENSION_MILLIS + 10);
        }

        /** Keys were given away before their holds had ended, since each step of the time of day shortened the wait. */
        @Test
        void the_clock_of_holds_never_runs_ahead() {
            long before = holds.nowMillis();
            for (int i = 0; i < 3; i++) {
                elapsedMillis += STEP_MILLIS;
                advance(100);
                leases.nowMillis();
                elapsedMillis -= STEP_MILLIS;
                advance(100);
                leases.nowMillis();
            }

            assertThat(holds.nowMillis() - before).isEqualTo(600);
        }

        @Test
        void no_clock_goes_back() {
            long leasesBefore = leases.nowMillis();
            elapsedMillis -= 60_000;
            advance(10);
            assertThat(leases.nowMillis() - leasesBefore).isEqualTo(10);
            elapsedMillis += STEP_MILLIS;

            assertThat(leases.nowMillis() - leasesBefore).isEqualTo(10 + STEP_MILLIS);
        }
    }

    @Test
    @EnabledOnOs(OS.LINUX)
    void the_system_has_a_boot_time_that_advances_with_the_monotonic_clock() throws InterruptedException {
        HostClock clock = HostClock.system();
        assertThat(clock.exact()).isTrue();
        long monotonicBefore = clock.monotonicMillis();
        long before = clock.holdClock().nowMillis();
        Thread.sleep(100);

        assertThat(clock.holdClock().nowMillis() - before)
                .isBetween(100L, clock.monotonicMillis() - monotonicBefore + 50);
    }
}
