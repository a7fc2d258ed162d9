package org.dragonflymux.core.gateway;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.dragonflymux.core.membership.FleetMember;
import org.dragonflymux.core.name.HostId;
import org.dragonflymux.core.name.ServiceName;

/**
 * The way of reports through the fleet: from each host to its group's collector, from there as a sum to the other
 * collectors, and as a sum over all back to the group's hosts.
 *
 * <p>A sum names the most crowded targets only, so that its size doesn't grow with the fleet. A host that hears nothing from its collector reports to the next of its group. Who is reported to, collects.
 */
public final class ReportAggregator {

    private static final long LEAST_INTERVAL_MILLIS = 100;
    private static final long LONGEST_INTERVAL_MILLIS = 1_000;
    private static final long INTERVAL_MILLIS_PER_HOST = 3;
    /** A report is old after so many intervals. */
    private static final int OLD_INTERVALS = 5;

    private static final int KEPT_REPORTS = 16;
    private static final int MOST_TARGETS = 64;
    /** How much a request at a target counts against an answer seen of it, when targets are chosen for a sum. */
    private static final int REQUEST_WEIGHT = 4;

    private final HostId self;
    private final Map<HostId, Heard> heard = new HashMap<>();
    private final Map<Long, PeerReport> sent = new LinkedHashMap<>();
    private ReportGroups groups = new ReportGroups(List.of());
    private int hosts = 1;
    private long due = Long.MIN_VALUE;
    private long collectorHeardAt = Long.MIN_VALUE / 2;
    private Map<Integer, PeerReport.TargetUse> seenInGroup = new HashMap<>();
    private Map<Integer, PeerReport.TargetUse> seenElsewhere = new HashMap<>();
    private Map<ServiceName, int[]> keysInGroup = new HashMap<>();
    private Map<ServiceName, int[]> keysElsewhere = new HashMap<>();

    private record Heard(PeerReport report, long at) {}

    /**
     * A report on its way.
     *
     * @param report the report
     * @param to who is to have it
     */
    public record Outgoing(PeerReport report, List<HostId> to) {}

    private ReportAggregator(HostId self) {
        this.self = self;
    }

    /** Returns the way of the reports of a host that knows no others yet. */
    public static ReportAggregator of(HostId self) {
        return new ReportAggregator(self);
    }

    /** Replaces the fleet's hosts. */
    public void members(Collection<FleetMember> members, long now) {
        List<HostId> before = groups.groupOf(self);
        groups = ReportGroups.of(members);
        hosts = Math.max(1, members.size());
        Set<HostId> present = new HashSet<>();
        members.forEach(member -> present.add(member.host()));
        heard.keySet().retainAll(present);
        HostId collector = groups.groupOf(self).getFirst();
        if (!collector.equals(before.getFirst())) {
            collectorHeardAt = collector.equals(self) ? Long.MIN_VALUE / 2 : now;
        }
    }

    private long interval() {
        return Math.clamp(INTERVAL_MILLIS_PER_HOST * hosts, LEAST_INTERVAL_MILLIS, LONGEST_INTERVAL_MILLIS);
    }

    /** Returns after what time a report is old. */
    long oldMillis() {
        return OLD_INTERVALS * interval();
    }

    /** Returns whether a report of this host is due. */
    public boolean due(long now) {
        if (now < due) {
            return false;
        }
        due = now + interval();
        return true;
    }

    /** Takes in a report, and returns what this host learns from it: what there is and was seen at others. */
    public Optional<PeerReport> received(PeerReport report, long now) {
        boolean ofOwnCollector = report.included().containsKey(self);
        if (ofOwnCollector) {
            collectorHeardAt = now;
            return Optional.of(withoutOwn(report));
        }
        Heard before = heard.get(report.from());
        if (before != null
                && before.report().incarnation() == report.incarnation()
                && before.report().sequence() >= report.sequence()) {
            return Optional.empty();
        }
        heard.put(report.from(), new Heard(report, now));
        boolean inGroup = groups.groupOf(self).contains(report.from());
        Map<Integer, PeerReport.TargetUse> seen = inGroup ? seenInGroup : seenElsewhere;
        report.targets().stream()
                .filter(use -> use.completions() > 0)
                .forEach(use -> seen.merge(use.target(), seenOnly(use), PeerReport.TargetUse::plus));
        Map<ServiceName, int[]> requested = inGroup ? keysInGroup : keysElsewhere;
        report.keys().forEach((service, keys) -> requested.merge(service, keys, ReportAggregator::joined));
        // The collector's sum has it already.
        return now - collectorHeardAt <= oldMillis() ? Optional.empty() : Optional.of(report);
    }

    private static PeerReport.TargetUse seenOnly(PeerReport.TargetUse use) {
        return new PeerReport.TargetUse(use.target(), 0, 0, use.completions(), use.meanMillis(), 0, -1);
    }

    private static int[] joined(int[] first, int[] second) {
        int[] result = Arrays.copyOf(first, first.length + second.length);
        System.arraycopy(second, 0, result, first.length, second.length);
        return result;
    }

    private PeerReport withoutOwn(PeerReport report) {
        PeerReport own = sent.get(report.included().get(self));
        if (own == null) {
            return report;
        }
        Map<Integer, PeerReport.TargetUse> told = new HashMap<>();
        own.targets().forEach(use -> told.put(use.target(), use));
        List<PeerReport.TargetUse> uses = report.targets().stream()
                .map(use -> told.containsKey(use.target()) ? use.without(told.get(use.target())) : use)
                .toList();
        Map<ServiceName, Integer> waiting = new HashMap<>(report.waiting());
        own.waiting().forEach((service, count) -> waiting.computeIfPresent(service, (_, sum) -> sum - count));
        return new PeerReport(
                report.from(),
                report.incarnation(),
                report.sequence(),
                report.included(),
                uses,
                waiting,
                report.keys());
    }

    /**
     * Sends a report of this host on its way.
     *
     * @param own the report
     * @param grantor who is to know the keys that were requested
     */
    public List<Outgoing> outgoing(PeerReport own, Optional<HostId> grantor, long now) {
        sent.put(own.sequence(), own);
        sent.keySet().removeIf(sequence -> sequence <= own.sequence() - KEPT_REPORTS);
        heard.values().removeIf(each -> now - each.at() > oldMillis());
        List<HostId> group = groups.groupOf(self);
        List<HostId> reporters = group.stream()
                .filter(heard::containsKey)
                .filter(host -> !host.equals(self))
                .toList();
        List<Outgoing> result = new ArrayList<>();
        if (!group.getFirst().equals(self)) {
            // The grantor knows what was requested of itself.
            boolean grants = grantor.filter(self::equals).isPresent();
            result.add(new Outgoing(grants ? own.withoutKeys() : own, collectorsOf(group, now)));
        }
        if (group.getFirst().equals(self) || !reporters.isEmpty()) {
            collect(own, group, reporters, grantor, result);
        }
        return result;
    }

    private List<HostId> collectorsOf(List<HostId> group, long now) {
        boolean silent = now - collectorHeardAt > oldMillis();
        boolean second = group.size() > 2 && !group.get(1).equals(self);
        return silent && second ? List.of(group.getFirst(), group.get(1)) : List.of(group.getFirst());
    }

    private void collect(
            PeerReport own,
            List<HostId> group,
            List<HostId> reporters,
            Optional<HostId> grantor,
            List<Outgoing> result) {
        Sum sum = new Sum();
        sum.add(own);
        reporters.forEach(host -> sum.addPresent(heard.get(host).report()));
        sum.addSeen(seenInGroup);
        Map<ServiceName, int[]> keys = new HashMap<>(own.keys());
        keysInGroup.forEach((service, list) -> keys.merge(service, list, ReportAggregator::joined));
        List<HostId> collectors = groups.collectors().stream()
                .filter(host -> !group.contains(host))
                .toList();
        if (!collectors.isEmpty()) {
            result.add(new Outgoing(sum.report(own, Map.of(), keys), collectors));
        }
        if (!reporters.isEmpty()) {
            Map<HostId, Long> included = new HashMap<>();
            reporters.forEach(
                    host -> included.put(host, heard.get(host).report().sequence()));
            heard.forEach((host, each) -> {
                if (!group.contains(host)) {
                    sum.addPresent(each.report());
                }
            });
            sum.addSeen(seenElsewhere);
            keysElsewhere.forEach((service, list) -> keys.merge(service, list, ReportAggregator::joined));
            List<HostId> others = reporters.stream()
                    .filter(host -> grantor.filter(host::equals).isEmpty())
                    .toList();
            result.add(new Outgoing(sum.report(own, included, Map.of()), others));
            grantor.filter(reporters::contains)
                    .ifPresent(host -> result.add(new Outgoing(sum.report(own, included, keys), List.of(host))));
        }
        seenInGroup = new HashMap<>();
        seenElsewhere = new HashMap<>();
        keysInGroup = new HashMap<>();
        keysElsewhere = new HashMap<>();
    }

    /** A sum of reports. */
    private static final class Sum {

        private final Map<Integer, PeerReport.TargetUse> uses = new HashMap<>();
        private final Map<ServiceName, Integer> waiting = new HashMap<>();

        void add(PeerReport report) {
            report.targets().forEach(use -> uses.merge(use.target(), use, PeerReport.TargetUse::plus));
            report.waiting().forEach((service, count) -> waiting.merge(service, count, Integer::sum));
        }

        void addPresent(PeerReport report) {
            report.targets().forEach(use -> uses.merge(use.target(), use.present(), PeerReport.TargetUse::plus));
            report.waiting().forEach((service, count) -> waiting.merge(service, count, Integer::sum));
        }

        void addSeen(Map<Integer, PeerReport.TargetUse> seen) {
            seen.values().forEach(use -> uses.merge(use.target(), use, PeerReport.TargetUse::plus));
        }

        PeerReport report(PeerReport own, Map<HostId, Long> included, Map<ServiceName, int[]> keys) {
            return new PeerReport(
                    own.from(),
                    own.incarnation(),
                    own.sequence(),
                    Map.copyOf(included),
                    mostCrowded(),
                    Map.copyOf(waiting),
                    Map.copyOf(keys));
        }

        private List<PeerReport.TargetUse> mostCrowded() {
            return uses.values().stream()
                    .sorted(Comparator.comparingInt(Sum::weight).reversed())
                    .limit(MOST_TARGETS)
                    .toList();
        }

        private static int weight(PeerReport.TargetUse use) {
            return REQUEST_WEIGHT * (use.inFlight() + use.waiting()) + use.completions();
        }
    }
}
