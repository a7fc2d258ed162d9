package org.dragonflymux.core.shard;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import org.dragonflymux.core.balance.TargetDirectory;
import org.dragonflymux.core.balance.TargetEntry;
import org.dragonflymux.core.desired.ServiceSpec;
import org.dragonflymux.core.membership.FormerGrantors;
import org.dragonflymux.core.name.FailureDomain;
import org.dragonflymux.core.name.ServiceName;
import org.dragonflymux.core.name.TargetId;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class GrantStateMachineTest {

    private static final ServiceName SERVICE = ServiceName.of("orders");
    private static final GrantSettings SETTINGS = GrantSettings.forMaxHold(10_000);
    private static final FormerGrantors ANY_HOST_RENEWS = FormerGrantors.unnamed(SETTINGS.renewalGraceMillis());
    private static final long START = 100_000;
    private static final KeyRange RANGE = new KeyRange(0, 99);

    private final TargetDirectory directory = TargetDirectory.empty();
    private final GrantStateMachine machine =
            GrantStateMachine.of(new ServiceSpec(SERVICE, "/health", 100, 3_000, 10, true), SETTINGS, directory);
    private long now = START;

    private static TargetEntry entry(String id, long incarnation, boolean draining) {
        return new TargetEntry(
                TargetId.of(id), SERVICE, "127.0.0.1:1", FailureDomain.of("a"), 3, draining, 0, incarnation);
    }

    private static Assignment ownedBy(String owner, long fence) {
        return new Assignment(RANGE, TargetId.of(owner), 1, fence, Optional.empty());
    }

    private static Assignment movingTo(String owner, long fence, String to, long nextFence) {
        return new Assignment(
                RANGE,
                TargetId.of(owner),
                1,
                fence,
                Optional.of(new Move(TargetId.of(to), to.equals(owner) ? 2 : 1, nextFence)));
    }

    private static ShardTable table(Assignment assignment) {
        return ShardTable.EMPTY.with(assignment);
    }

    /** Lets the time pass in which grants of an earlier grantor may still be carried out. */
    private void awaitCallsOfPredecessor() {
        now += SETTINGS.callTimeoutMillis() + SETTINGS.worstCaseHoldMillis();
    }

    private <T extends GrantEffect> List<T> of(Class<T> type, List<GrantEffect> effects) {
        return effects.stream().filter(type::isInstance).map(type::cast).toList();
    }

    private List<GrantEffect> tick() {
        return machine.tick(true, now);
    }

    private List<GrantEffect> runFor(long millis) {
        List<GrantEffect> effects = new ArrayList<>();
        for (long end = now + millis; now < end; now += 50) {
            effects.addAll(tick());
        }
        return effects;
    }

    @BeforeEach
    void twoTargets() {
        directory.replace(List.of(entry("a", 1, false), entry("b", 1, false)), now);
    }

    @Nested
    class Renewal {

        @BeforeEach
        void startLeading() {
            machine.tableStored(table(ownedBy("a", 5)), 1);
            machine.startLeading(FormerGrantors.NONE, now, now);
        }

        @Test
        void grants_the_keys_of_the_table_immediately() {
            assertThat(of(GrantEffect.Grant.class, tick()))
                    .extracting(GrantEffect.Grant::target, GrantEffect.Grant::fence)
                    .containsExactly(org.assertj.core.groups.Tuple.tuple(TargetId.of("a"), 5L));
        }

        @Test
        void happens_again_well_before_a_hold_ends() {
            GrantEffect.Grant first = of(GrantEffect.Grant.class, tick()).getFirst();
            machine.callEnded(first.call(), new GrantResult.Done(Optional.empty()), now);
            now += SETTINGS.holdMillis() / 2;

            assertThat(of(GrantEffect.Grant.class, tick())).hasSize(1);
        }

        @Test
        void continues_while_the_lease_is_not_confirmed() {
            assertThat(of(GrantEffect.Grant.class, machine.tick(false, now))).hasSize(1);
        }

        /**
         * Guards against keys without an owner while the store is away for all hosts: their target had closed the connection of its
         * grants shortly before, and a new one needs a valid lease.
         */
        @Test
        void is_repeated_at_once_if_the_target_closed_the_last_proven_connection() {
            GrantEffect.Grant first = of(GrantEffect.Grant.class, tick()).getFirst();
            machine.callEnded(first.call(), new GrantResult.Done(Optional.empty(), true), now);
            List<GrantEffect.Grant> again = of(GrantEffect.Grant.class, tick());
            assertThat(again).hasSize(1);
            machine.callEnded(again.getFirst().call(), new GrantResult.Done(Optional.empty()), now);

            assertThat(of(GrantEffect.Grant.class, tick())).isEmpty();
        }

        /** A host that had just started sent 671 grants at once and did not answer other calls for two seconds. */
        @Test
        void of_many_assignments_is_sent_in_small_batches_and_covers_all_before_their_holds_end() {
            ShardTable manyAssignments = ShardTable.EMPTY;
            for (int i = 0; i < 100; i++) {
                manyAssignments = manyAssignments.with(new Assignment(
                        new KeyRange(i * 10, i * 10 + 4), TargetId.of("a"), 1, i + 1L, Optional.empty()));
            }
            machine.tableStored(manyAssignments, 2);
            long latest = START + SETTINGS.holdMillis();
            int granted = 0;
            for (; now < latest; now += 50) {
                List<GrantEffect.Grant> grants = of(GrantEffect.Grant.class, tick());
                assertThat(grants).hasSizeLessThanOrEqualTo(5);
                grants.forEach(grant -> machine.callEnded(grant.call(), new GrantResult.Done(Optional.empty()), now));
                granted += grants.size();
            }

            assertThat(granted).isGreaterThanOrEqualTo(100);
        }

        @Test
        void stops_when_the_host_is_no_longer_the_grantor() {
            machine.stopLeading();

            assertThat(tick()).isEmpty();
        }
    }

    @Nested
    class Moving {

        private List<GrantEffect> begin(FormerGrantors formerGrantors) {
            machine.tableStored(table(ownedBy("a", 5)), 1);
            machine.startLeading(formerGrantors, now, now);
            awaitCallsOfPredecessor();
            GrantEffect.Grant renewal = of(GrantEffect.Grant.class, tick()).getFirst();
            machine.callEnded(renewal.call(), new GrantResult.Done(Optional.empty()), now);
            directory.replace(List.of(entry("a", 1, true), entry("b", 1, false)), now);
            now += 250;
            List<GrantEffect> planned = tick();
            GrantEffect.Persist persist = of(GrantEffect.Persist.class, planned).getFirst();
            assertThat(of(GrantEffect.Release.class, planned)).isEmpty();
            machine.tableStored(persist.table(), 2);
            return runFor(100);
        }

        @Test
        void releases_only_after_the_planned_move_is_stored() {
            assertThat(of(GrantEffect.Release.class, begin(FormerGrantors.NONE)))
                    .extracting(GrantEffect.Release::target)
                    .containsExactly(TargetId.of("a"));
        }

        @Test
        void passes_the_handover_token_to_the_new_owner_under_a_higher_fence() {
            GrantEffect.Release release =
                    of(GrantEffect.Release.class, begin(FormerGrantors.NONE)).getFirst();

            List<GrantEffect> after =
                    machine.callEnded(release.call(), new GrantResult.Done(Optional.of("token")), now);

            GrantEffect.Grant grant = of(GrantEffect.Grant.class, after).getFirst();
            assertThat(grant.target()).isEqualTo(TargetId.of("b"));
            assertThat(grant.fence()).isGreaterThan(5);
            assertThat(grant.handover()).contains("token");
        }

        @Test
        void fences_the_old_owner_again_while_a_predecessor_may_still_renew() {
            List<GrantEffect> first = begin(ANY_HOST_RENEWS);

            assertThat(of(GrantEffect.Release.class, first)).isEmpty();
            GrantEffect.Grant fencing = of(GrantEffect.Grant.class, first).getFirst();
            assertThat(fencing.target()).isEqualTo(TargetId.of("a"));
            List<GrantEffect> next = machine.callEnded(fencing.call(), new GrantResult.Done(Optional.empty()), now);
            assertThat(of(GrantEffect.Release.class, next).getFirst().fence()).isGreaterThan(fencing.fence());
        }

        @Test
        void does_not_continue_without_a_confirmed_lease() {
            machine.tableStored(table(movingTo("a", 5, "b", 9)), 1);
            machine.startLeading(FormerGrantors.NONE, now, now);
            now += 1_000;

            assertThat(machine.tick(false, now)).isEmpty();
        }
    }

    /** The process of an owner has ended and another one has its address, while an earlier grantor may still renew. */
    @Nested
    class EndedOwner {

        private GrantEffect.Grant fencing;

        @BeforeEach
        void lose() {
            machine.tableStored(table(ownedBy("a", 5)), 1);
            machine.startLeading(ANY_HOST_RENEWS, now, now);
            awaitCallsOfPredecessor();
            directory.replace(List.of(entry("b", 1, false)), now);
            now += 250;
            GrantEffect.Persist persist =
                    of(GrantEffect.Persist.class, runFor(500)).getFirst();
            machine.tableStored(persist.table(), 2);
            fencing = of(GrantEffect.Grant.class, runFor(100)).stream()
                    .filter(grant -> grant.target().equals(TargetId.of("a")))
                    .reduce((first, second) -> second)
                    .orElseThrow();
        }

        private boolean granted(List<GrantEffect> effects) {
            return of(GrantEffect.Grant.class, effects).stream()
                    .anyMatch(grant -> grant.target().equals(TargetId.of("b")));
        }

        /** Guards against keys without an owner for the time of renewals that no process can take. */
        @Test
        void its_keys_move_at_once() {
            List<GrantEffect> after = machine.callEnded(fencing.call(), new GrantResult.TargetEnded(), now);
            after.addAll(runFor(200));

            assertThat(granted(after)).isTrue();
        }

        /** Guards against a second owner: a call that merely fails proves nothing. */
        @Test
        void its_keys_stay_while_it_only_fails_to_answer() {
            List<GrantEffect> after = machine.callEnded(fencing.call(), new GrantResult.NotSent(), now);
            after.addAll(runFor(1_000));

            assertThat(granted(after)).isFalse();
        }

        /** Guards against a second owner: the table may name a later incarnation than the directory of this host knows. */
        @Test
        void keys_of_a_later_incarnation_stay_though_the_address_of_an_earlier_one_is_reused() {
            directory.replace(List.of(entry("a", 1, false), entry("b", 1, false)), now);
            machine.tableStored(
                    ShardTable.EMPTY.with(new Assignment(KeyRange.ALL, TargetId.of("a"), 2, 50, Optional.empty())), 3);
            for (long call = 1; call <= fencing.call(); call++) {
                machine.callEnded(call, new GrantResult.TargetEnded(), now);
            }

            assertThat(granted(answerCallsToA(3_000, new GrantResult.TargetEnded())))
                    .isFalse();
        }

        /** Stores all tables and answers all calls to the lost owner alike for a while. */
        private List<GrantEffect> answerCallsToA(long millis, GrantResult result) {
            List<GrantEffect> all = new ArrayList<>();
            long revision = 3;
            for (long end = now + millis; now < end; now += 50) {
                Deque<GrantEffect> pending = new ArrayDeque<>(tick());
                while (!pending.isEmpty()) {
                    GrantEffect effect = pending.removeFirst();
                    all.add(effect);
                    if (effect instanceof GrantEffect.Persist persist) {
                        machine.tableStored(persist.table(), ++revision);
                    } else if (effect instanceof GrantEffect.Grant grant
                            && grant.target().equals(TargetId.of("a"))) {
                        pending.addAll(machine.callEnded(grant.call(), result, now));
                    }
                }
            }
            return all;
        }

        /** Guards against a second owner: a later incarnation of the owner may hold the keys at another address. */
        @Test
        void its_keys_stay_if_it_has_started_again() {
            directory.replace(List.of(entry("a", 2, false), entry("b", 1, false)), now);

            List<GrantEffect> after = machine.callEnded(fencing.call(), new GrantResult.TargetEnded(), now);
            after.addAll(runFor(1_000));

            assertThat(granted(after)).isFalse();
        }
    }

    @Nested
    class UnreachableOwner {

        private List<GrantEffect> failEveryCall(long millis) {
            List<GrantEffect> seen = new ArrayList<>();
            for (long end = now + millis; now < end; now += 50) {
                for (GrantEffect effect : tick()) {
                    seen.add(effect);
                    if (effect instanceof GrantEffect.Grant grant
                            && grant.target().equals(TargetId.of("a"))) {
                        machine.callEnded(grant.call(), new GrantResult.Unknown(), now);
                    } else if (effect instanceof GrantEffect.Release release) {
                        machine.callEnded(release.call(), new GrantResult.Unknown(), now);
                    } else if (effect instanceof GrantEffect.Persist persist) {
                        machine.tableStored(persist.table(), now);
                    }
                }
            }
            return seen;
        }

        private boolean grantedToOther(List<GrantEffect> effects) {
            return of(GrantEffect.Grant.class, effects).stream()
                    .anyMatch(grant -> grant.target().equals(TargetId.of("b")));
        }

        @Test
        void keeps_its_keys_until_the_last_grant_has_expired() {
            machine.tableStored(table(ownedBy("a", 5)), 1);
            machine.startLeading(FormerGrantors.NONE, now, now);

            assertThat(grantedToOther(failEveryCall(SETTINGS.holdMillis()))).isFalse();
            assertThat(grantedToOther(failEveryCall(6_000))).isTrue();
        }

        /** Guards against a service that was added late in a term and waits anew for what has ended. */
        @Test
        void keeps_its_keys_for_as_long_as_if_granting_had_begun_with_the_term() {
            machine.tableStored(table(ownedBy("a", 5)), 1);
            machine.startLeading(ANY_HOST_RENEWS, now - 60_000, now);

            assertThat(grantedToOther(failEveryCall(SETTINGS.holdMillis()))).isFalse();
            assertThat(grantedToOther(failEveryCall(3_000))).isTrue();
        }

        @Test
        void keeps_its_keys_longer_if_a_predecessor_may_still_renew() {
            machine.tableStored(table(ownedBy("a", 5)), 1);
            machine.startLeading(ANY_HOST_RENEWS, now, now);

            assertThat(grantedToOther(failEveryCall(SETTINGS.renewalGraceMillis())))
                    .isFalse();
            assertThat(grantedToOther(failEveryCall(8_000))).isTrue();
        }

        /** Guards against keys without an owner for 13.6 s under a new grantor, though their owner answered again after one. */
        @Test
        void is_asked_again_for_its_keys_while_a_predecessor_may_still_renew() {
            machine.tableStored(table(ownedBy("a", 5)), 1);
            machine.startLeading(ANY_HOST_RENEWS, now, now);
            failEveryCall(2_000);
            List<GrantEffect> effects = runFor(1_500);

            GrantEffect.Grant fencing = of(GrantEffect.Grant.class, effects).getFirst();
            assertThat(of(
                            GrantEffect.Release.class,
                            machine.callEnded(fencing.call(), new GrantResult.Done(Optional.empty()), now)))
                    .hasSize(1);
        }
    }

    /** Guards against keys that no target may get: targets stayed marked as unresponsive after their keys had moved away. */
    @Nested
    class UnresponsiveTarget {

        private void moveAllKeysToOther() {
            machine.tableStored(table(ownedBy("a", 5)), 1);
            machine.startLeading(FormerGrantors.NONE, now, now);
            for (long end = now + 10_000; now < end; now += 50) {
                for (GrantEffect effect : tick()) {
                    switch (effect) {
                        case GrantEffect.Grant grant -> machine.callEnded(grant.call(), resultOf(grant), now);
                        case GrantEffect.Release release ->
                            machine.callEnded(release.call(), new GrantResult.Unknown(), now);
                        case GrantEffect.Persist persist -> machine.tableStored(persist.table(), now);
                    }
                }
            }
            assertThat(machine.table().assignments())
                    .extracting(Assignment::owner)
                    .containsOnly(TargetId.of("b"));
        }

        private GrantResult resultOf(GrantEffect.Grant grant) {
            return grant.target().equals(TargetId.of("a"))
                    ? new GrantResult.Unknown()
                    : new GrantResult.Done(Optional.empty());
        }

        private List<Assignment> plannedAfterLossOfOther(long incarnation) {
            directory.replace(List.of(entry("a", incarnation, false), entry("b", 1, true)), now);
            return of(GrantEffect.Persist.class, runFor(1_000)).stream()
                    .flatMap(persist -> persist.table().assignments().stream())
                    .filter(assignment -> assignment.move().isPresent())
                    .toList();
        }

        @Test
        void gets_no_keys() {
            moveAllKeysToOther();

            assertThat(plannedAfterLossOfOther(1)).isEmpty();
        }

        @Test
        void may_get_keys_after_it_has_started_again() {
            moveAllKeysToOther();

            assertThat(plannedAfterLossOfOther(2)).isNotEmpty();
        }

        @Test
        void may_get_keys_if_its_last_failed_call_was_long_ago() {
            moveAllKeysToOther();
            now += 60_000;

            assertThat(plannedAfterLossOfOther(1)).isNotEmpty();
        }
    }

    /** A renewal that was sent before the new entry was read may reach the new incarnation, which takes it. */
    @Nested
    class RestartedOwner {

        private final GrantResult done = new GrantResult.Done(Optional.empty());

        private List<GrantEffect> moveBegins(GrantResult lastRenewal) {
            machine.tableStored(table(ownedBy("a", 5)), 1);
            machine.startLeading(FormerGrantors.NONE, now, now);
            awaitCallsOfPredecessor();
            GrantEffect.Grant renewal = of(GrantEffect.Grant.class, tick()).getFirst();
            machine.callEnded(renewal.call(), lastRenewal, now);
            restartOwner(2);
            machine.tableStored(table(movingTo("a", 5, "b", 9)), 2);
            return runFor(100);
        }

        private void restartOwner(long incarnation) {
            directory.replace(List.of(entry("a", incarnation, false), entry("b", 1, false)), now);
        }

        private boolean grantsToOther(List<GrantEffect> effects) {
            return of(GrantEffect.Grant.class, effects).stream()
                    .anyMatch(grant -> grant.target().equals(TargetId.of("b")));
        }

        /** Guards against two targets with the same keys for three seconds after one of them was restarted. */
        @Test
        void is_asked_at_once_for_its_keys_and_loses_them_with_its_answer() {
            List<GrantEffect> first = moveBegins(done);
            GrantEffect.Release release = of(GrantEffect.Release.class, first).getFirst();

            assertThat(release.target()).isEqualTo(TargetId.of("a"));
            assertThat(grantsToOther(first)).isFalse();
            assertThat(grantsToOther(machine.callEnded(release.call(), done, now)))
                    .isTrue();
        }

        @Test
        void is_fenced_first_if_the_result_of_a_renewal_is_unknown() {
            List<GrantEffect> first = moveBegins(new GrantResult.Unknown());

            assertThat(of(GrantEffect.Release.class, first)).isEmpty();
            assertThat(of(GrantEffect.Grant.class, first))
                    .extracting(GrantEffect.Grant::target, GrantEffect.Grant::fence)
                    .containsExactly(org.assertj.core.groups.Tuple.tuple(TargetId.of("a"), 7L));
        }

        /** Guards against a release by an incarnation that has ended since then counting for its successor. */
        @Test
        void is_asked_again_if_it_restarts_once_more() {
            GrantEffect.Release first =
                    of(GrantEffect.Release.class, moveBegins(done)).getFirst();
            restartOwner(3);
            GrantEffect.Release second =
                    of(GrantEffect.Release.class, runFor(100)).getFirst();

            assertThat(grantsToOther(machine.callEnded(first.call(), done, now)))
                    .isFalse();
            assertThat(grantsToOther(machine.callEnded(second.call(), done, now)))
                    .isTrue();
        }

        @Test
        void loses_its_keys_without_an_answer_when_the_last_grant_has_expired() {
            GrantEffect.Release release =
                    of(GrantEffect.Release.class, moveBegins(done)).getFirst();
            machine.callEnded(release.call(), new GrantResult.NotSent(), now);

            assertThat(grantsToOther(runFor(SETTINGS.holdMillis() - 200))).isFalse();
            now += 1_000;
            assertThat(grantsToOther(runFor(100))).isTrue();
        }

        @Test
        void gets_its_keys_again_at_once_under_a_higher_fence() {
            machine.tableStored(table(movingTo("a", 5, "a", 9)), 1);
            machine.startLeading(FormerGrantors.NONE, now, now);
            restartOwner(2);

            assertThat(of(GrantEffect.Grant.class, tick()))
                    .extracting(GrantEffect.Grant::target, GrantEffect.Grant::fence)
                    .containsExactly(org.assertj.core.groups.Tuple.tuple(TargetId.of("a"), 9L));
        }
    }

    @Nested
    class PredecessorsCalls {

        /** A grant that an ended grantor had sent was carried out after the release of its keys, which knew nothing of it. */
        @Test
        void may_still_be_carried_out_so_the_old_owner_is_fenced_before_a_release() {
            machine.tableStored(table(ownedBy("a", 5)), 1);
            machine.startLeading(FormerGrantors.NONE, now, now);
            now += 500;
            GrantEffect.Grant renewal = of(GrantEffect.Grant.class, tick()).getFirst();
            machine.callEnded(renewal.call(), new GrantResult.Done(Optional.empty()), now);
            machine.tableStored(table(movingTo("a", 5, "b", 9)), 2);

            List<GrantEffect> effects = runFor(100);

            assertThat(of(GrantEffect.Release.class, effects)).isEmpty();
            assertThat(of(GrantEffect.Grant.class, effects))
                    .extracting(GrantEffect.Grant::target, GrantEffect.Grant::fence)
                    .containsExactly(org.assertj.core.groups.Tuple.tuple(TargetId.of("a"), 7L));
        }
    }

    @Nested
    class PredecessorsMove {

        @Test
        void is_resumed_by_a_release_without_another_grant_to_the_old_owner() {
            machine.tableStored(table(movingTo("a", 5, "b", 9)), 1);
            machine.startLeading(ANY_HOST_RENEWS, now, now);

            List<GrantEffect> effects = runFor(1_000);

            assertThat(of(GrantEffect.Release.class, effects))
                    .extracting(GrantEffect.Release::fence)
                    .containsExactly(8L);
            assertThat(of(GrantEffect.Grant.class, effects)).isEmpty();
        }

        /** The grant that fenced the old owner was carried out after the release, and had the same fencing token. */
        @Test
        void is_resumed_under_a_higher_token_than_that_of_any_grant_to_the_old_owner() {
            machine.tableStored(table(ownedBy("a", 5)), 1);
            machine.startLeading(ANY_HOST_RENEWS, now, now);
            machine.tableStored(table(movingTo("a", 5, "b", 9)), 2);
            GrantEffect.Grant fencing = of(GrantEffect.Grant.class, runFor(100)).getFirst();
            machine.stopLeading();
            machine.startLeading(FormerGrantors.NONE, now, now);

            GrantEffect.Release release =
                    of(GrantEffect.Release.class, runFor(1_000)).getFirst();

            assertThat(release.fence()).isGreaterThan(fencing.fence()).isLessThan(9);
        }
    }

    @Test
    void the_initial_table_is_written_after_targets_had_time_to_register() {
        machine.startLeading(FormerGrantors.NONE, now, now);
        assertThat(of(GrantEffect.Persist.class, runFor(1_000))).isEmpty();

        assertThat(of(GrantEffect.Persist.class, runFor(1_000)))
                .first()
                .extracting(persist -> persist.table().assignments().size())
                .isEqualTo(2);
    }
}
