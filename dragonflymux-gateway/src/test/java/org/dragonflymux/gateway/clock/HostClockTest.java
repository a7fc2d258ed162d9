package org.dragonflymux.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class SuspendAwareClockTest {

    private long monotonicMillis = 5_000;
    private long wallClockMillis = 1_700_000_000_000L;
    private final SuspendAwareClock clock =
            new SuspendAwareClock(() -> monotonicMillis * 1_000_000, () -> wallClockMillis);

    private void advance(long millis) {
        monotonicMillis += millis;
        wallClockMillis += millis;
    }

    @Test
    void advances_with_the_monotonic_clock() {
        long before = clock.getAsLong();
        advance(700);

        assertThat(clock.getAsLong() - before).isEqualTo(700);
    }

    @Test
    void includes_the_time_for_which_the_machine_was_suspended() {
        long before = clock.getAsLong();
        wallClockMillis += 3_500;
        advance(10);

        assertThat(clock.getAsLong() - before).isEqualTo(3_510);
    }

    @Test
    void never_goes_backwards_when_the_wall_clock_is_set_back() {
        long before = clock.getAsLong();
        wallClockMillis -= 60_000;
        advance(10);
        assertThat(clock.getAsLong() - before).isEqualTo(10);
        wallClockMillis += 2_000;

        assertThat(clock.getAsLong() - before).isEqualTo(2_010);
    }

    @Test
    void ignores_small_corrections_of_the_wall_clock() {
        long before = clock.getAsLong();
        for (int i = 0; i < 100; i++) {
            wallClockMillis += i % 2 == 0 ? 5 : -5;
            advance(1);
            clock.getAsLong();
        }

        assertThat(clock.getAsLong() - before).isEqualTo(100);
    }
}
