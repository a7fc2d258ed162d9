package org.dragonflymux.core.assignment;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import org.dragonflymux.core.document.AssignmentTable;
import org.dragonflymux.core.document.Fencing;
import org.dragonflymux.core.document.HostRecord;
import org.dragonflymux.core.document.KeyPin;
import org.dragonflymux.core.document.Lane;
import org.dragonflymux.core.document.LaneState;
import org.dragonflymux.core.document.ServiceDocument;
import org.dragonflymux.core.document.TargetDeclaration;
import org.dragonflymux.core.document.UnitMove;
import org.dragonflymux.core.name.FailureDomain;
import org.dragonflymux.core.name.HostId;
import org.dragonflymux.core.name.ServiceName;
import org.dragonflymux.core.name.TargetId;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class TablePlannerTest {

    private static final ServiceName SERVICE = ServiceName.of("svc");

    private final SortedMap<HostId, HostRecord> hosts = new TreeMap<>();
    private final Map<TargetId, LaneReport> reports = new HashMap<>();
    private final Set<FailureDomain> domainsOut = new java.util.HashSet<>();
    private final SortedMap<String, KeyPin> pins = new TreeMap<>();
    private int targets = 4;

    private void host(String name, String domain) {
        HostId id = HostId.of(name);
        hosts.put(id, new HostRecord(id, FailureDomain.of(domain), "127.0.0.1:1", 1, false));
    }

    private PlanInput input() {
        List<TargetDeclaration> declarations = new ArrayList<>();
        for (int i = 1; i <= targets; i++) {
            declarations.add(new TargetDeclaration(
                    TargetId.of("t" + i), FailureDomain.of(i % 2 == 0 ? "b" : "a"), "127.0.0.1:2", 3));
        }
        ServiceDocument service =
                new ServiceDocument(SERVICE, 32, Fencing.CHECKED, null, 0, 0, 0, 0, null, declarations);
        return new PlanInput(HostId.of("a1"), service, hosts, domainsOut, Set.of(), pins, reports);
    }

    private void report(Lane lane, TargetHealth health, boolean closed, Long... closedMoves) {
        reports.put(
                lane.target(),
                new LaneReport(SERVICE, lane.target(), lane.fence(), health, closed, List.of(closedMoves), List.of()));
    }

    private AssignmentTable settledTable() {
        host("a1", "a");
        host("b1", "b");
        AssignmentTable table = TablePlanner.create(input());
        table.lanes().forEach(lane -> report(lane, TargetHealth.READY, false));
        table = TablePlanner.next(input(), table);
        AssignmentTable open = table;
        open.lanes().forEach(lane -> report(lane, TargetHealth.READY, false));
        return TablePlanner.next(input(), open);
    }

    private static Lane lane(AssignmentTable table, String target) {
        return table.lanes().stream()
                .filter(lane -> lane.target().value().equals(target))
                .findFirst()
                .orElseThrow();
    }

    @Test
    void spreadsUnitsEvenlyOverTargetsThatAnswered() {
        AssignmentTable table = settledTable();
        for (int lane = 0; lane < 4; lane++) {
            int at = lane;
            assertThat(table.owners().stream().filter(owner -> owner == at)).hasSize(8);
        }
        assertThat(table.lanes()).allMatch(lane -> lane.state() == LaneState.OPEN);
        assertThat(TablePlanner.next(input(), table)).isEqualTo(table);
    }

    @Test
    void assignsLanesWithinTheTargetsDomainAndSplitsAssignerAndStandby() {
        AssignmentTable table = settledTable();
        assertThat(lane(table, "t1").dispatcher()).isEqualTo(HostId.of("a1"));
        assertThat(lane(table, "t2").dispatcher()).isEqualTo(HostId.of("b1"));
        assertThat(table.standby()).isEqualTo(HostId.of("b1"));
    }

    @Nested
    class AMove {

        private final String hash = KeyHash.hex(KeyHash.of("hot"));

        private AssignmentTable startMove() {
            AssignmentTable table = settledTable();
            int partition = KeyHash.partition(KeyHash.of("hot"), 32);
            String owner =
                    table.lanes().get(table.owners().get(partition)).target().value();
            pins.put(hash, new KeyPin(SERVICE, hash, TargetId.of(owner.equals("t1") ? "t2" : "t1")));
            return TablePlanner.next(input(), table);
        }

        @Test
        void commitsOnlyWhenItsOwnTicketIsReportedClosed() {
            AssignmentTable moving = startMove();
            UnitMove move = moving.moves().getFirst();
            Lane from = moving.lanes().get(moving.owners().get(move.unit()));
            report(from, TargetHealth.READY, false, move.ticket() - 1);
            assertThat(TablePlanner.next(input(), moving).moves()).containsExactly(move);
            report(from, TargetHealth.READY, false, move.ticket());
            AssignmentTable moved = TablePlanner.next(input(), moving);
            assertThat(moved.moves()).isEmpty();
            assertThat(moved.lanes().get(moved.owners().get(move.unit())).target())
                    .isEqualTo(move.to());
        }

        @Test
        void ignoresATicketClosedUnderAnEarlierFence() {
            AssignmentTable moving = startMove();
            UnitMove move = moving.moves().getFirst();
            Lane from = moving.lanes().get(moving.owners().get(move.unit()));
            Lane earlier = new Lane(from.target(), from.dispatcher(), from.fence() - 1, from.state());
            report(earlier, TargetHealth.READY, false, move.ticket());
            assertThat(TablePlanner.next(input(), moving).moves()).containsExactly(move);
        }

        @Test
        void splitsThePinnedKeyOffWithoutMovingItsPartition() {
            AssignmentTable before = settledTable();
            AssignmentTable moving = startMove();
            assertThat(moving.owners().subList(0, 32)).isEqualTo(before.owners());
            assertThat(moving.pins()).containsExactly(hash);
        }
    }

    @Nested
    class ALoss {

        @Test
        void ofATargetGivesItsUnitsToTheOthersUnderANewFence() {
            AssignmentTable table = settledTable();
            Lane lost = lane(table, "t1");
            report(lost, TargetHealth.LOST, false);
            AssignmentTable next = TablePlanner.next(input(), table);
            assertThat(lane(next, "t1").state()).isEqualTo(LaneState.LOST);
            assertThat(lane(next, "t1").fence()).isGreaterThan(lost.fence());
            assertThat(next.owners()).doesNotContain(next.lanes().indexOf(lane(next, "t1")), AssignmentTable.NO_LANE);
        }

        @Test
        void reportedUnderAnEarlierFenceChangesNothing() {
            AssignmentTable table = settledTable();
            Lane lane = lane(table, "t1");
            report(
                    new Lane(lane.target(), lane.dispatcher(), lane.fence() - 1, lane.state()),
                    TargetHealth.LOST,
                    false);
            assertThat(lane(TablePlanner.next(input(), table), "t1").state()).isEqualTo(LaneState.OPEN);
        }

        @Test
        void ofADispatcherReassignsItsLanesButNoKeys() {
            AssignmentTable table = settledTable();
            hosts.remove(HostId.of("b1"));
            host("b2", "b");
            AssignmentTable next = TablePlanner.next(input(), table);
            assertThat(lane(next, "t2").dispatcher()).isEqualTo(HostId.of("b2"));
            assertThat(lane(next, "t2").fence()).isGreaterThan(lane(table, "t2").fence());
            assertThat(next.owners()).isEqualTo(table.owners());
        }
    }

    @Test
    void unitsOfADomainTakenOutAreMoved() {
        AssignmentTable table = settledTable();
        domainsOut.add(FailureDomain.of("a"));
        AssignmentTable next = TablePlanner.next(input(), table);
        assertThat(next.owners()).isEqualTo(table.owners());
        assertThat(next.moves())
                .hasSize(16)
                .allMatch(move -> Set.of("t2", "t4").contains(move.to().value()));
    }

    @Test
    void aLeavingDispatcherKeepsItsLaneUntilItHasClosedIt() {
        AssignmentTable table = settledTable();
        hosts.computeIfPresent(HostId.of("b1"), (id, record) -> record.asLeaving());
        host("b2", "b");
        AssignmentTable closing = TablePlanner.next(input(), table);
        assertThat(lane(closing, "t2").state()).isEqualTo(LaneState.CLOSING);
        assertThat(lane(closing, "t2").dispatcher()).isEqualTo(HostId.of("b1"));
        report(lane(closing, "t2"), TargetHealth.READY, true);
        assertThat(lane(TablePlanner.next(input(), closing), "t2").dispatcher()).isEqualTo(HostId.of("b2"));
    }

    @Nested
    class AHostThatReturns {

        @Test
        void getsTheLanesOfItsDomainBackOneByOne() {
            AssignmentTable table = settledTable();
            hosts.remove(HostId.of("b1"));
            AssignmentTable without = TablePlanner.next(input(), table);
            assertThat(lane(without, "t2").dispatcher()).isEqualTo(HostId.of("a1"));
            without.lanes().forEach(lane -> report(lane, TargetHealth.READY, false));
            host("b2", "b");
            AssignmentTable closing = TablePlanner.next(input(), without);
            assertThat(closing.lanes())
                    .filteredOn(lane -> lane.state() == LaneState.CLOSING)
                    .hasSize(1);
            Lane given = closing.lanes().stream()
                    .filter(lane -> lane.state() == LaneState.CLOSING)
                    .findFirst()
                    .orElseThrow();
            report(given, TargetHealth.READY, true);
            AssignmentTable next = TablePlanner.next(input(), closing);
            assertThat(lane(next, given.target().value()).dispatcher()).isEqualTo(HostId.of("b2"));
        }
    }
}
