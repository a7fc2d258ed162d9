package org.dragonflymux.core.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import org.dragonflymux.core.assignment.KeyHash;
import org.dragonflymux.core.assignment.Routes;
import org.dragonflymux.core.document.AssignmentTable;
import org.dragonflymux.core.document.Fencing;
import org.dragonflymux.core.document.Lane;
import org.dragonflymux.core.document.LaneState;
import org.dragonflymux.core.document.ServiceDocument;
import org.dragonflymux.core.document.TargetDeclaration;
import org.dragonflymux.core.document.UnitMove;
import org.dragonflymux.core.message.RefusalReason;
import org.dragonflymux.core.message.ServiceRequest;
import org.dragonflymux.core.name.CustomerName;
import org.dragonflymux.core.name.FailureDomain;
import org.dragonflymux.core.name.HostId;
import org.dragonflymux.core.name.ServiceName;
import org.dragonflymux.core.name.TargetId;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class DispatchLaneTest {

    private static final Instant START = Instant.parse("2026-01-01T00:00:00Z");
    private static final Instant DEADLINE = START.plusSeconds(5);
    private static final ServiceName SERVICE = ServiceName.of("svc");
    private static final HostId SELF = HostId.of("h1");
    private static final TargetDeclaration FIRST =
            new TargetDeclaration(TargetId.of("t1"), FailureDomain.of("a"), "127.0.0.1:1", 3);
    private static final TargetDeclaration SECOND =
            new TargetDeclaration(TargetId.of("t2"), FailureDomain.of("a"), "127.0.0.1:2", 3);
    private static final Lane LANE = new Lane(FIRST.id(), SELF, 1, LaneState.OPEN);
    private static final UnitMove MOVE = new UnitMove(0, SECOND.id(), 7);

    private static DispatchLane lane(Fencing fencing) {
        ServiceDocument service =
                new ServiceDocument(SERVICE, 1, fencing, null, 5000, 0, 0, 0, null, List.of(FIRST, SECOND));
        DispatchLane lane = DispatchLane.of(service, FIRST, LANE, START);
        lane.update(routes(List.of()), LANE, START);
        return lane;
    }

    private static Routes routes(List<UnitMove> moves) {
        Lane second = new Lane(SECOND.id(), SELF, 2, LaneState.OPEN);
        return Routes.of(
                new AssignmentTable(
                        SERVICE, 1, SELF, null, 0, 9, 1, List.of(), List.of(LANE, second), List.of(0), moves),
                1);
    }

    private static QueuedRequest request() {
        ServiceRequest body =
                new ServiceRequest(SERVICE, CustomerName.of("acme"), "k", "GET", "/", List.of(), new byte[0], null);
        return new QueuedRequest(1, body, KeyHash.of("k"), 1, true, 0, false, DEADLINE);
    }

    private static List<Long> closedMoves(DispatchLane lane, Instant now) {
        return lane.report(now).closedMoves();
    }

    @Nested
    class AMove {

        @Test
        void isClosedImmediatelyWhenNoRequestRuns() {
            DispatchLane lane = lane(Fencing.CHECKED);
            lane.update(routes(List.of(MOVE)), LANE, START);
            assertThat(lane.refusal(0)).contains(RefusalReason.KEY_MOVING);
            assertThat(closedMoves(lane, START)).containsExactly(MOVE.ticket());
        }

        @Test
        void waitsForRunningRequests() {
            DispatchLane lane = lane(Fencing.CHECKED);
            lane.recordSent(1, request());
            lane.update(routes(List.of(MOVE)), LANE, START);
            assertThat(closedMoves(lane, START)).isEmpty();
            lane.recordEnded(1, true);
            assertThat(closedMoves(lane, START)).containsExactly(MOVE.ticket());
        }

        @Test
        void waitsForTheDeadlineOfRequestsWithUnknownResult() {
            DispatchLane lane = lane(Fencing.CHECKED);
            lane.recordSent(1, request());
            lane.recordEnded(1, false);
            lane.update(routes(List.of(MOVE)), LANE, START);
            assertThat(closedMoves(lane, DEADLINE.minusMillis(1))).isEmpty();
            assertThat(closedMoves(lane, DEADLINE)).containsExactly(MOVE.ticket());
        }

        @Test
        void fromATargetThatChecksDeadlinesWaitsForRequestsOfAnEarlierDispatcher() {
            DispatchLane lane = lane(Fencing.DEADLINE);
            lane.update(routes(List.of(MOVE)), LANE, START);
            assertThat(closedMoves(lane, START.plusSeconds(4))).isEmpty();
            assertThat(closedMoves(lane, START.plusSeconds(5))).containsExactly(MOVE.ticket());
        }

        @Test
        void fromATargetWithoutFencingWaitsForSteadyAnswers() {
            DispatchLane lane = lane(Fencing.NONE);
            lane.update(routes(List.of(MOVE)), LANE, START);
            Instant late = START.plus(Duration.ofMinutes(10));
            assertThat(closedMoves(lane, late)).isEmpty();
            for (int second = 0; second <= 5; second++) {
                lane.grants().recordAlive(late.plusSeconds(second));
            }
            assertThat(closedMoves(lane, late.plusSeconds(5))).containsExactly(MOVE.ticket());
        }
    }

    @Nested
    class AUnit {

        @Test
        void keepsItsOwnershipTimeAcrossTableUpdates() {
            DispatchLane lane = lane(Fencing.CHECKED);
            lane.update(routes(List.of(MOVE)), LANE, START.plusSeconds(9));
            assertThat(lane.ownedSince(0)).isEqualTo(START);
        }

        @Test
        void isRefusedWhenNotOwned() {
            assertThat(lane(Fencing.CHECKED).refusal(5)).contains(RefusalReason.NOT_DISPATCHER);
        }
    }
}
