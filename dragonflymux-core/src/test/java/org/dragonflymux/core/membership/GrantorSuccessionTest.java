package org.dragonflymux.core.membership;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.dragonflymux.core.name.FailureDomain;
import org.dragonflymux.core.name.HostId;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class GrantorSuccessionTest {

    private static final long GRACE_MILLIS = 10_000;

    private final FleetMember self = member("c", 5);
    private final GrantorSuccession succession = GrantorSuccession.of(self, GRACE_MILLIS);
    private long now = 50_000;

    private static FleetMember member(String host, long incarnation) {
        return new FleetMember(HostId.of(host), incarnation, FailureDomain.of("z"), "127.0.0.1:7100");
    }

    private static FormerGrantor former(String host, long incarnation, long millis) {
        return new FormerGrantor(HostId.of(host), incarnation, millis);
    }

    private void lastTerm(FleetMember holder, FormerGrantor... former) {
        GrantorTerm term = new GrantorTerm(holder, 70, 3, new FormerGrantors(Arrays.asList(former), 0));
        succession.lastTermChanged(Optional.of(term), 3, now);
    }

    private FormerGrantors formerGrantors(FleetMember... members) {
        Map<HostId, FleetMember> registered =
                Arrays.stream(members).collect(Collectors.toMap(FleetMember::host, Function.identity()));
        return succession.formerGrantors(registered, now);
    }

    @Nested
    class TheLastGrantor {

        @Test
        void is_no_former_one_if_there_was_none() {
            assertThat(formerGrantors(self)).isEqualTo(FormerGrantors.NONE);
        }

        @Test
        void may_renew_for_the_whole_grace_period_however_long_its_term_is_known() {
            lastTerm(member("a", 1));
            now += 3 * GRACE_MILLIS;

            assertThat(formerGrantors(self, member("a", 1)).named()).containsExactly(former("a", 1, GRACE_MILLIS));
        }

        @Test
        void has_ended_if_its_host_has_started_again() {
            lastTerm(member("a", 1));

            assertThat(formerGrantors(self, member("a", 2))).isEqualTo(FormerGrantors.NONE);
        }

        @Test
        void has_ended_if_it_was_an_earlier_incarnation_of_this_host() {
            lastTerm(member("c", 4));

            assertThat(formerGrantors(self)).isEqualTo(FormerGrantors.NONE);
        }

        /** Guards against a grantor that waits for nobody, since another writer left an odd record in place of the last term. */
        @Test
        void may_be_any_host_if_its_record_is_unreadable() {
            succession.lastTermChanged(Optional.empty(), 3, now);

            assertThat(formerGrantors(self)).isEqualTo(FormerGrantors.unnamed(GRACE_MILLIS));
        }
    }

    /** Guards against a grantor that waits only for the last one, while one before it, without the store, still renews. */
    @Nested
    class GrantorsBeforeTheLast {

        @Test
        void may_renew_though_the_last_has_ended() {
            lastTerm(member("c", 4), former("a", 1, 9_000));

            assertThat(formerGrantors(self, member("a", 1)).named()).containsExactly(former("a", 1, 9_000));
        }

        @Test
        void may_renew_for_what_is_left_since_their_record_is_known() {
            lastTerm(member("b", 1), former("a", 1, 9_000));
            now += 4_000;

            assertThat(formerGrantors(self).named())
                    .containsExactlyInAnyOrder(former("a", 1, 5_000), former("b", 1, GRACE_MILLIS));
        }

        @Test
        void do_not_get_more_time_by_an_update_without_a_new_term() {
            lastTerm(member("c", 4), former("a", 1, 9_000));
            now += 4_000;
            lastTerm(member("c", 4), former("a", 1, 9_000));

            assertThat(formerGrantors().renewForMillis()).isEqualTo(5_000);
        }

        @Test
        void have_ended_after_their_time() {
            lastTerm(member("c", 4), former("a", 1, 9_000));
            now += 9_000;

            assertThat(formerGrantors()).isEqualTo(FormerGrantors.NONE);
        }

        @Test
        void have_ended_if_their_hosts_have_started_again() {
            lastTerm(member("c", 4), former("a", 1, 9_000), former("b", 6, 8_000));

            assertThat(formerGrantors(member("a", 2), member("b", 6)).named()).containsExactly(former("b", 6, 8_000));
        }

        @Test
        void are_named_once_if_they_were_the_last_grantor_too() {
            lastTerm(member("a", 2), former("a", 1, 3_000));

            assertThat(formerGrantors().named()).containsExactly(former("a", 2, GRACE_MILLIS));
        }
    }

    @Nested
    class TheRecordOfATerm {

        private final FormerGrantors oneHost = new FormerGrantors(List.of(former("a", 1, 9_000)), 0);
        private final GrantorTerm term = new GrantorTerm(self, 70, 3, oneHost);

        @Test
        void is_outdated_when_the_time_of_all_is_over() {
            succession.lastTermChanged(Optional.of(term), 3, now);
            now += 8_999;
            assertThat(succession.hasOutdatedFormerGrantors(term, now)).isFalse();
            now += 1;

            assertThat(succession.hasOutdatedFormerGrantors(term, now)).isTrue();
        }

        @Test
        void is_left_alone_once_it_was_updated_or_another_term_has_begun() {
            succession.lastTermChanged(Optional.of(term), 3, now);
            succession.lastTermChanged(Optional.of(term), 9, now);
            now += GRACE_MILLIS;

            assertThat(succession.hasOutdatedFormerGrantors(term, now)).isFalse();
        }

        @Test
        void is_left_alone_if_it_names_nobody() {
            GrantorTerm first = new GrantorTerm(self, 70, 3, FormerGrantors.NONE);
            succession.lastTermChanged(Optional.of(first), 3, now);

            assertThat(succession.hasOutdatedFormerGrantors(first, now + GRACE_MILLIS))
                    .isFalse();
        }
    }
}
