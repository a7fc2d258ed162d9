package org.dragonflymux.core.assignment;

import java.util.List;
import org.dragonflymux.core.name.ServiceName;
import org.dragonflymux.core.name.TargetId;

/**
 * A dispatcher's report to the assigner on one lane.
 *
 * @param service the service
 * @param target the lane's target
 * @param fence the lane's fencing token, so that late reports of an earlier dispatcher are ignored
 * @param health the target's health as the dispatcher sees it
 * @param closed whether the dispatcher has permanently stopped sending with this fencing token
 * @param closedMoves the tickets of the moves for whose units the dispatcher has stopped sending
 * @param hottest the units with the highest request rates
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
