package org.dragonflymux.core.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.OptionalInt;
import java.util.SplittableRandom;
import org.dragonflymux.core.desired.CustomerSpec;
import org.dragonflymux.core.name.CustomerName;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against admitting more requests of a customer, over all hosts together, than its rate and burst allow. */
class QuotaExceededUnderFaultsTest {

    private static final String CUSTOMER = "hot";
    private static final int HOSTS = 12;
    private static final double RATE = 100;
    private static final double BURST = 100;
    private static final long WINDOW_MILLIS = 5_000;
    private static final long RUN_MILLIS = 24_000;
    /** The customer's request rate during overload, as a multiple of its limit. */
    private static final int OVERLOAD_FACTOR = 6;

    private static CustomerSpec spec(double rate, double burst) {
        return new CustomerSpec(CustomerName.of(CUSTOMER), OptionalInt.empty(), rate, burst);
    }

    private static SimulatedFleet fleet(long seed) {
        return new SimulatedFleet(HOSTS, seed, List.of(spec(RATE, BURST)));
    }

    private static int maxAllowed(double rate, double burst) {
        return (int) (rate * WINDOW_MILLIS / 1_000 + burst);
    }

    /**
     * Simulates a run in which the customer exceeds its rate from the fifth second on, and returns the most requests that
     * were admitted in any window.
     */
    private static int maxAdmittedInAnyWindow(SimulatedFleet fleet, long seed, Runnable eachMilli) {
        SplittableRandom random = new SplittableRandom(seed);
        while (fleet.now() < RUN_MILLIS) {
            eachMilli.run();
            double perMilli = RATE / 1_000 * (fleet.now() < 5_000 ? 0.6 : OVERLOAD_FACTOR);
            for (double expected = perMilli; expected > 0; expected--) {
                if (random.nextDouble() < expected) {
                    fleet.request(random.nextInt(fleet.size()), CUSTOMER);
                }
            }
            fleet.step();
        }
        return fleet.maxAdmitted(CUSTOMER, WINDOW_MILLIS, 0);
    }

    @Nested
    class OneFault {

        @Test
        void a_fleet_without_faults() {
            SimulatedFleet fleet = fleet(1);

            assertThat(maxAdmittedInAnyWindow(fleet, 1, () -> {})).isLessThanOrEqualTo(maxAllowed(RATE, BURST));
            assertThat(fleet.admitted(CUSTOMER)).isGreaterThan((int) (0.95 * RATE * (RUN_MILLIS - 5_000) / 1_000));
        }

        @Test
        void hosts_in_separate_network_partitions() {
            SimulatedFleet fleet = fleet(2);

            assertThat(maxAdmittedInAnyWindow(fleet, 2, () -> {
                        if (fleet.now() == 5_000) {
                            fleet.dropDatagrams((from, to) -> from % 3 != to % 3);
                        }
                    }))
                    .isLessThanOrEqualTo(maxAllowed(RATE, BURST));
        }

        @Test
        void hosts_that_receive_but_can_not_send() {
            SimulatedFleet fleet = fleet(3);

            assertThat(maxAdmittedInAnyWindow(fleet, 3, () -> {
                        if (fleet.now() == 5_000) {
                            fleet.dropDatagrams((from, to) -> from < 4);
                        }
                    }))
                    .isLessThanOrEqualTo(maxAllowed(RATE, BURST));
        }

        @Test
        void all_hosts_are_killed_and_restart_slowly() {
            SimulatedFleet fleet = fleet(4);

            assertThat(maxAdmittedInAnyWindow(fleet, 4, () -> {
                        if (fleet.now() == 8_000) {
                            for (int host = 0; host < HOSTS; host++) {
                                fleet.restart(host, 1_000, 1_500);
                            }
                        }
                    }))
                    .isLessThanOrEqualTo(maxAllowed(RATE, BURST));
        }

        @Test
        void single_hosts_are_killed_repeatedly() {
            SimulatedFleet fleet = fleet(5);

            assertThat(maxAdmittedInAnyWindow(fleet, 5, () -> {
                        if (fleet.now() >= 5_000 && fleet.now() % 500 == 0) {
                            fleet.restart((int) (fleet.now() / 500) % HOSTS, 200, 700);
                        }
                    }))
                    .isLessThanOrEqualTo(maxAllowed(RATE, BURST));
        }

        @Test
        void hosts_are_suspended_and_resumed() {
            SimulatedFleet fleet = fleet(6);

            assertThat(maxAdmittedInAnyWindow(fleet, 6, () -> {
                        if (fleet.now() >= 5_000 && fleet.now() % 3_000 == 0) {
                            for (int host = 0; host < HOSTS / 2; host++) {
                                fleet.suspend(host, 2_000);
                            }
                        }
                    }))
                    .isLessThanOrEqualTo(maxAllowed(RATE, BURST));
        }

        @Test
        void many_hosts_are_added_within_a_short_time() {
            SimulatedFleet fleet = fleet(7);

            assertThat(maxAdmittedInAnyWindow(fleet, 7, () -> {
                        if (fleet.now() >= 5_000 && fleet.now() < 7_400 && fleet.now() % 200 == 0) {
                            fleet.addHost();
                        }
                    }))
                    .isLessThanOrEqualTo(maxAllowed(RATE, BURST));
        }

        @Test
        void hosts_that_are_disconnected_from_the_store() {
            SimulatedFleet fleet = fleet(8);
            fleet.cutOffFromStore((host, now) -> host < 4 && now > 6_000 && now < 12_000);

            assertThat(maxAdmittedInAnyWindow(fleet, 8, () -> {})).isLessThanOrEqualTo(maxAllowed(RATE, BURST));
        }

        @Test
        void a_limit_is_lowered_and_some_hosts_learn_of_it_late() {
            SimulatedFleet fleet = fleet(9);
            long loweredAt = 8_000;
            long learnedBy = 2_000;
            maxAdmittedInAnyWindow(fleet, 9, () -> {
                if (fleet.now() == loweredAt) {
                    fleet.replaceLimits(List.of(spec(RATE / 4, BURST / 4)), learnedBy);
                }
            });

            assertThat(fleet.maxAdmitted(CUSTOMER, WINDOW_MILLIS, loweredAt + learnedBy))
                    .isLessThanOrEqualTo(maxAllowed(RATE / 4, BURST / 4));
        }
    }

    /** Network partitions, packet loss, suspensions, restarts and new hosts, in a random order determined by the seed. */
    @ParameterizedTest
    @ValueSource(longs = {101, 102, 103, 104, 105, 106, 107, 108, 109, 110, 111, 112})
    void many_faults_at_once(long seed) {
        SimulatedFleet fleet = fleet(seed);
        SplittableRandom random = new SplittableRandom(seed);

        int most = maxAdmittedInAnyWindow(fleet, seed, () -> {
            if (fleet.now() >= 3_000 && fleet.now() % 400 == 0) {
                injectFault(fleet, random);
            }
        });

        assertThat(most).isLessThanOrEqualTo(maxAllowed(RATE, BURST));
        assertThat(fleet.admitted(CUSTOMER)).isGreaterThan(maxAllowed(RATE, BURST));
    }

    private static void injectFault(SimulatedFleet fleet, SplittableRandom random) {
        int host = random.nextInt(fleet.size());
        switch (random.nextInt(8)) {
            case 0 -> fleet.restart(host, random.nextLong(1_500), random.nextLong(1_500));
            case 1 -> fleet.suspend(host, random.nextLong(3_000));
            case 2 -> {
                int groups = 2 + random.nextInt(2);
                boolean oneWay = random.nextBoolean();
                fleet.dropDatagrams((from, to) -> from % groups != to % groups && (!oneWay || from % groups == 0));
            }
            case 3 -> fleet.dropDatagrams((_, _) -> false);
            case 4 -> fleet.loseDatagrams(random.nextDouble() * 0.3);
            case 5 -> {
                if (fleet.size() < 2 * HOSTS) {
                    fleet.addHost();
                }
            }
            case 6 -> {
                long until = fleet.now() + random.nextLong(5_000);
                int cutOffGroup = random.nextInt(3);
                fleet.cutOffFromStore((each, now) -> each % 3 == cutOffGroup && now < until);
            }
            default -> {
                for (int each = 0; each < fleet.size(); each += 2) {
                    fleet.restart(each, random.nextLong(800), random.nextLong(1_200));
                }
            }
        }
    }
}
