package org.dragonflymux.core.assignment;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.dragonflymux.core.document.AssignmentTable;
import org.dragonflymux.core.document.Lane;
import org.dragonflymux.core.document.LaneState;
import org.dragonflymux.core.document.UnitMove;
import org.dragonflymux.core.name.HostId;
import org.dragonflymux.core.name.ServiceName;
import org.dragonflymux.core.name.TargetId;

/** A mutable draft of an assignment table, with targets in place of lane indexes. */
final class TableDraft {

    final Map<TargetId, Lane> lanes = new LinkedHashMap<>();
    final List<TargetId> owners = new ArrayList<>();
    final List<String> pins = new ArrayList<>();
    final Map<Integer, UnitMove> moves = new TreeMap<>();
    HostId assigner;
    HostId standby;
    long term;
    int continuityMillis;

    private final ServiceName service;
    private final int partitions;
    private long nextFence;

    private TableDraft(ServiceName service, int partitions) {
        this.service = service;
        this.partitions = partitions;
    }

    static TableDraft create(ServiceName service, int partitions) {
        TableDraft draft = new TableDraft(service, partitions);
        draft.nextFence = 1;
        for (int i = 0; i < partitions; i++) {
            draft.owners.add(null);
        }
        return draft;
    }

    static TableDraft of(AssignmentTable table) {
        TableDraft draft = new TableDraft(table.service(), table.partitions());
        draft.assigner = table.assigner();
        draft.standby = table.standby();
        draft.term = table.term();
        draft.continuityMillis = table.continuityMillis();
        draft.nextFence = table.nextFence();
        table.lanes().forEach(lane -> draft.lanes.put(lane.target(), lane));
        table.owners()
                .forEach(index -> draft.owners.add(
                        index == AssignmentTable.NO_LANE
                                ? null
                                : table.lanes().get(index).target()));
        draft.pins.addAll(table.pins());
        table.moves().forEach(move -> draft.moves.put(move.unit(), move));
        return draft;
    }

    int partitions() {
        return partitions;
    }

    /** Assigns a lane to a dispatcher with a new fencing token. */
    void open(TargetId target, HostId dispatcher, LaneState state) {
        lanes.put(target, new Lane(target, dispatcher, nextFence++, state));
    }

    /** Starts a move, which is committed once the dispatcher of the owner has closed the unit. */
    void startMove(int unit, TargetId to) {
        moves.put(unit, new UnitMove(unit, to, nextFence++));
    }

    /** Returns the number of units that each target owns, counting moves as committed. */
    Map<TargetId, Integer> unitCounts() {
        Map<TargetId, Integer> counts = new HashMap<>();
        lanes.keySet().forEach(target -> counts.put(target, 0));
        for (int unit = 0; unit < owners.size(); unit++) {
            UnitMove move = moves.get(unit);
            TargetId owner = move == null ? owners.get(unit) : move.to();
            if (owner != null) {
                counts.merge(owner, 1, Integer::sum);
            }
        }
        return counts;
    }

    boolean ownsAny(TargetId target) {
        return owners.contains(target)
                || moves.values().stream().anyMatch(move -> move.to().equals(target));
    }

    AssignmentTable build() {
        List<Lane> ordered = new ArrayList<>(lanes.values());
        Map<TargetId, Integer> indexes = new LinkedHashMap<>();
        ordered.forEach(lane -> indexes.put(lane.target(), indexes.size()));
        List<Integer> ownerIndexes = new ArrayList<>(owners.size());
        owners.forEach(owner -> ownerIndexes.add(owner == null ? AssignmentTable.NO_LANE : indexes.get(owner)));
        return new AssignmentTable(
                service,
                term,
                assigner,
                standby,
                continuityMillis,
                nextFence,
                partitions,
                pins,
                ordered,
                ownerIndexes,
                List.copyOf(moves.values()));
    }
}
