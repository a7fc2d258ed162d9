package org.dragonflymux.core.balance;

import static org.assertj.core.api.Assertions.assertThat;

import org.assertj.core.data.Percentage;
import org.dragonflymux.core.name.FailureDomain;
import org.dragonflymux.core.name.ServiceName;
import org.dragonflymux.core.name.TargetId;
import org.junit.jupiter.api.Test;

class UnreportedSpilloverTest {

    private static final ServiceName SERVICE = ServiceName.of("s");
    private static final FailureDomain DOMAIN = FailureDomain.of("b");
    private static final TargetEntry TARGET =
            new TargetEntry(TargetId.of("t"), SERVICE, "127.0.0.1:1", DOMAIN, 4, false, 0, 1);
    private static final int HOSTS = 5;
    private static final int TARGETS = 10;
    private static final int MEAN_REPORT_AGE_MILLIS = 200;

    private final UnreportedSpillover spillover = new UnreportedSpillover();

    /** Guards against an estimate that grows with the number of sends in a row instead of with their rate. */
    @Test
    void a_steady_rate_counts_for_the_mean_age_of_reports() {
        int intervalMillis = 5;
        long now = 0;
        for (; now < 2_000; now += intervalMillis) {
            spillover.recordSend(TARGET, now);
        }

        double ownUnreported = (double) MEAN_REPORT_AGE_MILLIS / intervalMillis;
        assertThat(spillover.perTarget(SERVICE, DOMAIN, HOSTS, TARGETS, now))
                .isCloseTo(ownUnreported * (HOSTS - 1) / TARGETS, Percentage.withPercentage(5));
    }

    @Test
    void sends_are_forgotten_once_reports_show_them() {
        spillover.recordSend(TARGET, 0);

        assertThat(spillover.any(SERVICE, MEAN_REPORT_AGE_MILLIS)).isTrue();
        assertThat(spillover.any(SERVICE, 10 * MEAN_REPORT_AGE_MILLIS)).isFalse();
    }

    @Test
    void one_host_alone_assumes_nothing_of_others() {
        spillover.recordSend(TARGET, 0);

        assertThat(spillover.perTarget(SERVICE, DOMAIN, 1, TARGETS, 0)).isZero();
        assertThat(spillover.perTarget(SERVICE, DOMAIN, 0.3, 0.1, 0)).isZero();
    }
}
