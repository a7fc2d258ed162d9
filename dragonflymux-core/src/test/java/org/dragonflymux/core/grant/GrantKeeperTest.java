package org.dragonflymux.core.grant;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import org.dragonflymux.core.assignment.TargetHealth;
import org.dragonflymux.core.document.Fencing;
import org.dragonflymux.core.message.GrantReply;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class GrantKeeperTest {

    private static final Instant START = Instant.parse("2026-01-01T00:00:00Z");
    private static final Instant FOREVER = START.plusSeconds(3600);
    private static final String BOOT = "boot-1";

    private static Instant at(long millis) {
        return START.plusMillis(millis);
    }

    /** Exchanges the question for the clock and a first grant. */
    private static GrantKeeper granted(Fencing fencing) {
        GrantKeeper keeper = GrantKeeper.of(fencing, START);
        keeper.due(1, FOREVER, at(0));
        keeper.replied(1, new GrantReply.Answered(false, BOOT, 50_000, false), at(10));
        keeper.due(2, FOREVER, at(10));
        keeper.replied(2, new GrantReply.Answered(true, BOOT, 50_010, false), at(20));
        return keeper;
    }

    @Test
    void asksForTheClockBeforeItGrants() {
        GrantKeeper keeper = GrantKeeper.of(Fencing.CHECKED, START);
        assertThat(keeper.due(1, FOREVER, at(0)))
                .get()
                .extracting(GrantKeeper.Grant::boot)
                .isEqualTo("");
        assertThat(keeper.usable(at(1))).isFalse();
    }

    @Test
    void grantsUntilAPointOnTheTargetsOwnClock() {
        GrantKeeper keeper = GrantKeeper.of(Fencing.CHECKED, START);
        keeper.due(1, FOREVER, at(0));
        keeper.replied(1, new GrantReply.Answered(false, BOOT, 50_000, false), at(10));
        GrantKeeper.Grant grant = keeper.due(2, FOREVER, at(10)).orElseThrow();
        assertThat(grant.boot()).isEqualTo(BOOT);
        assertThat(grant.validUntilMillis()).isEqualTo(50_000 + GrantKeeper.LENGTH.toMillis());
    }

    @Test
    void neverGrantsPastItsOwnAuthority() {
        GrantKeeper keeper = GrantKeeper.of(Fencing.CHECKED, START);
        keeper.due(1, FOREVER, at(0));
        keeper.replied(1, new GrantReply.Answered(false, BOOT, 50_000, false), at(10));
        GrantKeeper.Grant grant = keeper.due(2, at(310), at(10)).orElseThrow();
        assertThat(grant.validUntilMillis()).isEqualTo(50_300);
    }

    @Nested
    class ALostTarget {

        @Test
        void isNotReportedBeforeItsGrantLapsed() {
            GrantKeeper keeper = granted(Fencing.CHECKED);
            keeper.refused();
            keeper.refused();
            assertThat(keeper.health(Instant.MIN, at(30))).isEqualTo(TargetHealth.UNCERTAIN);
            Instant lapsed = at(20).plus(GrantKeeper.LENGTH).plusMillis(100);
            assertThat(keeper.health(Instant.MIN, lapsed)).isEqualTo(TargetHealth.LOST);
        }

        @Test
        void isGivenUpForGoodUnderThisFence() {
            GrantKeeper keeper = granted(Fencing.CHECKED);
            keeper.refused();
            keeper.refused();
            Instant lapsed = at(20).plus(GrantKeeper.LENGTH).plusMillis(100);
            keeper.health(Instant.MIN, lapsed);
            keeper.alive(lapsed);
            assertThat(keeper.usable(lapsed)).isFalse();
            assertThat(keeper.due(9, FOREVER, lapsed)).isEmpty();
            assertThat(keeper.health(Instant.MIN, lapsed)).isEqualTo(TargetHealth.LOST);
        }

        @Test
        void thatChecksNothingStaysUncertainWhileItIsSilent() {
            GrantKeeper keeper = granted(Fencing.NONE);
            keeper.replied(3, new GrantReply.TimedOut(), at(1000));
            Instant late = at(60_000);
            assertThat(keeper.health(at(5000), late)).isEqualTo(TargetHealth.UNCERTAIN);
            keeper.refused();
            keeper.refused();
            assertThat(keeper.health(at(5000), late)).isEqualTo(TargetHealth.LOST);
        }

        @Test
        void thatChecksDeadlinesIsLostAfterTheLastOne() {
            GrantKeeper keeper = granted(Fencing.DEADLINE);
            keeper.replied(3, new GrantReply.TimedOut(), at(1000));
            assertThat(keeper.health(at(5000), at(4900))).isEqualTo(TargetHealth.UNCERTAIN);
            assertThat(keeper.health(at(5000), at(5100))).isEqualTo(TargetHealth.LOST);
        }
    }

    @Test
    void oneRefusedConnectionIsNoLoss() {
        GrantKeeper keeper = granted(Fencing.CHECKED);
        keeper.refused();
        assertThat(keeper.usable(at(30))).isTrue();
        assertThat(keeper.health(Instant.MIN, at(5000))).isNotEqualTo(TargetHealth.LOST);
    }

    @Test
    void aRestartIsNoticedAndEndsTheGrant() {
        GrantKeeper keeper = granted(Fencing.CHECKED);
        Instant next = at(10).plus(GrantKeeper.INTERVAL);
        keeper.due(3, FOREVER, next);
        keeper.replied(3, new GrantReply.Answered(false, "boot-2", 5, false), next);
        assertThat(keeper.takeRestarted()).isTrue();
        assertThat(keeper.usable(next)).isFalse();
    }

    @Test
    void aGrantEndsBeforeTheTargetsOwnEnd() {
        GrantKeeper keeper = granted(Fencing.CHECKED);
        assertThat(keeper.usable(at(100))).isTrue();
        assertThat(keeper.usable(at(0).plus(GrantKeeper.LENGTH).plus(Duration.ofMillis(20))))
                .isFalse();
    }
}
