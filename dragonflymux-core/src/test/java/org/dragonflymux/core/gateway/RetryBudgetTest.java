package org.dragonflymux.core.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import org.dragonflymux.core.name.FailureDomain;
import org.dragonflymux.core.name.HostId;
import org.junit.jupiter.api.Test;

class RetryBudgetTest {

    private static final double RATIO = 0.2;
    private static final double EXTRA = 62;
    private static final int WINDOW_MILLIS = 10_000;
    private static final GatewaySettings SETTINGS =
            new GatewaySettings(HostId.of("h"), 1, FailureDomain.of("a"), 5_000, 2_000, RATIO, EXTRA, WINDOW_MILLIS);

    private static int spentInOneWindow(int hosts, int requests) {
        int spent = 0;
        for (int host = 0; host < hosts; host++) {
            RetryBudget budget = new RetryBudget(SETTINGS, () -> hosts, 0);
            for (int millis = 0; millis < WINDOW_MILLIS; millis++) {
                if (millis % (WINDOW_MILLIS * hosts / requests) == 0) {
                    budget.recordRequest();
                }
                if (budget.trySpend(millis)) {
                    spent++;
                }
            }
        }
        return spent;
    }

    @Test
    void any_number_of_hosts_together_stays_within_the_budget() {
        for (int hosts : new int[] {1, 4, 11, 30}) {
            assertThat(spentInOneWindow(hosts, 3_000)).as("%d hosts", hosts).isLessThanOrEqualTo((int)
                    (RATIO * 3_000 + EXTRA));
        }
    }

    @Test
    void a_service_with_few_requests_still_has_some_retries() {
        assertThat(spentInOneWindow(1, 100)).isGreaterThan(20);
    }
}
