package org.dragonflymux.gateway.control.simulation;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.stream.LongStream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Guards against two targets that hold the same key for over half a second, that work on it at the same time, or of which the
 * later one has it under a lower fencing token, and against keys that stay without an owner after the last fault, on schedules
 * of faults drawn from seeds. The environment variable {@code STORM_SEEDS} sets the number of seeds.
 */
class KeyOwnershipUnderFaultsTest {

    private static final int HOSTS = 3;
    private static final int TARGETS = 8;
    private static final long START_MILLIS = 8_000;
    private static final long RUN_MILLIS = 90_000;
    /** The least share of keys and time with an owner; a deployment that grants nothing would keep the rule. */
    private static final double MIN_HELD_SHARE = 0.8;

    /** Within which time each key must have an owner once the last fault has ended. */
    private static final long OWNER_WITHIN_MILLIS = 4_000;

    /**
     * Within which time each key must have an owner once the store is back from a copy: the claim of the first term, 10 s of
     * renewals that others may still send, the timeout of a call, and the longest hold.
     */
    private static final long OWNER_WITHIN_OF_RESTORE_MILLIS = 20_000;

    private static final long CALM_FROM_MILLIS = 40_000;

    private static final String SEEDS = "org.dragonflymux.gateway.control.simulation.KeyOwnershipUnderFaultsTest#seeds";

    static LongStream seeds() {
        return LongStream.rangeClosed(1, Long.parseLong(System.getenv().getOrDefault("STORM_SEEDS", "5")));
    }

    private static SimulatedDeployment started(long seed) {
        SimulatedDeployment deployment = new SimulatedDeployment(seed, HOSTS, TARGETS);
        deployment.runUntil(START_MILLIS);
        return deployment;
    }

    private static void assertSingleOwners(SimulatedDeployment deployment) {
        assertRulesHold(deployment);
        assertThat(deployment.checker().heldShare()).isGreaterThan(MIN_HELD_SHARE);
    }

    private static void assertRulesHold(SimulatedDeployment deployment) {
        deployment.runUntil(RUN_MILLIS);
        assertThat(deployment.checker().violations()).isEmpty();
    }

    @Nested
    class RestartedTargets {

        /** A target that was back under its id took a renewal; its keys went to another at once, and both held them. */
        @ParameterizedTest
        @MethodSource(SEEDS)
        void are_asked_for_their_keys_before_others_get_them(long seed) {
            SimulatedDeployment deployment = started(seed);
            deployment.repeat(2_000, 6_000, () -> deployment.restartTarget(300, 1_500));

            assertSingleOwners(deployment);
        }
    }

    @Nested
    class ReturningGrantors {

        /** A host that the store answered again renewed an outdated table with a new lease, under the name of its old role. */
        @ParameterizedTest
        @MethodSource(SEEDS)
        void do_not_grant_by_an_earlier_role(long seed) {
            SimulatedDeployment deployment = started(seed);
            deployment.repeat(3_000, 9_000, () -> deployment.isolateGrantor(5_000, 22_000));

            assertSingleOwners(deployment);
        }
    }

    @Nested
    class SteppedClocks {

        /** Each step of the grantor's time of day ended the wait for the hold of a target that was cut off 2 s early. */
        @ParameterizedTest
        @MethodSource(SEEDS)
        void do_not_shorten_the_wait_for_a_hold(long seed) {
            SimulatedDeployment deployment = started(seed);
            deployment.repeat(3_000, 8_000, () -> deployment.cutOffTarget(2_000, 10_000));
            deployment.repeat(700, 1_500, () -> deployment.stepTimeOfDay(2_000));

            assertSingleOwners(deployment);
        }
    }

    @Nested
    class LateGrants {

        /** A grant that the previous grantor had sent without an answer was carried out after the release of its keys. */
        @ParameterizedTest
        @MethodSource(SEEDS)
        void of_an_earlier_grantor_do_not_outlive_a_release(long seed) {
            SimulatedDeployment deployment = started(seed);
            deployment.targets().lateGrants(0.2);
            deployment.repeat(1_500, 4_000, () -> deployment.replaceTarget(2_500, 1_000));
            deployment.repeat(4_000, 9_000, () -> deployment.restartGrantor(100, 3_000));

            assertSingleOwners(deployment);
        }
    }

    @Nested
    class ReusedAddresses {

        /**
         * Another process answers at the address of a lost owner, which proves that its grants have ended. The owner may be back at
         * another address, where a grantor without the store can't renew them.
         */
        @ParameterizedTest
        @MethodSource(SEEDS)
        void prove_the_end_of_one_incarnation_only(long seed) {
            SimulatedDeployment deployment = started(seed);
            deployment.targets().lateGrants(0.1);
            deployment.store().loseAnswers(0.1);
            deployment.repeat(1_500, 5_000, () -> deployment.loseTarget(1_000, 1_400));
            deployment.repeat(2_500, 7_000, () -> deployment.loseTarget(2_000, 6_000));
            deployment.repeat(4_000, 9_000, () -> deployment.restartTarget(300, 1_500));
            deployment.repeat(5_000, 12_000, () -> deployment.restartGrantor(100, 3_000));
            deployment.repeat(8_000, 20_000, () -> deployment.isolateGrantor(3_000, 15_000));
            deployment.repeat(6_000, 20_000, () -> deployment.cutOffTarget(2_000, 6_000));

            assertRulesHold(deployment);
        }
    }

    @Nested
    class GrantorsInARow {

        /** A host without the store went on renewing after its successor's short term; the next grantor gave its keys away. */
        @ParameterizedTest
        @MethodSource(SEEDS)
        void wait_for_a_host_before_the_last_that_may_still_renew(long seed) {
            SimulatedDeployment deployment = started(seed);
            deployment.cutOffTargetFromAllButGrantor(14_000);
            deployment.isolateGrantor(14_000, 14_001);
            deployment.runUntil(START_MILLIS + 5_000);
            deployment.restartAnsweredGrantor(100, 101);

            deployment.runUntil(START_MILLIS + 20_000);
            assertThat(deployment.checker().violations()).isEmpty();
        }

        /** The same, at times drawn from the seed. */
        @ParameterizedTest
        @MethodSource(SEEDS)
        void wait_for_the_renewals_of_all_before_them(long seed) {
            SimulatedDeployment deployment = started(seed);
            deployment.repeat(1_500, 4_000, () -> deployment.cutOffTargetFromMostHosts(8_000, 14_000));
            deployment.repeat(3_000, 9_000, () -> deployment.isolateGrantor(9_000, 14_000));
            deployment.repeat(1_000, 4_000, () -> deployment.restartAnsweredGrantor(100, 400));

            assertRulesHold(deployment);
        }
    }

    @Nested
    class ManyFaults {

        @ParameterizedTest
        @MethodSource(SEEDS)
        void together_leave_each_key_with_one_owner(long seed) {
            SimulatedDeployment deployment = started(seed);
            deployment.targets().lateGrants(0.05);
            deployment.store().loseAnswers(0.1);
            deployment.repeat(3_000, 9_000, () -> deployment.restartTarget(300, 1_500));
            deployment.repeat(4_000, 12_000, () -> deployment.replaceTarget(2_500, 1_000));
            deployment.repeat(6_000, 20_000, () -> deployment.cutOffTarget(2_000, 6_000));
            deployment.repeat(8_000, 20_000, () -> deployment.isolateGrantor(3_000, 15_000));
            deployment.repeat(8_000, 20_000, () -> deployment.restartGrantor(100, 3_000));
            deployment.repeat(2_000, 6_000, () -> deployment.stepTimeOfDay(2_000));

            assertRulesHold(deployment);
        }
    }

    @Nested
    class FrozenGrantors {

        /** What a grantor sent before it stood still arrives after its successor began, and it goes on with old answers. */
        @ParameterizedTest
        @MethodSource(SEEDS)
        void do_not_grant_what_their_successor_moved(long seed) {
            SimulatedDeployment deployment = started(seed);
            deployment.targets().lateGrants(0.05);
            deployment.repeat(4_000, 9_000, () -> deployment.freezeGrantor(500, 14_000));
            deployment.repeat(3_000, 9_000, () -> deployment.restartTarget(300, 1_500));
            deployment.repeat(4_000, 9_000, () -> deployment.replaceTarget(2_500, 1_000));

            assertRulesHold(deployment);
        }
    }

    @Nested
    class OutdatedCopies {

        /** A term starts by the copy of the store that a host has then, which arrives late or was read in pages. */
        @ParameterizedTest
        @MethodSource(SEEDS)
        void of_the_store_give_no_key_two_owners(long seed) {
            SimulatedDeployment deployment = new SimulatedDeployment(seed, 5, TARGETS);
            deployment.runUntil(START_MILLIS);
            deployment.store().lateWrites(0.1);
            deployment.repeat(500, 2_500, () -> deployment.delayUpdates(6_000, 5_000));
            deployment.repeat(2_000, 6_000, () -> deployment.discardHistory(1_500));
            deployment.repeat(3_000, 8_000, () -> deployment.restartGrantor(100, 3_000));
            deployment.repeat(9_000, 20_000, () -> deployment.isolateGrantor(3_000, 15_000));
            deployment.repeat(4_000, 9_000, () -> deployment.replaceTarget(2_500, 1_000));

            assertRulesHold(deployment);
        }
    }

    @Nested
    class KilledHosts {

        /** All hosts end at once, and those that come back first have no term to go by. */
        @ParameterizedTest
        @MethodSource(SEEDS)
        void that_return_together_respect_present_holds(long seed) {
            SimulatedDeployment deployment = new SimulatedDeployment(seed, 5, TARGETS);
            deployment.runUntil(START_MILLIS);
            deployment.targets().lateGrants(0.1);
            deployment.store().lateWrites(0.1);
            deployment.repeat(4_000, 14_000, () -> deployment.restartAllHosts(100, 5_000));
            deployment.repeat(3_000, 9_000, () -> deployment.restartTarget(300, 1_500));
            deployment.repeat(5_000, 12_000, () -> deployment.cutOffTarget(2_000, 6_000));

            assertRulesHold(deployment);
        }
    }

    @Nested
    class RestoredStore {

        private SimulatedDeployment startedWithCopies(long seed, int hosts) {
            SimulatedDeployment deployment = new SimulatedDeployment(seed, hosts, TARGETS);
            deployment.store().startInEpoch(seed % 3);
            deployment.store().keepHistory();
            deployment.runUntil(START_MILLIS);
            return deployment;
        }

        /** The store came back with an older table, lower fencing tokens and revisions that it gave out again. */
        @ParameterizedTest
        @MethodSource(SEEDS)
        void gives_no_key_two_owners(long seed) {
            SimulatedDeployment deployment = startedWithCopies(seed, HOSTS);
            deployment.repeat(6_000, 20_000, () -> deployment.restoreStore(6_000, 4_000));
            deployment.repeat(3_000, 9_000, () -> deployment.replaceTarget(2_500, 1_000));

            assertRulesHold(deployment);
        }

        /** Each host may see the new epoch at another time, by an old copy, after a restart or in the middle of a move. */
        @ParameterizedTest
        @MethodSource(SEEDS)
        void gives_no_key_two_owners_among_all_other_faults(long seed) {
            SimulatedDeployment deployment = startedWithCopies(seed, 5);
            deployment.targets().lateGrants(0.05);
            deployment.store().loseAnswers(0.05);
            deployment.store().lateWrites(0.1);
            deployment.repeat(5_000, 25_000, () -> deployment.restoreStore(6_000, 4_000));
            deployment.repeat(1_500, 6_000, () -> deployment.delayUpdates(6_000, 5_000));
            deployment.repeat(4_000, 12_000, () -> deployment.discardHistory(1_500));
            deployment.repeat(3_000, 9_000, () -> deployment.restartTarget(300, 1_500));
            deployment.repeat(4_000, 12_000, () -> deployment.replaceTarget(2_500, 1_000));
            deployment.repeat(6_000, 20_000, () -> deployment.cutOffTarget(2_000, 6_000));
            deployment.repeat(6_000, 20_000, () -> deployment.cutOffTargetFromMostHosts(8_000, 14_000));
            deployment.repeat(8_000, 20_000, () -> deployment.isolateGrantor(3_000, 15_000));
            deployment.repeat(8_000, 20_000, () -> deployment.restartGrantor(100, 3_000));
            deployment.repeat(20_000, 60_000, () -> deployment.restartAllHosts(100, 5_000));
            deployment.repeat(8_000, 20_000, () -> deployment.freezeGrantor(500, 14_000));
            deployment.repeat(2_000, 6_000, () -> deployment.stepTimeOfDay(2_000));

            assertRulesHold(deployment);
        }

        /** A table that the store has lost stayed unwritten, or its outdated owners stayed without grants. */
        @ParameterizedTest
        @MethodSource(SEEDS)
        void gives_all_keys_an_owner_again(long seed) {
            SimulatedDeployment deployment = startedWithCopies(seed, HOSTS);
            deployment.repeat(6_000, 20_000, () -> deployment.restoreStore(6_000, 4_000));
            deployment.repeat(4_000, 9_000, () -> deployment.restartGrantor(100, 3_000));

            deployment.runUntil(CALM_FROM_MILLIS);
            deployment.runUntilCalm(OWNER_WITHIN_OF_RESTORE_MILLIS);
            assertThat(deployment.checker().violations()).isEmpty();
        }
    }

    @Nested
    class OwnersAfterFaults {

        private void assertAllKeysOwned(SimulatedDeployment deployment) {
            deployment.runUntil(CALM_FROM_MILLIS);
            deployment.runUntilCalm(OWNER_WITHIN_MILLIS);
            assertThat(deployment.checker().violations()).isEmpty();
        }

        /** Targets without keys stayed marked as unresponsive; when the last one with keys crashed, none could get them. */
        @ParameterizedTest
        @MethodSource(SEEDS)
        void return_after_restarts_of_targets(long seed) {
            SimulatedDeployment deployment = started(seed);
            deployment.repeat(500, 2_500, () -> deployment.restartTarget(300, 1_500));

            assertAllKeysOwned(deployment);
        }

        /** Keys waited for the end of a hold of an owner that answered again, with a new grantor for up to 13.6 s. */
        @ParameterizedTest
        @MethodSource(SEEDS)
        void return_after_kills_of_grantors(long seed) {
            SimulatedDeployment deployment = started(seed);
            deployment.repeat(3_000, 9_000, () -> deployment.cutOffTarget(1_000, 2_000));
            deployment.repeat(4_000, 9_000, () -> deployment.restartGrantor(100, 3_000));

            assertAllKeysOwned(deployment);
        }
    }
}
