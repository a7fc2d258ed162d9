package org.dragonflymux.core.shard;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
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
import org.junit.jupiter.api.Test;

/** What the grantor's state machine reports of plans and moves for the log. */
class PlacementReportTest {

    private static final ServiceName SERVICE = ServiceName.of("orders");
    private static final long RELEASE_MILLIS = 300;
    private static final long GRANT_MILLIS = 20;
    private static final int HOT_KEY = 10;

    private final TargetDirectory directory = TargetDirectory.empty();
    private final GrantStateMachine machine = GrantStateMachine.of(
            new ServiceSpec(SERVICE, "/health", 100, 3_000, 10, true), GrantSettings.forMaxHold(10_000), directory);
    private long now = 100_000;

    private static TargetEntry entry(String id) {
        return new TargetEntry(TargetId.of(id), SERVICE, "127.0.0.1:1", FailureDomain.of("a"), 3, false, 0, 1);
    }

    private static Assignment owned(KeyRange range, Optional<Move> move) {
        return new Assignment(range, TargetId.of("a"), 1, 5, move);
    }

    @BeforeEach
    void twoTargets() {
        directory.replace(List.of(entry("a"), entry("b")), now);
    }

    private void startLeading(Assignment assignment) {
        machine.tableStored(ShardTable.EMPTY.with(assignment), 1);
        machine.startLeading(FormerGrantors.NONE, now, now);
    }

    private void hotKeys(int requests) {
        for (int i = 0; i < requests; i++) {
            machine.recordRequest(HOT_KEY + i % 10, now);
        }
    }

    @Test
    void a_plan_with_moves_is_reported_once() {
        startLeading(owned(KeyRange.ALL, Optional.empty()));
        hotKeys(100);

        machine.tick(true, now);

        assertThat(machine.takePlan()).hasValueSatisfying(plan -> {
            assertThat(plan.moves()).isNotEmpty();
            assertThat(plan.busiestUtilization()).isGreaterThan(plan.meanUtilization());
            assertThat(plan.movesInProgress()).isZero();
        });
        assertThat(machine.takePlan()).isEmpty();
    }

    @Test
    void a_plan_without_moves_is_not_reported() {
        startLeading(owned(KeyRange.ALL, Optional.empty()));
        machine.tick(true, now);
        machine.takePlan();
        KeyRange other = new KeyRange(0, 30_000);
        machine.tableStored(
                ShardTable.EMPTY
                        .with(owned(KeyRange.ALL, Optional.empty()))
                        .with(new Assignment(other, TargetId.of("b"), 1, 6, Optional.empty())),
                2);
        now += 1_000;

        machine.tick(true, now);

        assertThat(machine.takePlan()).isEmpty();
    }

    /** Requests that a host knew from an earlier term made it place keys by a load of long ago. */
    @Test
    void a_new_term_starts_without_the_requests_of_the_earlier_one() {
        startLeading(owned(KeyRange.ALL, Optional.empty()));
        hotKeys(100);
        machine.stopLeading();
        machine.startLeading(FormerGrantors.NONE, now, now);
        now += 400;

        machine.tick(true, now);

        assertThat(machine.takePlan()).isEmpty();
    }

    @Test
    void an_ended_move_tells_how_long_its_steps_took() {
        KeyRange range = new KeyRange(0, 99);
        Move move = new Move(TargetId.of("b"), 1, 9);
        startLeading(owned(range, Optional.of(move)));
        List<GrantEffect> effects = new ArrayList<>();
        // A move that a grantor finds at its start waits until the calls of the earlier one have ended.
        for (int i = 0; i < 20 && effects.stream().noneMatch(GrantEffect.Release.class::isInstance); i++, now += 50) {
            effects.addAll(machine.tick(true, now));
        }
        GrantEffect.Release release = (GrantEffect.Release) effects.stream()
                .filter(GrantEffect.Release.class::isInstance)
                .findFirst()
                .orElseThrow();
        now += RELEASE_MILLIS;
        GrantEffect.Grant grant = (GrantEffect.Grant)
                machine.callEnded(release.call(), new GrantResult.Done(Optional.of("token")), now).stream()
                        .filter(GrantEffect.Grant.class::isInstance)
                        .findFirst()
                        .orElseThrow();
        now += GRANT_MILLIS;

        machine.callEnded(grant.call(), new GrantResult.Done(Optional.empty()), now);

        assertThat(machine.takeEndedMoves()).singleElement().satisfies(ended -> {
            assertThat(ended.range()).isEqualTo(range);
            assertThat(ended.releaseMillis()).isGreaterThanOrEqualTo(RELEASE_MILLIS);
            assertThat(ended.grantMillis()).isEqualTo(GRANT_MILLIS);
            assertThat(ended.expiryMillis()).isZero();
            assertThat(ended.handover()).isTrue();
        });
        assertThat(machine.takeEndedMoves()).isEmpty();
    }
}
