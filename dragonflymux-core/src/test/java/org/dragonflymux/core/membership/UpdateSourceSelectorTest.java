package org.dragonflymux.core.membership;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Optional;
import org.dragonflymux.core.name.FailureDomain;
import org.dragonflymux.core.name.HostId;
import org.junit.jupiter.api.Test;

class UpdateSourceSelectorTest {

    private static final FleetMember SELF = member("self");
    private static final FleetMember GRANTOR = member("grantor");
    /** In how many milliseconds a change has to be in force. */
    private static final long IN_FORCE_MILLIS = 2_000;

    private final UpdateSourceSelector choice = UpdateSourceSelector.of(SELF);

    private static FleetMember member(String host) {
        return new FleetMember(HostId.of(host), 1, FailureDomain.of("z"), "127.0.0.1:7100");
    }

    @Test
    void the_store_is_asked_while_there_is_no_grantor_or_it_is_this_host() {
        assertThat(choice.mustPollStore(0)).isTrue();
        choice.grantorChanged(Optional.of(SELF), 0);

        assertThat(choice.mustPollStore(0)).isTrue();
        assertThat(choice.source(0)).isEmpty();
    }

    @Test
    void the_grantors_news_suffices_while_it_is_fresh() {
        choice.grantorChanged(Optional.of(GRANTOR), 0);
        assertThat(choice.source(0)).contains(GRANTOR);
        assertThat(choice.mustPollStore(0)).isTrue();
        choice.updatesReceived(900, 1_000);

        assertThat(choice.mustPollStore(1_000)).isFalse();
    }

    @Test
    void a_silent_grantor_is_replaced_by_the_store_well_before_a_change_has_to_be_in_force() {
        choice.grantorChanged(Optional.of(GRANTOR), 0);
        choice.updatesReceived(1_000, 1_000);

        assertThat(choice.mustPollStore(1_000 + IN_FORCE_MILLIS / 2)).isTrue();
    }

    /** A grantor that the store refused passed on old news; 36 requests ran with a withdrawn credential on a bench day. */
    @Test
    void a_grantor_that_speaks_but_has_no_news_from_the_store_is_replaced_too() {
        choice.grantorChanged(Optional.of(GRANTOR), 0);
        for (long now = 0; now <= IN_FORCE_MILLIS; now += 200) {
            choice.updatesReceived(0, now);
            if (now >= IN_FORCE_MILLIS * 3 / 4) {
                assertThat(choice.mustPollStore(now)).isTrue();
            }
        }
    }

    @Test
    void a_grantor_that_stays_silent_is_left_alone_for_a_while() {
        choice.grantorChanged(Optional.of(GRANTOR), 0);
        choice.mustPollStore(5_000);

        assertThat(choice.source(5_000)).isEmpty();
        assertThat(choice.source(8_000)).contains(GRANTOR);
    }
}
