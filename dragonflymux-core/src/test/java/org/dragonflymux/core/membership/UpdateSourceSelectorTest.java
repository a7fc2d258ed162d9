package org.dragonflymux.core.membership;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Optional;
import org.dragonflymux.core.name.FailureDomain;
import org.dragonflymux.core.name.HostId;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class UpdateSourceSelectorTest {

    private static final FleetMember SELF = member("self");
    private static final FleetMember GRANTOR = member("grantor");
    /** The time within which a change in the store must take effect. */
    private static final long CHANGE_DEADLINE_MILLIS = 2_000;

    private final UpdateSourceSelector selector = UpdateSourceSelector.of(SELF);

    private static FleetMember member(String host) {
        return new FleetMember(HostId.of(host), 1, FailureDomain.of("z"), "127.0.0.1:7100");
    }

    @Test
    void watches_the_store_if_there_is_no_grantor_or_this_host_is_the_grantor() {
        assertThat(selector.mustWatchStore(0)).isTrue();
        selector.grantorChanged(Optional.of(SELF), 0);

        assertThat(selector.mustWatchStore(0)).isTrue();
        assertThat(selector.source(0)).isEmpty();
    }

    @Test
    void does_not_watch_the_store_while_updates_of_the_grantor_are_fresh() {
        selector.grantorChanged(Optional.of(GRANTOR), 0);
        assertThat(selector.source(0)).contains(GRANTOR);
        assertThat(selector.mustWatchStore(0)).isTrue();
        selector.updatesReceived(900, 1_000);

        assertThat(selector.mustWatchStore(1_000)).isFalse();
    }

    @Test
    void watches_the_store_well_before_the_change_deadline_if_the_grantor_is_silent() {
        selector.grantorChanged(Optional.of(GRANTOR), 0);
        selector.updatesReceived(1_000, 1_000);

        assertThat(selector.mustWatchStore(1_000 + CHANGE_DEADLINE_MILLIS / 2)).isTrue();
    }

    /**
     * Guards against accepting revoked credentials: a grantor whose calls the store refuses may still relay outdated
     * updates. In a benchmark run, 36 requests with a revoked credential were executed for this reason.
     */
    @Test
    void watches_the_store_if_the_grantor_sends_outdated_updates() {
        selector.grantorChanged(Optional.of(GRANTOR), 0);
        for (long now = 0; now <= CHANGE_DEADLINE_MILLIS; now += 200) {
            selector.updatesReceived(0, now);
            if (now >= CHANGE_DEADLINE_MILLIS * 3 / 4) {
                assertThat(selector.mustWatchStore(now)).isTrue();
            }
        }
    }

    @Test
    void avoids_a_silent_grantor_for_a_while() {
        selector.grantorChanged(Optional.of(GRANTOR), 0);
        selector.mustWatchStore(5_000);

        assertThat(selector.source(5_000)).isEmpty();
        assertThat(selector.source(8_000)).contains(GRANTOR);
    }

    /**
     * Guards against a host that subscribes to itself after a restart: its own old updates looked fresh for over a second, in
     * which all hosts that followed it claimed roles with outdated revisions.
     */
    @Test
    void does_not_follow_an_earlier_incarnation_of_this_host() {
        FleetMember earlier = new FleetMember(SELF.host(), SELF.incarnation() - 1, SELF.domain(), SELF.peerAddress());
        selector.grantorChanged(Optional.of(earlier), 0);

        assertThat(selector.source(0)).isEmpty();
        assertThat(selector.mustWatchStore(0)).isTrue();
    }

    @Nested
    class InALargeFleet {

        private final FleetMember collector = member("collector");

        @BeforeEach
        void setUpCollectorAndGrantor() {
            selector.grantorChanged(Optional.of(GRANTOR), 0);
            selector.collectorChanged(Optional.of(collector), 0);
        }

        @Test
        void subscribes_to_the_collector_of_its_group_and_not_to_the_grantor() {
            assertThat(selector.source(0)).contains(collector);
            selector.updatesReceived(900, 1_000);

            assertThat(selector.mustWatchStore(1_000)).isFalse();
        }

        @Test
        void subscribes_to_the_grantor_while_the_collector_is_silent() {
            selector.mustWatchStore(1_500);

            assertThat(selector.source(1_500)).contains(GRANTOR);
            assertThat(selector.source(1_500 + 2_000)).contains(collector);
        }

        @Test
        void still_follows_the_collector_while_there_is_no_grantor() {
            selector.updatesReceived(900, 1_000);
            selector.grantorChanged(Optional.empty(), 1_000);

            assertThat(selector.source(1_100)).contains(collector);
            assertThat(selector.mustWatchStore(1_100)).isFalse();
        }

        @Test
        void follows_nobody_as_the_grantor() {
            selector.grantorChanged(Optional.of(SELF), 0);

            assertThat(selector.source(0)).isEmpty();
            assertThat(selector.mustWatchStore(0)).isTrue();
        }
    }
}
