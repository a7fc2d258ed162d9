package org.dragonflymux.core.grant;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import org.dragonflymux.core.assignment.TargetHealth;
import org.dragonflymux.core.document.Fencing;
import org.dragonflymux.core.message.GrantReply;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class GrantManagerTest {

    private static final Instant START = Instant.parse("2026-01-01T00:00:00Z");
    private static final Instant FOREVER = START.plusSeconds(3600);
    private static final String BOOT = "boot-1";

    private static Instant at(long millis) {
        return START.plusMillis(millis);
    }

    /** Returns a manager that has read the target's clock and given a first grant. */
    private static GrantManager grantManager(Fencing fencing) {
        GrantManager manager = GrantManager.of(fencing, START);
        manager.due(1, FOREVER, at(0));
        manager.handleReply(1, new GrantReply.Answered(false, BOOT, 50_000, false), at(10));
        manager.due(2, FOREVER, at(10));
        manager.handleReply(2, new GrantReply.Answered(true, BOOT, 50_010, false), at(20));
        return manager;
    }

    @Test
    void asksForTheClockBeforeTheFirstGrant() {
        GrantManager manager = GrantManager.of(Fencing.CHECKED, START);
        assertThat(manager.due(1, FOREVER, at(0)))
                .get()
                .extracting(GrantManager.Grant::boot)
                .isEqualTo("");
        assertThat(manager.usable(at(1))).isFalse();
    }

    @Test
    void grantsUntilAPointOnTheTargetsOwnClock() {
        GrantManager manager = GrantManager.of(Fencing.CHECKED, START);
        manager.due(1, FOREVER, at(0));
        manager.handleReply(1, new GrantReply.Answered(false, BOOT, 50_000, false), at(10));
        GrantManager.Grant grant = manager.due(2, FOREVER, at(10)).orElseThrow();
        assertThat(grant.boot()).isEqualTo(BOOT);
        assertThat(grant.validUntilMillis()).isEqualTo(50_000 + GrantManager.MAX_GRANT_DURATION.toMillis());
    }

    @Test
    void neverGrantsPastItsOwnAuthority() {
        GrantManager manager = GrantManager.of(Fencing.CHECKED, START);
        manager.due(1, FOREVER, at(0));
        manager.handleReply(1, new GrantReply.Answered(false, BOOT, 50_000, false), at(10));
        GrantManager.Grant grant = manager.due(2, at(310), at(10)).orElseThrow();
        assertThat(grant.validUntilMillis()).isEqualTo(50_300);
    }

    @Nested
    class ALostTarget {

        @Test
        void isNotReportedBeforeItsGrantLapsed() {
            GrantManager manager = grantManager(Fencing.CHECKED);
            manager.recordRefusedConnection();
            manager.recordRefusedConnection();
            assertThat(manager.health(Instant.MIN, at(30))).isEqualTo(TargetHealth.UNCERTAIN);
            Instant lapsed = at(20).plus(GrantManager.MAX_GRANT_DURATION).plusMillis(100);
            assertThat(manager.health(Instant.MIN, lapsed)).isEqualTo(TargetHealth.LOST);
        }

        @Test
        void isAbandonedPermanentlyUnderThisFence() {
            GrantManager manager = grantManager(Fencing.CHECKED);
            manager.recordRefusedConnection();
            manager.recordRefusedConnection();
            Instant lapsed = at(20).plus(GrantManager.MAX_GRANT_DURATION).plusMillis(100);
            manager.health(Instant.MIN, lapsed);
            manager.recordAlive(lapsed);
            assertThat(manager.usable(lapsed)).isFalse();
            assertThat(manager.due(9, FOREVER, lapsed)).isEmpty();
            assertThat(manager.health(Instant.MIN, lapsed)).isEqualTo(TargetHealth.LOST);
        }

        @Test
        void withoutFencingStaysUncertainWhileItIsUnresponsive() {
            GrantManager manager = grantManager(Fencing.NONE);
            manager.handleReply(3, new GrantReply.TimedOut(), at(1000));
            Instant late = at(60_000);
            assertThat(manager.health(at(5000), late)).isEqualTo(TargetHealth.UNCERTAIN);
            manager.recordRefusedConnection();
            manager.recordRefusedConnection();
            assertThat(manager.health(at(5000), late)).isEqualTo(TargetHealth.LOST);
        }

        @Test
        void thatChecksDeadlinesIsLostAfterTheLastDeadline() {
            GrantManager manager = grantManager(Fencing.DEADLINE);
            manager.handleReply(3, new GrantReply.TimedOut(), at(1000));
            assertThat(manager.health(at(5000), at(4900))).isEqualTo(TargetHealth.UNCERTAIN);
            assertThat(manager.health(at(5000), at(5100))).isEqualTo(TargetHealth.LOST);
        }
    }

    @Test
    void oneRefusedConnectionIsNotALoss() {
        GrantManager manager = grantManager(Fencing.CHECKED);
        manager.recordRefusedConnection();
        assertThat(manager.usable(at(30))).isTrue();
        assertThat(manager.health(Instant.MIN, at(5000))).isNotEqualTo(TargetHealth.LOST);
    }

    @Test
    void aRestartIsDetectedAndEndsTheGrant() {
        GrantManager manager = grantManager(Fencing.CHECKED);
        Instant next = at(10).plus(GrantManager.RENEWAL_INTERVAL);
        manager.due(3, FOREVER, next);
        manager.handleReply(3, new GrantReply.Answered(false, "boot-2", 5, false), next);
        assertThat(manager.takeRestarted()).isTrue();
        assertThat(manager.usable(next)).isFalse();
    }

    @Test
    void aGrantEndsHereBeforeItEndsOnTheTarget() {
        GrantManager manager = grantManager(Fencing.CHECKED);
        assertThat(manager.usable(at(100))).isTrue();
        assertThat(manager.usable(at(0).plus(GrantManager.MAX_GRANT_DURATION).plus(Duration.ofMillis(20))))
                .isFalse();
    }
}
