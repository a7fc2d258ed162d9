package org.dragonflymux.core.membership;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.dragonflymux.core.name.FailureDomain;
import org.dragonflymux.core.name.HostId;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Terms of grantors when the store comes back from a copy. */
class GrantorAfterRestoreTest {

    private static final long GRACE_MILLIS = 10_000;
    private static final long REVISION = StoreEpoch.qualify(1, 40);
    private static final long RESTORED_REVISION = StoreEpoch.qualify(2, 40);
    private static final long LEASE = StoreEpoch.qualify(1, 7);

    private final FleetMember self = member("c");
    private final FleetMember other = member("a");
    private long now = 50_000;

    private static FleetMember member(String host) {
        return new FleetMember(HostId.of(host), 5, FailureDomain.of("z"), "127.0.0.1:7100");
    }

    private static GrantorTerm term(FleetMember holder, long revision, FormerGrantors former, boolean restored) {
        return new GrantorTerm(holder, LEASE, revision, former, 0, restored);
    }

    @Nested
    class Succession {

        private final GrantorSuccession succession = GrantorSuccession.of(self, GRACE_MILLIS);

        private void epochOne(FleetMember holder, FormerGrantors former) {
            succession.epochSeen(1, false, now);
            succession.lastTermChanged(Optional.of(term(holder, REVISION, former, false)), REVISION, now);
        }

        private void restored(long epoch, boolean soleGrantor) {
            long revision = StoreEpoch.qualify(epoch, 40);
            succession.epochSeen(epoch, soleGrantor, now);
            succession.lastTermChanged(Optional.of(term(other, revision, FormerGrantors.NONE, true)), revision, now);
        }

        /** Guards against keys given away too early: the record of the term whose grantor still renews is lost. */
        @Test
        void waits_for_any_host_in_the_first_term_of_an_epoch() {
            epochOne(other, FormerGrantors.NONE);
            restored(2, false);

            assertThat(succession.formerGrantors(Map.of(), now)).isEqualTo(FormerGrantors.unnamed(GRACE_MILLIS));
            assertThat(succession.followsRestore()).isTrue();
        }

        /** Guards against a term that waits for nobody: the copy was made before the first claim. */
        @Test
        void waits_for_any_host_if_the_copy_has_no_term() {
            epochOne(other, FormerGrantors.NONE);
            succession.epochSeen(2, false, now);
            succession.lastTermChanged(Optional.empty(), 0, now);

            assertThat(succession.formerGrantors(Map.of(), now)).isEqualTo(FormerGrantors.unnamed(GRACE_MILLIS));
            assertThat(succession.followsRestore()).isTrue();
        }

        /** Guards against a wait that is longer than needed: a host claims the role some time after it saw the restore. */
        @Test
        void waits_from_the_time_at_which_it_saw_the_restore() {
            epochOne(other, FormerGrantors.NONE);
            succession.epochSeen(2, false, now);
            now += 3_000;
            restored(2, false);

            assertThat(succession.formerGrantors(Map.of(), now))
                    .isEqualTo(FormerGrantors.unnamed(GRACE_MILLIS - 3_000));
        }

        @Test
        void waits_for_the_former_grantors_only_that_the_sole_grantor_of_the_epoch_before_waited_for() {
            FormerGrantors former = new FormerGrantors(List.of(new FormerGrantor(other.host(), 5, 9_000)), 0);
            epochOne(self, former);
            now += 2_000;
            restored(2, true);

            assertThat(succession.formerGrantors(Map.of(), now).named())
                    .containsExactly(new FormerGrantor(other.host(), 5, 7_000));
        }

        /** Guards against a term that doesn't wait for a host of an earlier version, which may be the grantor of this epoch. */
        @Test
        void waits_for_the_holder_of_a_record_without_an_epoch() {
            epochOne(self, FormerGrantors.NONE);
            succession.epochSeen(2, true, now);
            now += 20_000;
            GrantorTerm term = new GrantorTerm(other, LEASE, RESTORED_REVISION, FormerGrantors.NONE, 0, false, true);
            succession.lastTermChanged(Optional.of(term), RESTORED_REVISION, now);

            assertThat(succession.soleGrantorBefore()).isFalse();
            assertThat(succession.formerGrantors(Map.of(), now).unnamedMillis()).isEqualTo(GRACE_MILLIS);
            now += 20_000;
            assertThat(succession.formerGrantors(Map.of(), now).named())
                    .containsExactly(new FormerGrantor(other.host(), 5, GRACE_MILLIS));
        }

        /** Guards against a proof that is too old: the epoch in between may have had another grantor. */
        @Test
        void does_not_take_a_host_for_the_sole_grantor_if_an_epoch_was_missed() {
            epochOne(self, FormerGrantors.NONE);
            restored(3, true);

            assertThat(succession.soleGrantorBefore()).isFalse();
            assertThat(succession.formerGrantors(Map.of(), now)).isEqualTo(FormerGrantors.unnamed(GRACE_MILLIS));
        }

        /** Guards against other numbers in a deployment whose store was never restored, whatever epoch it starts in. */
        @Test
        void follows_no_restore_in_the_first_epoch_that_is_seen() {
            succession.epochSeen(5, false, now);
            succession.lastTermChanged(Optional.empty(), 0, now);

            assertThat(succession.formerGrantors(Map.of(), now)).isEqualTo(FormerGrantors.NONE);
            assertThat(succession.followsRestore()).isFalse();
        }

        @Test
        void follows_a_restore_in_all_later_terms_and_epochs() {
            long floor = StoreEpoch.fenceFloor(2);
            succession.epochSeen(2, false, now);
            succession.lastTermChanged(
                    Optional.of(new GrantorTerm(other, LEASE, RESTORED_REVISION, FormerGrantors.NONE, floor, false)),
                    RESTORED_REVISION,
                    now);

            assertThat(succession.followsRestore()).isTrue();
        }
    }

    @Nested
    class Membership {

        private final MembershipStateMachine machine = MembershipStateMachine.of(self, GRACE_MILLIS);

        @BeforeEach
        void leadInEpochOne() {
            machine.epochSeen(1, now);
            machine.leaseObtained(LEASE, MembershipStateMachine.LONG_LEASE_MILLIS, now);
            machine.memberRegistered(self);
            machine.synced(now);
            machine.grantorChanged(Optional.of(term(self, REVISION, FormerGrantors.NONE, false)), REVISION, now);
            machine.tick(now);
            assertThat(machine.termConfirmed(now)).isTrue();
        }

        @Test
        void was_the_sole_grantor_while_its_lease_was_valid() {
            assertThat(machine.epochSeen(2, now + MembershipStateMachine.LEASE_MILLIS - 1))
                    .isTrue();
        }

        /** Guards against a proof by a lease that had ended: another host may have been the grantor before the restore. */
        @Test
        void may_have_been_succeeded_once_its_lease_had_ended() {
            assertThat(machine.epochSeen(2, now + MembershipStateMachine.LEASE_MILLIS))
                    .isFalse();
        }

        /** Guards against seconds without owners: the grantor stopped renewing as soon as it saw the copy. */
        @Test
        void renews_until_its_time_is_over_or_another_term_begins() {
            machine.epochSeen(2, now);
            machine.grantorChanged(Optional.empty(), RESTORED_REVISION, now);
            machine.tick(now);
            assertThat(machine.activeTerm()).isPresent();

            GrantorTerm next = term(other, StoreEpoch.qualify(2, 41), FormerGrantors.NONE, false);
            machine.grantorChanged(Optional.of(next), next.revision(), now);
            machine.tick(now);
            assertThat(machine.activeTerm()).isEmpty();
        }

        /** Guards against moves by a term that the store has lost. */
        @Test
        void does_not_confirm_its_term_by_a_lease_of_the_new_epoch() {
            machine.epochSeen(2, now);
            machine.grantorChanged(Optional.empty(), RESTORED_REVISION, now);
            machine.leaseEnded();
            machine.leaseObtained(StoreEpoch.qualify(2, 7), MembershipStateMachine.LONG_LEASE_MILLIS, now);
            machine.tick(now);

            assertThat(machine.activeTerm()).isPresent();
            assertThat(machine.termConfirmed(now)).isFalse();
        }

        private boolean claimsWithin(MembershipStateMachine claimant, long millis) {
            boolean claimed = false;
            for (long end = now + millis; now < end; now += 50) {
                claimed |= claimant.tick(now).stream().anyMatch(MembershipEffect.ClaimGrantorRole.class::isInstance);
            }
            return claimed;
        }

        /** Guards against keys that wait for all earlier holds, though their grantor could go on with them at once. */
        @Test
        void of_the_earlier_grantor_comes_before_the_claims_of_others() {
            MembershipStateMachine follower = MembershipStateMachine.of(other, GRACE_MILLIS);
            follower.epochSeen(1, now);
            follower.leaseObtained(LEASE, MembershipStateMachine.LONG_LEASE_MILLIS, now);
            follower.memberRegistered(other);
            follower.synced(now);
            follower.epochSeen(2, now);
            follower.grantorChanged(Optional.empty(), RESTORED_REVISION, now);
            machine.epochSeen(2, now);
            machine.grantorChanged(Optional.empty(), RESTORED_REVISION, now);

            long seenAt = now;
            assertThat(claimsWithin(machine, 1_000)).isTrue();
            assertThat(claimsWithin(follower, seenAt + 2_900 - now)).isFalse();
            assertThat(claimsWithin(follower, 2_000)).isTrue();
        }

        @Test
        void renews_what_it_granted_before_in_its_next_term_for_the_rest_of_that_time() {
            machine.epochSeen(2, now);
            long revision = StoreEpoch.qualify(2, 41);
            machine.grantorChanged(Optional.of(term(self, revision, FormerGrantors.NONE, false)), revision, now);
            machine.tick(now);

            assertThat(machine.renewsEarlierEpoch(now + GRACE_MILLIS - 1)).isTrue();
            assertThat(machine.renewsEarlierEpoch(now + GRACE_MILLIS)).isFalse();
        }
    }
}
