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

/** Guards against paying for the ceiling of rates: customers inside their rate are refused, the more the more hosts there are. */
class RefusedInsideTheRateTest {

    private static final long WARM_UP_MILLIS = 2_000;
    private static final long DAY_MILLIS = 6_000;
    /** Which share of its limit a customer uses. */
    private static final double USED_SHARE = 0.62;
    /** What one bucket that sees every request admits, a fleet may refuse of at most this share. */
    private static final double MOST_REFUSED_SHARE = 0.005;

    /** One bucket that sees every request. */
    private static final class Ideal {
        private final CustomerSpec spec;
        private double tokens;
        private long filledAt;
        private int refused;

        Ideal(CustomerSpec spec) {
            this.spec = spec;
            this.tokens = spec.burst();
        }

        void request(long now) {
            tokens = Math.min(spec.burst(), tokens + (now - filledAt) * spec.ratePerSecond() / 1_000);
            filledAt = now;
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
            // A few are large.
            double rate = i < 4 ? 300 : 10 + i % 20;
            result.add(new CustomerSpec(CustomerName.of("c" + i), OptionalInt.empty(), rate, rate));
        }
        return result;
    }

    @ParameterizedTest
    @CsvSource({"12, 8, 0", "12, 8, 0.02", "87, 86, 0.02"})
    void a_calm_fleet_refuses_what_one_bucket_would(int hosts, int customerCount, double lossRatio) {
        List<CustomerSpec> specs = customers(customerCount);
        RateFleet fleet = new RateFleet(hosts, 7, specs);
        fleet.lose(lossRatio);
        SplittableRandom random = new SplittableRandom(7);
        List<Ideal> ideals = specs.stream().map(Ideal::new).toList();
        while (fleet.now() < WARM_UP_MILLIS) {
            fleet.step();
        }
        int offered = 0;
        while (fleet.now() < WARM_UP_MILLIS + DAY_MILLIS) {
            for (int c = 0; c < specs.size(); c++) {
                if (random.nextDouble() < specs.get(c).ratePerSecond() * USED_SHARE / 1_000) {
                    offered++;
                    ideals.get(c).request(fleet.now());
                    fleet.request(random.nextInt(hosts), specs.get(c).name().value());
                }
            }
            fleet.step();
        }
        int refused = 0;
        for (CustomerSpec spec : specs) {
            refused += fleet.refused(spec.name().value());
        }
        int rightly = ideals.stream().mapToInt(ideal -> ideal.refused).sum();

        assertThat(refused - rightly).isLessThanOrEqualTo((int) (offered * MOST_REFUSED_SHARE));
    }
}
