package org.dragonflymux.core.document;

import com.fasterxml.jackson.annotation.JsonIgnore;
import java.time.Duration;
import java.util.List;
import org.dragonflymux.core.name.HostId;
import org.dragonflymux.core.name.ServiceName;

/**
 * The owner of each unit of a service's key space, and the hosts that may change the owners.
 *
 * <p>A unit is a partition of the hashed key space or a single pinned key. The table is changed only by a
 * compare-and-swap on its own revision, performed by its assigner, or by its standby once the assigner's session has
 * ended.
 *
 * @param term a number that increases each time another host becomes the assigner
 * @param assigner the host that changes the table
 * @param standby the host that takes over if the assigner fails, or null if no other host is live
 * @param continuityMillis how long hosts may serve on the basis of pledges while the store is unreachable, in
 *     milliseconds
 * @param nextFence the fencing token to be used for the next change of a lane
 * @param partitions the number of units that are partitions
 * @param pins the hashes of the pinned keys, as 16 hexadecimal digits each
 * @param lanes the targets with their dispatchers
 * @param owners for each unit the index of its lane, or -1 if no target can own it
 * @param moves the moves in progress
 */
public record AssignmentTable(
        ServiceName service,
        long term,
        HostId assigner,
        HostId standby,
        int continuityMillis,
        long nextFence,
        int partitions,
        List<String> pins,
        List<Lane> lanes,
        List<Integer> owners,
        List<UnitMove> moves)
        implements Document {

    /** The owner index of a unit that no target can own. */
    public static final int NO_LANE = -1;

    public AssignmentTable {
        pins = List.copyOf(pins);
        lanes = List.copyOf(lanes);
        owners = List.copyOf(owners);
        moves = List.copyOf(moves);
    }

    /** Returns how long pledges may replace sessions while the store is unreachable. */
    public Duration continuity() {
        return Duration.ofMillis(continuityMillis);
    }

    @Override
    @JsonIgnore
    public DocumentKey key() {
        return DocumentKey.assignment(service);
    }
}
