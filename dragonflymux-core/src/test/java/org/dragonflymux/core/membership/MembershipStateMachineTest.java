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

    private static final long RENEWS_MILLIS = 10_000;

    private final FleetMember self = member("b", 1);
    private final MembershipStateMachine duty = MembershipStateMachine.of(self, RENEWS_MILLIS);
    private long now = 50_000;

    private static FleetMember member(String host, long incarnation) {
        return new FleetMember(HostId.of(host), incarnation, FailureDomain.of("z"), "127.0.0.1:7100");
    }

    private List<MembershipEffect> runFor(long millis) {
        List<MembershipEffect> effects = new ArrayList<>();
        for (long end = now + millis; now < end; now += 50) {
            effects.addAll(duty.tick(now));
        }
        return effects;
    }

    private static boolean claims(List<MembershipEffect> effects) {
        return effects.stream().anyMatch(MembershipEffect.ClaimGrants.class::isInstance);
    }

    private void register() {
        duty.leased(7, now);
        duty.member(self);
    }

    @Test
    void a_lease_comes_first_and_the_record_once_the_store_has_been_read() {
        assertThat(duty.tick(now))
                .containsExactly(new MembershipEffect.ObtainLease(MembershipStateMachine.LEASE_MILLIS));
        duty.leased(7, now);
        assertThat(duty.tick(now)).isEmpty();
        duty.synced(now);

        assertThat(duty.tick(now)).containsExactly(new MembershipEffect.Register(7, self));
    }

    @Test
    void a_lease_is_renewed_and_counts_from_the_sending_of_the_call() {
        duty.leased(7, now);
        now += 800;

        assertThat(duty.tick(now)).contains(new MembershipEffect.RenewLease(7));
        duty.renewed(now);
        assertThat(duty.leaseConfirmed(now + MembershipStateMachine.LEASE_MILLIS - 1))
                .isTrue();
        assertThat(duty.leaseConfirmed(now + MembershipStateMachine.LEASE_MILLIS))
                .isFalse();
    }

    @Nested
    class Claiming {

        @BeforeEach
        void registered() {
            register();
        }

        @Test
        void waits_while_there_is_a_grantor() {
            duty.grantor(Optional.of(member("a", 1)), 3, now);
            duty.synced(now);

            assertThat(claims(runFor(3_000))).isFalse();
        }

        @Test
        void happens_when_there_is_none() {
            duty.synced(now);

            assertThat(claims(runFor(1_000))).isTrue();
        }

        @Test
        void replaces_the_hosts_own_former_life_at_once() {
            duty.grantor(Optional.of(member("b", 0)), 3, now);
            duty.synced(now);

            assertThat(duty.tick(now)).contains(new MembershipEffect.ClaimGrants(7, self, 3));
        }

        @Test
        void replaces_a_grantor_whose_host_is_registered_with_a_later_life() {
            duty.grantor(Optional.of(member("a", 1)), 3, now);
            duty.member(member("a", 2));
            duty.synced(now);

            assertThat(claims(duty.tick(now))).isTrue();
        }

        @Test
        void ends_when_the_host_stops() {
            duty.synced(now);
            duty.stopping();

            assertThat(claims(runFor(3_000))).isFalse();
        }
    }

    @Nested
    class Leading {

        private MembershipEffect.GrantsChanged elected(Optional<FleetMember> last) {
            register();
            duty.lastGrantor(last);
            duty.synced(now);
            runFor(1_000);
            duty.renewed(now);
            duty.grantor(Optional.of(self), 4, now);
            return duty.tick(now).stream()
                    .filter(MembershipEffect.GrantsChanged.class::isInstance)
                    .map(MembershipEffect.GrantsChanged.class::cast)
                    .findFirst()
                    .orElseThrow();
        }

        @Test
        void knows_that_nobody_led_before() {
            assertThat(elected(Optional.empty())).isEqualTo(new MembershipEffect.GrantsChanged(true, true));
        }

        @Test
        void allows_for_a_predecessor_that_may_still_run() {
            assertThat(elected(Optional.of(member("a", 1)))).isEqualTo(new MembershipEffect.GrantsChanged(true, false));
        }

        @Test
        void ends_some_time_after_the_last_news_from_the_store() {
            elected(Optional.empty());
            now += RENEWS_MILLIS;

            assertThat(duty.tick(now)).contains(new MembershipEffect.GrantsChanged(false, true));
        }

        @Test
        void ends_when_another_host_is_the_grantor() {
            elected(Optional.empty());
            duty.grantor(Optional.of(member("a", 1)), 9, now);

            assertThat(duty.tick(now)).contains(new MembershipEffect.GrantsChanged(false, true));
        }
    }
}
