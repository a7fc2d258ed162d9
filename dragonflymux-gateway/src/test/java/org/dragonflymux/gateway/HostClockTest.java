package org.dragonflymux.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class HostClockTest {

    private long monotonicMillis = 5_000;
    private long timeOfDayMillis = 1_700_000_000_000L;
    private final HostClock clock = new HostClock(() -> monotonicMillis * 1_000_000, () -> timeOfDayMillis);

    private void pass(long millis) {
        monotonicMillis += millis;
        timeOfDayMillis += millis;
    }

    @Test
    void goes_as_the_monotonic_clock_does() {
        long before = clock.getAsLong();
        pass(700);

        assertThat(clock.getAsLong() - before).isEqualTo(700);
    }

    @Test
    void counts_the_time_for_which_the_machine_was_suspended() {
        long before = clock.getAsLong();
        timeOfDayMillis += 3_500;
        pass(10);

        assertThat(clock.getAsLong() - before).isEqualTo(3_510);
    }

    @Test
    void never_goes_backwards_when_the_time_of_day_is_set_back() {
        long before = clock.getAsLong();
        timeOfDayMillis -= 60_000;
        pass(10);
        assertThat(clock.getAsLong() - before).isEqualTo(10);
        timeOfDayMillis += 2_000;

        assertThat(clock.getAsLong() - before).isEqualTo(2_010);
    }

    @Test
    void takes_small_corrections_for_what_they_are() {
        long before = clock.getAsLong();
        for (int i = 0; i < 100; i++) {
            timeOfDayMillis += i % 2 == 0 ? 5 : -5;
            pass(1);
            clock.getAsLong();
        }

        assertThat(clock.getAsLong() - before).isEqualTo(100);
    }
}
