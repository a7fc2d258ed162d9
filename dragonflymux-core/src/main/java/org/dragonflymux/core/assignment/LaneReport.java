package org.dragonflymux.core.assignment;

import java.util.List;
import org.dragonflymux.core.name.ServiceName;
import org.dragonflymux.core.name.TargetId;

/**
 * What a dispatcher tells the assigner about one lane.
 *
 * @param service the service
 * @param target the lane's target
 * @param fence the lane's fencing token, so that a late report about an earlier dispatcher changes nothing
 * @param health what the dispatcher knows of the target
 * @param closed whether the dispatcher has stopped sending for good under this fencing token
 * @param closedMoves the tickets of the moves whose units the dispatcher has stopped sending for
 * @param hottest the units with the most requests
 */
public record LaneReport(
        ServiceName service,
        TargetId target,
        long fence,
        TargetHealth health,
        boolean closed,
        List<Long> closedMoves,
        List<UnitLoad> hottest) {

    public LaneReport {
        closedMoves = List.copyOf(closedMoves);
        hottest = List.copyOf(hottest);
    }
}
