package org.dragonflymux.core.membership;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.dragonflymux.core.name.FailureDomain;
import org.dragonflymux.core.name.HostId;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class MembershipStateMachineTest {

    private static final long RENEWAL_GRACE_MILLIS = 10_000;
    /** The validity of leases by a store that gives at least what is asked for. */
    private static final long GIVEN_MILLIS = MembershipStateMachine.LONG_LEASE_MILLIS;

    private final FleetMember self = member("b", 1);
    private final MembershipStateMachine machine = MembershipStateMachine.of(self, RENEWAL_GRACE_MILLIS);
    private long now = 50_000;

    private static FleetMember member(String host, long incarnation) {
        return new FleetMember(HostId.of(host), incarnation, FailureDomain.of("z"), "127.0.0.1:7100");
    }

    private static Optional<GrantorTerm> term(FleetMember holder, long lease, long revision) {
        return Optional.of(new GrantorTerm(holder, lease, revision, FormerGrantors.NONE));
    }

    private List<MembershipEffect> runFor(long millis) {
        List<MembershipEffect> effects = new ArrayList<>();
        for (long end = now + millis; now < end; now += 50) {
            effects.addAll(machine.tick(now));
        }
        return effects;
    }

    private static boolean containsClaim(List<MembershipEffect> effects) {
        return effects.stream().anyMatch(MembershipEffect.ClaimGrantorRole.class::isInstance);
    }

    private void register() {
        machine.leaseObtained(7, GIVEN_MILLIS, now);
        machine.memberRegistered(self);
    }

    @Test
    void obtains_a_lease_first_and_registers_after_the_store_has_been_read() {
        assertThat(machine.tick(now))
                .containsExactly(new MembershipEffect.ObtainLease(MembershipStateMachine.LEASE_MILLIS));
        machine.leaseObtained(7, GIVEN_MILLIS, now);
        assertThat(machine.tick(now)).isEmpty();
        machine.synced(now);

        assertThat(machine.tick(now)).containsExactly(new MembershipEffect.Register(7, self));
    }

    @Test
    void renews_the_lease_and_counts_its_validity_from_the_sending_of_the_call() {
        machine.leaseObtained(7, GIVEN_MILLIS, now);
        now += 1_000;

        assertThat(machine.tick(now)).contains(new MembershipEffect.RenewLease(7));
        machine.leaseRenewed(now);
        assertThat(machine.leaseConfirmed(now + MembershipStateMachine.LEASE_MILLIS - 1))
                .isTrue();
        assertThat(machine.leaseConfirmed(now + MembershipStateMachine.LEASE_MILLIS))
                .isFalse();
    }

    /** Guards against losing the lease, and the roles that depend on it, because of one lost answer. */
    @Test
    void repeats_an_unanswered_renewal_in_time_for_its_answer_to_arrive_before_the_lease_ends() {
        machine.leaseObtained(7, GIVEN_MILLIS, now);
        long latestUsefulCall = now + MembershipStateMachine.LEASE_MILLIS - 500;
        int renewals = 0;
        for (; now <= latestUsefulCall; now += 50) {
            renewals += machine.tick(now).contains(new MembershipEffect.RenewLease(7)) ? 1 : 0;
        }

        assertThat(renewals).isEqualTo(2);
    }

    /** Guards against hosts that burden a store which refuses their calls. */
    @Test
    void tries_less_often_the_more_calls_in_a_row_were_refused() {
        int calls = 0;
        for (long end = now + 9_000; now < end; now += 50) {
            if (machine.tick(now).contains(new MembershipEffect.ObtainLease(MembershipStateMachine.LEASE_MILLIS))) {
                calls++;
                machine.leaseCallFailed(now);
            }
        }

        assertThat(calls).isBetween(5, 10);
    }

    /** Guards against calls to the store that grow with the fleet: each host renewed a short lease whether it had a role or not. */
    @Nested
    class LongLeases {

        private final MembershipEffect obtainLong =
                new MembershipEffect.ObtainLease(MembershipStateMachine.LONG_LEASE_MILLIS);
        private final MembershipEffect obtainShort =
                new MembershipEffect.ObtainLease(MembershipStateMachine.LEASE_MILLIS);

        private void obtainedLongLease() {
            register();
            machine.grantorChanged(term(member("a", 1), 70, 3), 3, now);
            machine.synced(now);
            assertThat(runFor(1_100)).contains(obtainLong);
            machine.leaseObtained(8, GIVEN_MILLIS, now);
            assertThat(machine.tick(now)).contains(new MembershipEffect.Register(8, self));
            machine.writeEnded(true, now);
        }

        @Test
        void replace_the_short_one_of_a_host_without_a_role_and_are_renewed_rarely() {
            obtainedLongLease();
            int renewals = 0;
            for (long end = now + 60_000; now < end; now += 50) {
                if (machine.tick(now).contains(new MembershipEffect.RenewLease(8))) {
                    renewals++;
                    machine.leaseRenewed(now);
                }
            }

            assertThat(renewals).isBetween(10, 20);
            assertThat(machine.leaseConfirmed(now)).isTrue();
        }

        @Test
        void are_not_used_by_a_host_with_a_role() {
            machine.roleChanged(true);
            register();
            machine.grantorChanged(term(member("a", 1), 70, 3), 3, now);
            machine.synced(now);

            assertThat(runFor(10_000)).doesNotContain(obtainLong);
        }

        @Test
        void are_replaced_by_a_short_one_before_a_role_is_claimed() {
            obtainedLongLease();
            machine.grantorChanged(Optional.empty(), 0, now);
            List<MembershipEffect> effects = runFor(1_000);
            assertThat(effects).contains(obtainShort);
            assertThat(containsClaim(effects)).isFalse();

            machine.leaseObtained(9, GIVEN_MILLIS, now);
            assertThat(machine.tick(now)).contains(new MembershipEffect.Register(9, self));
            machine.writeEnded(true, now);

            assertThat(machine.tick(now)).contains(new MembershipEffect.ClaimGrantorRole(9, self, 0, 0));
        }

        @Test
        void stay_in_use_if_the_store_refuses_another_one() {
            obtainedLongLease();
            machine.seekRole(now);
            runFor(5_000);
            machine.leaseCallFailed(now);

            assertThat(machine.lease()).isEqualTo(8);
            assertThat(machine.hasShortLease()).isFalse();
        }
    }

    @Nested
    class Claiming {

        @BeforeEach
        void registered() {
            register();
        }

        @Test
        void waits_while_there_is_a_grantor() {
            machine.grantorChanged(term(member("a", 1), 70, 3), 3, now);
            machine.synced(now);

            assertThat(containsClaim(runFor(3_000))).isFalse();
        }

        @Test
        void happens_if_there_is_no_grantor() {
            machine.synced(now);

            assertThat(containsClaim(runFor(1_000))).isTrue();
        }

        @Test
        void replaces_an_earlier_incarnation_of_this_host_immediately() {
            machine.grantorChanged(term(member("b", 0), 70, 3), 3, now);
            machine.synced(now);

            assertThat(machine.tick(now)).contains(new MembershipEffect.ClaimGrantorRole(7, self, 3, 0));
        }

        /** Guards against a fleet without a grantor because another writer left an odd record in its place. */
        @Test
        void replaces_an_unreadable_record() {
            machine.grantorChanged(Optional.empty(), 3, now);
            machine.synced(now);

            assertThat(runFor(1_000)).contains(new MembershipEffect.ClaimGrantorRole(7, self, 3, 0));
        }

        @Test
        void replaces_a_grantor_whose_host_is_registered_with_a_later_incarnation() {
            machine.grantorChanged(term(member("a", 1), 70, 3), 3, now);
            machine.memberRegistered(member("a", 2));
            machine.synced(now);

            assertThat(containsClaim(machine.tick(now))).isTrue();
        }

        @Test
        void does_not_happen_while_the_host_is_stopping() {
            machine.synced(now);
            machine.stopping();

            assertThat(containsClaim(runFor(3_000))).isFalse();
        }
    }

    @Nested
    class GrantorRole {

        /** Guards against a host that grants keys after it gave its lease back: its claim was on the way when it was stopped. */
        @Test
        void is_not_taken_by_a_claim_that_is_carried_out_after_the_stop() {
            register();
            machine.synced(now);
            assertThat(containsClaim(runFor(1_000))).isTrue();
            machine.leaseRenewed(now);
            machine.stopping();
            machine.grantorChanged(term(self, 7, 5), 5, now);
            machine.tick(now);

            assertThat(machine.termConfirmed(now)).isFalse();
            assertThat(machine.activeTerm()).isEmpty();
        }

        private MembershipEffect.GrantorRoleChanged elected(Optional<FleetMember> last) {
            register();
            machine.lastGrantorChanged(last, last.isPresent() ? 2 : 0);
            machine.synced(now);
            runFor(1_000);
            machine.leaseRenewed(now);
            machine.grantorChanged(term(self, 7, 4), 4, now);
            return machine.tick(now).stream()
                    .filter(MembershipEffect.GrantorRoleChanged.class::isInstance)
                    .map(MembershipEffect.GrantorRoleChanged.class::cast)
                    .findFirst()
                    .orElseThrow();
        }

        @Test
        void begins_with_the_former_grantors_of_the_stored_term() {
            FormerGrantors former = new FormerGrantors(List.of(new FormerGrantor(HostId.of("a"), 1, 9_000)), 0);
            register();
            machine.leaseRenewed(now);
            machine.grantorChanged(Optional.of(new GrantorTerm(self, 7, 4, former)), 4, now);

            assertThat(machine.tick(now).stream()
                            .filter(MembershipEffect.GrantorRoleChanged.class::isInstance)
                            .map(MembershipEffect.GrantorRoleChanged.class::cast)
                            .flatMap(changed -> changed.term().stream())
                            .map(GrantorTerm::formerGrantors))
                    .containsExactly(former);
        }

        @Test
        void ends_when_the_renewal_grace_period_has_passed() {
            elected(Optional.empty());
            now += RENEWAL_GRACE_MILLIS;

            assertThat(machine.tick(now)).contains(new MembershipEffect.GrantorRoleChanged(Optional.empty()));
        }

        @Test
        void ends_when_another_host_becomes_the_grantor() {
            elected(Optional.empty());
            machine.grantorChanged(term(member("a", 1), 70, 9), 9, now);

            assertThat(machine.tick(now)).contains(new MembershipEffect.GrantorRoleChanged(Optional.empty()));
        }

        /** Guards against a host that renews grants by an outdated table after it obtained another lease. */
        @Test
        void is_not_continued_by_another_lease() {
            elected(Optional.empty());
            machine.leaseEnded();
            now += RENEWAL_GRACE_MILLIS;
            machine.tick(now);
            machine.leaseObtained(8, GIVEN_MILLIS, now);

            assertThat(runFor(1_000)).noneMatch(MembershipEffect.GrantorRoleChanged.class::isInstance);
            assertThat(machine.termConfirmed(now)).isFalse();
        }

        @Test
        void lasts_for_the_renewal_grace_period_beside_another_lease_that_changes_no_table() {
            elected(Optional.empty());
            machine.leaseEnded();
            machine.leaseObtained(8, GIVEN_MILLIS, now);

            assertThat(runFor(1_000)).noneMatch(MembershipEffect.GrantorRoleChanged.class::isInstance);
            assertThat(machine.leaseConfirmed(now)).isTrue();
            assertThat(machine.termConfirmed(now)).isFalse();
        }

        /** Guards against knowledge of an earlier term: another host may have granted keys in between. */
        @Test
        void begins_anew_with_each_term() {
            elected(Optional.empty());
            machine.leaseEnded();
            machine.leaseObtained(8, GIVEN_MILLIS, now);
            machine.grantorChanged(term(self, 8, 9), 9, now);

            assertThat(machine.tick(now)).contains(new MembershipEffect.GrantorRoleChanged(term(self, 8, 9)));
            assertThat(machine.termConfirmed(now)).isTrue();
        }

        /** Guards against a claim that overlooks a grantor in between, whose lease has ended but which may still renew. */
        @Test
        void is_claimed_only_if_the_last_grantor_is_still_the_known_one() {
            register();
            machine.lastGrantorChanged(Optional.of(self), 6);
            machine.synced(now);

            assertThat(machine.tick(now)).contains(new MembershipEffect.ClaimGrantorRole(7, self, 0, 6));
        }
    }

    /** Guards against a lease that counts as valid for longer, since the earlier one was confirmed later. */
    @Test
    void a_new_lease_is_valid_from_the_sending_of_its_own_call() {
        machine.leaseObtained(7, GIVEN_MILLIS, now);
        machine.leaseObtained(8, GIVEN_MILLIS, now - 1_000);

        assertThat(machine.leaseConfirmed(now + MembershipStateMachine.LEASE_MILLIS - 1_000))
                .isFalse();
    }

    /** Guards against a grantor that acts on a lease that has ended: a store may give a lease for less than was asked for. */
    @Test
    void a_lease_is_valid_for_no_longer_than_the_store_has_given_it() {
        machine.leaseObtained(7, 1_000, now);

        assertThat(machine.leaseConfirmed(now + 999)).isTrue();
        assertThat(machine.leaseConfirmed(now + 1_000)).isFalse();
    }

    @Test
    void a_lease_that_the_store_gives_for_less_is_renewed_in_time() {
        machine.leaseObtained(7, 1_000, now);
        int unanswered = 0;
        for (long end = now + 900; now < end; now += 50) {
            unanswered += machine.tick(now).contains(new MembershipEffect.RenewLease(7)) ? 1 : 0;
        }

        assertThat(unanswered).isEqualTo(2);
    }

    /** Guards against a host without a role that asks for a long lease again and again. */
    @Test
    void a_long_lease_that_the_store_gives_for_less_is_not_asked_for_again() {
        register();
        machine.grantorChanged(term(member("a", 1), 70, 3), 3, now);
        machine.synced(now);
        runFor(1_100);
        machine.leaseObtained(8, 2_000, now);
        machine.tick(now);
        machine.writeEnded(true, now);

        assertThat(runFor(1_900)).noneMatch(MembershipEffect.ObtainLease.class::isInstance);
    }
}
