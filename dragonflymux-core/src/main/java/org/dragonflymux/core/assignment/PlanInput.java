package org.dragonflymux.core.assignment;

import java.util.Map;
import java.util.Set;
import java.util.SortedMap;
import org.dragonflymux.core.document.HostRecord;
import org.dragonflymux.core.document.KeyPin;
import org.dragonflymux.core.document.ServiceDocument;
import org.dragonflymux.core.name.FailureDomain;
import org.dragonflymux.core.name.HostId;
import org.dragonflymux.core.name.TargetId;

/**
 * The input of a plan besides the table.
 *
 * @param self the planning host
 * @param service the service's document
 * @param liveHosts the hosts whose sessions are in the store
 * @param domainsOut the failure domains that operators took out of service
 * @param drained the targets that operators are draining
 * @param pins the requested pins, by key hash
 * @param reports the latest report on each lane
 */
public record PlanInput(
        HostId self,
        ServiceDocument service,
        SortedMap<HostId, HostRecord> liveHosts,
        Set<FailureDomain> domainsOut,
        Set<TargetId> drained,
        SortedMap<String, KeyPin> pins,
        Map<TargetId, LaneReport> reports) {}
