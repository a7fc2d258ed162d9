package org.dragonflymux.core.balance;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import org.dragonflymux.core.name.FailureDomain;
import org.dragonflymux.core.name.ServiceName;
import org.dragonflymux.core.name.TargetId;
import org.junit.jupiter.api.Test;

class PlannedServiceTimeTest {

    private static final double DEFAULT_MILLIS = 50;

    private final TargetState target = TargetState.of(
            new TargetEntry(
                    TargetId.of("a"), ServiceName.of("orders"), "127.0.0.1:1", FailureDomain.of("a"), 3, false, 0, 1),
            0);
    private long now = 1_000;

    private void report(int percent, int times) {
        for (int i = 0; i < times; i++, now += 50) {
            target.slowdownReported(percent, now);
        }
    }

    @Test
    void without_measurements_it_is_the_default() {
        assertThat(target.plannedServiceMillis(DEFAULT_MILLIS)).isEqualTo(DEFAULT_MILLIS);
    }

    /** With some ten reports a second, keys stayed at a target that had become slow for several seconds. */
    @Test
    void a_slowdown_shows_within_about_a_second() {
        report(200, 20);

        assertThat(target.plannedServiceMillis(DEFAULT_MILLIS)).isCloseTo(2 * DEFAULT_MILLIS, within(5.0));
    }

    @Test
    void a_single_report_changes_it_little() {
        report(200, 1);

        assertThat(target.plannedServiceMillis(DEFAULT_MILLIS)).isLessThan(1.2 * DEFAULT_MILLIS);
    }

    /** Keys that return as soon as a slowdown pauses would move back and forth. */
    @Test
    void the_end_of_a_slowdown_shows_more_slowly() {
        report(200, 100);
        report(100, 10);

        assertThat(target.plannedServiceMillis(DEFAULT_MILLIS)).isGreaterThan(1.5 * DEFAULT_MILLIS);
    }
}
