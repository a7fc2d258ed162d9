package org.dragonflymux.core.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import org.dragonflymux.core.desired.CustomerSpec;
import org.dragonflymux.core.name.CustomerName;
import org.dragonflymux.core.name.HostId;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class FleetQuotaTest {

    private static final CustomerName NAME = CustomerName.of("c");
    private static final int WINDOW_MILLIS = 5_000;
    private static final int REPORT_MILLIS = 200;
    private static final double OVERAGE = 0.1;
    private static final double SLACK = 20;

    private static CustomerSpec customer(double rate, double burst) {
        return new CustomerSpec(NAME, OptionalInt.empty(), rate, burst);
    }

    /** Plays hosts that report to each other while a customer asks for several times its rate. */
    private static int mostInAWindow(int hosts, CustomerSpec customer, int offeredPerSecond, long cutAt) {
        List<FleetQuota> quotas = new ArrayList<>();
        for (int i = 0; i < hosts; i++) {
            quotas.add(new FleetQuota());
        }
        List<Long> admittedAt = new ArrayList<>();
        double due = 0;
        for (long now = 1; now < 20_000; now++) {
            for (due += offeredPerSecond / 1000.0; due >= 1; due--) {
                FleetQuota quota = quotas.get((int) (admittedAt.size() * 7 + now) % hosts);
                if (quota.take(customer, hosts, now) == 0) {
                    admittedAt.add(now);
                }
            }
            if (now % REPORT_MILLIS == 0) {
                exchangeReports(quotas, now, cutAt);
            }
        }
        int most = 0;
        for (int first = 0, last = 0; last < admittedAt.size(); last++) {
            while (admittedAt.get(first) <= admittedAt.get(last) - WINDOW_MILLIS) {
                first++;
            }
            most = Math.max(most, last - first + 1);
        }
        return most;
    }

    private static void exchangeReports(List<FleetQuota> quotas, long now, long cutAt) {
        for (int to = 0; to < quotas.size(); to++) {
            for (int from = 0; from < quotas.size(); from++) {
                boolean cut = now >= cutAt && from % 2 != to % 2;
                HostId peer = HostId.of("h" + from);
                if (from == to) {
                    continue;
                }
                if (cut) {
                    quotas.get(to).assume(peer, REPORT_MILLIS);
                } else {
                    quotas.get(to)
                            .peerAdmitted(peer, 1, Map.copyOf(quotas.get(from).admitted()), now);
                }
            }
        }
    }

    @Nested
    class Ceiling {

        @Test
        void holds_over_all_hosts_under_several_times_the_rate() {
            int limit = (int) ((100.0 * 5 + 100) * (1 + OVERAGE) + SLACK);

            assertThat(mostInAWindow(11, customer(100, 100), 750, Long.MAX_VALUE))
                    .isLessThanOrEqualTo(limit);
        }

        @Test
        void holds_while_half_of_the_hosts_can_not_hear_the_others() {
            int limit = (int) ((100.0 * 5 + 100) * (1 + OVERAGE) + SLACK);

            assertThat(mostInAWindow(11, customer(100, 100), 500, 8_000)).isLessThanOrEqualTo(limit);
        }
    }

    @Test
    void nobody_inside_its_rate_is_refused() {
        assertThat(mostInAWindow(11, customer(100, 100), 95, Long.MAX_VALUE)).isGreaterThanOrEqualTo(470);
    }

    @Test
    void a_customer_without_a_limit_is_never_refused() {
        FleetQuota quota = new FleetQuota();
        for (int i = 0; i < 1_000; i++) {
            assertThat(quota.take(customer(0, 0), 1, 0)).isZero();
        }
    }

    @Test
    void a_token_given_back_can_be_used_again() {
        FleetQuota quota = new FleetQuota();
        CustomerSpec customer = customer(1, 2);
        quota.customers(List.of(customer), 1, 0);
        assertThat(quota.take(customer, 1, 1_500)).isZero();
        assertThat(quota.take(customer, 1, 1_500)).isPositive();
        quota.giveBack(NAME);

        assertThat(quota.take(customer, 1, 1_500)).isZero();
    }

    /** Returns how many of 1,000 requests are admitted that come one after the other from the given time on. */
    private static int admittedOfThousand(long from, int apartMillis) {
        FleetQuota quota = new FleetQuota();
        CustomerSpec customer = customer(100, 100);
        quota.customers(List.of(customer), 1, 0);
        int admitted = 0;
        for (int i = 0; i < 1_000; i++) {
            admitted += quota.take(customer, 1, from + i * apartMillis) == 0 ? 1 : 0;
        }
        return admitted;
    }

    /** Half of a burst was held back, and customers inside their rate were refused in the first seconds of a calm day. */
    @Test
    void the_whole_burst_may_come_at_once_after_a_pause() {
        assertThat(admittedOfThousand(5_000, 0)).isEqualTo(100);
    }

    @Test
    void a_host_that_starts_anew_admits_no_burst_that_its_earlier_life_may_have_admitted() {
        assertThat(admittedOfThousand(0, 1)).isLessThanOrEqualTo(110);
    }
}
