package org.dragonflymux.core.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalInt;
import java.util.SplittableRandom;
import org.dragonflymux.core.desired.CustomerSpec;
import org.dragonflymux.core.name.CustomerName;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against enforcing rate limits so strictly that requests of customers within their rate are refused. The number of
 * such refusals grows with the number of hosts.
 */
class RefusedWithinRateTest {

    private static final long WARM_UP_MILLIS = 2_000;
    private static final long MEASURED_MILLIS = 6_000;
    /** Share of its limit that each customer uses. */
    private static final double USED_SHARE = 0.62;
    /** Maximum share of requests that the fleet may refuse in addition to those that a single token bucket refuses. */
    private static final double MAX_EXCESS_REFUSED_SHARE = 0.005;

    /** A single token bucket that sees every request. */
    private static final class ReferenceBucket {
        private final CustomerSpec spec;
        private double tokens;
        private long refilledAt;
        private int refused;

        ReferenceBucket(CustomerSpec spec) {
            this.spec = spec;
            this.tokens = spec.burst();
        }

        void request(long now) {
            tokens = Math.min(spec.burst(), tokens + (now - refilledAt) * spec.ratePerSecond() / 1_000);
            refilledAt = now;
            if (tokens < 1) {
                refused++;
            } else {
                tokens--;
            }
        }
    }

    private static List<CustomerSpec> customers(int count) {
        List<CustomerSpec> result = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            // The first four have a much larger limit than the others.
            double rate = i < 4 ? 300 : 10 + i % 20;
            result.add(new CustomerSpec(CustomerName.of("c" + i), OptionalInt.empty(), rate, rate));
        }
        return result;
    }

    @ParameterizedTest
    @CsvSource({"12, 8, 0", "12, 8, 0.02", "87, 86, 0.02"})
    void a_fleet_refuses_hardly_more_requests_than_a_single_token_bucket(
            int hosts, int customerCount, double lossRatio) {
        List<CustomerSpec> specs = customers(customerCount);
        SimulatedFleet fleet = new SimulatedFleet(hosts, 7, specs);
        fleet.loseDatagrams(lossRatio);
        SplittableRandom random = new SplittableRandom(7);
        List<ReferenceBucket> references =
                specs.stream().map(ReferenceBucket::new).toList();
        while (fleet.now() < WARM_UP_MILLIS) {
            fleet.step();
        }
        int offered = 0;
        while (fleet.now() < WARM_UP_MILLIS + MEASURED_MILLIS) {
            for (int c = 0; c < specs.size(); c++) {
                if (random.nextDouble() < specs.get(c).ratePerSecond() * USED_SHARE / 1_000) {
                    offered++;
                    references.get(c).request(fleet.now());
                    fleet.request(random.nextInt(hosts), specs.get(c).name().value());
                }
            }
            fleet.step();
        }
        int refused = 0;
        for (CustomerSpec spec : specs) {
            refused += fleet.refused(spec.name().value());
        }
        int refusedByReference =
                references.stream().mapToInt(reference -> reference.refused).sum();

        assertThat(refused - refusedByReference).isLessThanOrEqualTo((int) (offered * MAX_EXCESS_REFUSED_SHARE));
    }
}
