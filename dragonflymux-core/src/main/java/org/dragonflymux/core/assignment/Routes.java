package org.dragonflymux.core.assignment;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.dragonflymux.core.document.AssignmentTable;
import org.dragonflymux.core.document.Lane;
import org.dragonflymux.core.document.UnitMove;
import org.dragonflymux.core.name.TargetId;

/** An assignment table, indexed for looking up the lane of a key. */
public final class Routes {

    private final AssignmentTable table;
    private final long revision;
    private final int[] owners;
    private final Map<Long, Integer> pinnedUnits = new HashMap<>();
    private final Map<Integer, UnitMove> movesByUnit = new HashMap<>();
    private final Map<TargetId, Lane> lanes = new HashMap<>();

    private Routes(AssignmentTable table, long revision) {
        this.table = table;
        this.revision = revision;
        this.owners = table.owners().stream().mapToInt(Integer::intValue).toArray();
        List<String> pins = table.pins();
        for (int i = 0; i < pins.size(); i++) {
            pinnedUnits.put(Long.parseUnsignedLong(pins.get(i), 16), table.partitions() + i);
        }
        table.moves().forEach(move -> movesByUnit.put(move.unit(), move));
        table.lanes().forEach(lane -> lanes.put(lane.target(), lane));
    }

    /**
     * Returns the routes of a table.
     *
     * @param revision the store revision of the table
     */
    public static Routes of(AssignmentTable table, long revision) {
        return new Routes(table, revision);
    }

    public AssignmentTable table() {
        return table;
    }

    /** Returns the store revision of the table. */
    public long revision() {
        return revision;
    }

    /** Returns the unit that a key hash belongs to. */
    public int unit(long keyHash) {
        Integer pinned = pinnedUnits.isEmpty() ? null : pinnedUnits.get(keyHash);
        return pinned == null ? KeyHash.partition(keyHash, table.partitions()) : pinned;
    }

    /** Returns the lane that owns a unit, if any. */
    public Optional<Lane> owner(int unit) {
        int index = owners[unit];
        return index == AssignmentTable.NO_LANE
                ? Optional.empty()
                : Optional.of(table.lanes().get(index));
    }

    /** Returns the lane of a target, if the table has one. */
    public Optional<Lane> lane(TargetId target) {
        return Optional.ofNullable(lanes.get(target));
    }

    /** Returns whether a unit is being moved away from its owner. */
    public boolean moving(int unit) {
        return movesByUnit.containsKey(unit);
    }

    /** Returns the moves of units that a target owns, which wait for its dispatcher. */
    public List<UnitMove> movesFrom(TargetId target) {
        return table.moves().stream()
                .filter(move -> owner(move.unit())
                        .filter(lane -> lane.target().equals(target))
                        .isPresent())
                .toList();
    }
}
