package org.dragonflymux.core.balance;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.dragonflymux.core.desired.ServiceSpec;
import org.dragonflymux.core.name.FailureDomain;
import org.dragonflymux.core.name.HostId;
import org.dragonflymux.core.name.ServiceName;
import org.dragonflymux.core.name.TargetId;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class ColdPacerTest {

    private static final ServiceName SERVICE = ServiceName.of("s");
    private static final double COLD_PER_SECOND = 10;
    private static final long COLD_MILLIS = 30_000;
    private static final long WINDOW_MILLIS = 1_000;

    private static TargetState coldTarget(int number) {
        return TargetState.of(
                new TargetEntry(
                        TargetId.of("t" + number),
                        SERVICE,
                        "127.0.0.1:1",
                        FailureDomain.of("a"),
                        4,
                        false,
                        COLD_MILLIS,
                        1),
                0);
    }

    /** Guards against every host of a large fleet sending a request to a cold target at the moment that it sees the target. */
    @ParameterizedTest
    @ValueSource(ints = {12, 87, 300})
    void all_hosts_together_stay_within_the_rate_limit_of_a_cold_target(int hosts) {
        List<ColdPacer> pacers = new ArrayList<>();
        List<TargetState> views = new ArrayList<>();
        for (int i = 0; i < hosts; i++) {
            ColdPacer pacer = ColdPacer.of(HostId.of("host-" + i), () -> hosts);
            pacer.replaceServices(
                    Map.of(SERVICE, new ServiceSpec(SERVICE, "/health", 100, COLD_MILLIS, COLD_PER_SECOND, false)));
            pacers.add(pacer);
            views.add(coldTarget(7));
        }
        List<Long> sentAt = new ArrayList<>();
        for (long now = 0; now < COLD_MILLIS; now += 10) {
            for (int i = 0; i < hosts; i++) {
                if (pacers.get(i).admits(views.get(i), now)) {
                    views.get(i).sent(now);
                    sentAt.add(now);
                }
            }
        }

        assertThat(sentAt.size()).isGreaterThan((int) (COLD_PER_SECOND * COLD_MILLIS / 1_000 / 2));
        // Users tolerate 1.5 times the limit plus five requests in any second.
        assertThat(maxSentInAnySecond(sentAt)).isLessThanOrEqualTo((int) (1.5 * COLD_PER_SECOND) + 5);
    }

    private static int maxSentInAnySecond(List<Long> sentAt) {
        int max = 0;
        for (int first = 0, last = 0; last < sentAt.size(); last++) {
            while (sentAt.get(first) <= sentAt.get(last) - WINDOW_MILLIS) {
                first++;
            }
            max = Math.max(max, last - first + 1);
        }
        return max;
    }
}
