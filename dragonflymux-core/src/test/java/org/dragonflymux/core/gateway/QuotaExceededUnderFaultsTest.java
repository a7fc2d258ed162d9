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

/** Guards against QUOTA: a customer got more than its rate and burst, summed over all hosts. */
class QuotaExceededUnderFaultsTest {

    private static final String HOT = "hot";
    private static final int HOSTS = 12;
    private static final double RATE = 100;
    private static final double BURST = 100;
    private static final long WINDOW_MILLIS = 5_000;
    private static final long DAY_MILLIS = 24_000;
    /** A customer in trouble sends several times its rate. */
    private static final int TIMES_ITS_RATE = 6;

    private static CustomerSpec spec(double rate, double burst) {
        return new CustomerSpec(CustomerName.of(HOT), OptionalInt.empty(), rate, burst);
    }

    private static RateFleet fleet(long seed) {
        return new RateFleet(HOSTS, seed, List.of(spec(RATE, BURST)));
    }

    private static int ceiling(double rate, double burst) {
        return (int) (rate * WINDOW_MILLIS / 1_000 + burst);
    }

    /** Plays a day on which the customer is hot from its fifth second on, and returns its fullest window. */
    private static int fullestWindow(RateFleet fleet, long seed, Runnable eachMilli) {
        SplittableRandom random = new SplittableRandom(seed);
        while (fleet.now() < DAY_MILLIS) {
            eachMilli.run();
            double perMilli = RATE / 1_000 * (fleet.now() < 5_000 ? 0.6 : TIMES_ITS_RATE);
            for (double due = perMilli; due > 0; due--) {
                if (random.nextDouble() < due) {
                    fleet.request(random.nextInt(fleet.size()), HOT);
                }
            }
            fleet.step();
        }
        return fleet.mostAdmitted(HOT, WINDOW_MILLIS, 0);
    }

    @Nested
    class OneFault {

        @Test
        void a_calm_fleet() {
            RateFleet fleet = fleet(1);

            assertThat(fullestWindow(fleet, 1, () -> {})).isLessThanOrEqualTo(ceiling(RATE, BURST));
            assertThat(fleet.admitted(HOT)).isGreaterThan((int) (0.95 * RATE * (DAY_MILLIS - 5_000) / 1_000));
        }

        @Test
        void hosts_that_can_not_hear_each_other() {
            RateFleet fleet = fleet(2);

            assertThat(fullestWindow(fleet, 2, () -> {
                        if (fleet.now() == 5_000) {
                            fleet.cut((from, to) -> from % 3 != to % 3);
                        }
                    }))
                    .isLessThanOrEqualTo(ceiling(RATE, BURST));
        }

        @Test
        void hosts_that_are_heard_by_none_but_hear_all() {
            RateFleet fleet = fleet(3);

            assertThat(fullestWindow(fleet, 3, () -> {
                        if (fleet.now() == 5_000) {
                            fleet.cut((from, to) -> from < 4);
                        }
                    }))
                    .isLessThanOrEqualTo(ceiling(RATE, BURST));
        }

        @Test
        void all_hosts_are_killed_and_their_start_is_slow() {
            RateFleet fleet = fleet(4);

            assertThat(fullestWindow(fleet, 4, () -> {
                        if (fleet.now() == 8_000) {
                            for (int host = 0; host < HOSTS; host++) {
                                fleet.restart(host, 1_000, 1_500);
                            }
                        }
                    }))
                    .isLessThanOrEqualTo(ceiling(RATE, BURST));
        }

        @Test
        void single_hosts_are_killed_again_and_again() {
            RateFleet fleet = fleet(5);

            assertThat(fullestWindow(fleet, 5, () -> {
                        if (fleet.now() >= 5_000 && fleet.now() % 500 == 0) {
                            fleet.restart((int) (fleet.now() / 500) % HOSTS, 200, 700);
                        }
                    }))
                    .isLessThanOrEqualTo(ceiling(RATE, BURST));
        }

        @Test
        void hosts_are_suspended_and_go_on() {
            RateFleet fleet = fleet(6);

            assertThat(fullestWindow(fleet, 6, () -> {
                        if (fleet.now() >= 5_000 && fleet.now() % 3_000 == 0) {
                            for (int host = 0; host < HOSTS / 2; host++) {
                                fleet.pause(host, 2_000);
                            }
                        }
                    }))
                    .isLessThanOrEqualTo(ceiling(RATE, BURST));
        }

        @Test
        void hosts_are_added_in_a_burst() {
            RateFleet fleet = fleet(7);

            assertThat(fullestWindow(fleet, 7, () -> {
                        if (fleet.now() >= 5_000 && fleet.now() < 7_400 && fleet.now() % 200 == 0) {
                            fleet.addHost();
                        }
                    }))
                    .isLessThanOrEqualTo(ceiling(RATE, BURST));
        }

        @Test
        void hosts_that_have_lost_the_store() {
            RateFleet fleet = fleet(8);
            fleet.cutFromStore((host, now) -> host < 4 && now > 6_000 && now < 12_000);

            assertThat(fullestWindow(fleet, 8, () -> {})).isLessThanOrEqualTo(ceiling(RATE, BURST));
        }

        @Test
        void a_limit_is_lowered_while_some_learn_of_it_late() {
            RateFleet fleet = fleet(9);
            long loweredAt = 8_000;
            long learnedBy = 2_000;
            fullestWindow(fleet, 9, () -> {
                if (fleet.now() == loweredAt) {
                    fleet.limits(List.of(spec(RATE / 4, BURST / 4)), learnedBy);
                }
            });

            assertThat(fleet.mostAdmitted(HOT, WINDOW_MILLIS, loweredAt + learnedBy))
                    .isLessThanOrEqualTo(ceiling(RATE / 4, BURST / 4));
        }
    }

    /** Cuts, losses, suspensions, kills and joins at once, in an order that the seed draws. */
    @ParameterizedTest
    @ValueSource(longs = {101, 102, 103, 104, 105, 106, 107, 108, 109, 110, 111, 112})
    void many_faults_at_once(long seed) {
        RateFleet fleet = fleet(seed);
        SplittableRandom random = new SplittableRandom(seed);

        int most = fullestWindow(fleet, seed, () -> {
            if (fleet.now() >= 3_000 && fleet.now() % 400 == 0) {
                inject(fleet, random);
            }
        });

        assertThat(most).isLessThanOrEqualTo(ceiling(RATE, BURST));
        assertThat(fleet.admitted(HOT)).isGreaterThan(ceiling(RATE, BURST));
    }

    private static void inject(RateFleet fleet, SplittableRandom random) {
        int host = random.nextInt(fleet.size());
        switch (random.nextInt(8)) {
            case 0 -> fleet.restart(host, random.nextLong(1_500), random.nextLong(1_500));
            case 1 -> fleet.pause(host, random.nextLong(3_000));
            case 2 -> {
                int groups = 2 + random.nextInt(2);
                boolean oneWay = random.nextBoolean();
                fleet.cut((from, to) -> from % groups != to % groups && (!oneWay || from % groups == 0));
            }
            case 3 -> fleet.cut((_, _) -> false);
            case 4 -> fleet.lose(random.nextDouble() * 0.3);
            case 5 -> {
                if (fleet.size() < 2 * HOSTS) {
                    fleet.addHost();
                }
            }
            case 6 -> {
                long until = fleet.now() + random.nextLong(5_000);
                int apart = random.nextInt(3);
                fleet.cutFromStore((each, now) -> each % 3 == apart && now < until);
            }
            default -> {
                for (int each = 0; each < fleet.size(); each += 2) {
                    fleet.restart(each, random.nextLong(800), random.nextLong(1_200));
                }
            }
        }
    }
}
