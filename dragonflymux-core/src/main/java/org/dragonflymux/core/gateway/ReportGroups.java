package org.dragonflymux.core.gateway;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.dragonflymux.core.membership.FleetMember;
import org.dragonflymux.core.name.FailureDomain;
import org.dragonflymux.core.name.HostId;

/**
 * The groups in which a fleet's hosts exchange reports. The hosts of a group report to its collector, and collectors report
 * to each other. In a small fleet each host is a group of its own. In a large fleet the group size is about the number of
 * groups, so that the traffic per host grows with the square root of the fleet size. The hosts of a group are in one
 * failure domain.
 *
 * @param groups the hosts of each group, the collector first
 */
record ReportGroups(List<List<HostId>> groups) {

    /** Up to this fleet size every host reports to every other host. */
    static final int MAX_FULL_MESH_HOSTS = 16;

    /** Returns the groups of a fleet. */
    static ReportGroups of(Collection<FleetMember> members) {
        int size = members.size() <= MAX_FULL_MESH_HOSTS ? 1 : (int) Math.ceil(Math.sqrt(members.size()));
        Map<FailureDomain, List<HostId>> byDomain = new TreeMap<>();
        members.forEach(member -> byDomain.computeIfAbsent(member.domain(), _ -> new ArrayList<>())
                .add(member.host()));
        List<List<HostId>> groups = new ArrayList<>();
        for (List<HostId> hosts : byDomain.values()) {
            hosts.sort(null);
            for (int first = 0; first < hosts.size(); first += size) {
                groups.add(List.copyOf(hosts.subList(first, Math.min(hosts.size(), first + size))));
            }
        }
        return new ReportGroups(groups);
    }

    /** Returns the group of a host, or the host alone if it is not a member. */
    List<HostId> groupOf(HostId host) {
        return groups.stream().filter(group -> group.contains(host)).findFirst().orElse(List.of(host));
    }

    /** Returns the collectors of all groups. */
    List<HostId> collectors() {
        return groups.stream().map(List::getFirst).toList();
    }
}
