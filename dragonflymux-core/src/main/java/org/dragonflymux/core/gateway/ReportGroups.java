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
 * How a fleet's hosts are grouped for their reports. Each group has a collector, to which its hosts report, and collectors
 * report to each other. A small fleet's hosts are groups of their own; in a large one groups are as large as there are
 * groups, so that what a host sends and hears grows with the square root of the fleet. A group lies in one failure domain.
 *
 * @param groups the groups' hosts, the collector first
 */
record ReportGroups(List<List<HostId>> groups) {

    /** Up to this size each host reports to each other. */
    static final int FLAT_HOSTS = 16;

    /** Returns the groups of a fleet. */
    static ReportGroups of(Collection<FleetMember> members) {
        int size = members.size() <= FLAT_HOSTS ? 1 : (int) Math.ceil(Math.sqrt(members.size()));
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

    /** Returns the group of a host; the host alone where it isn't a member. */
    List<HostId> groupOf(HostId host) {
        return groups.stream().filter(group -> group.contains(host)).findFirst().orElse(List.of(host));
    }

    /** Returns the collectors of all groups. */
    List<HostId> collectors() {
        return groups.stream().map(List::getFirst).toList();
    }
}
