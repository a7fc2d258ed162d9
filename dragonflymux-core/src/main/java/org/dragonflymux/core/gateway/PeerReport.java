package org.dragonflymux.core.gateway;

import java.util.List;
import java.util.Map;
import org.dragonflymux.core.name.HostId;
import org.dragonflymux.core.name.ServiceName;
import org.dragonflymux.core.name.TargetId;

/**
 * What a host tells all others many times a second.
 *
 * @param from the host
 * @param incarnation its life
 * @param targets what it has at targets and saw of them
 * @param waiting how many requests wait there, by service
 * @param keys shard keys requested since the last report, by service
 */
public record PeerReport(
        HostId from,
        long incarnation,
        List<TargetUse> targets,
        Map<ServiceName, Integer> waiting,
        Map<ServiceName, int[]> keys) {

    /**
     * What a host has at a target and saw of it.
     *
     * @param target the target
     * @param inFlight requests at the target
     * @param waiting requests that wait at the host for this target alone
     * @param done good answers since the last report
     * @param doneMillis their mean time at a target that runs them alone
     * @param slowdownPercent the target's own report, 100 is as usual
     * @param slowdownAgeMillis how old that report is
     */
    public record TargetUse(
            TargetId target,
            int inFlight,
            int waiting,
            int done,
            int doneMillis,
            int slowdownPercent,
            int slowdownAgeMillis) {}
}
