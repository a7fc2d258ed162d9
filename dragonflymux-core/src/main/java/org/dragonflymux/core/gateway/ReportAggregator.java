package org.dragonflymux.core.gateway;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.dragonflymux.core.membership.FleetMember;
import org.dragonflymux.core.name.HostId;
import org.dragonflymux.core.name.ServiceName;

/**
 * Distributes reports through the fleet. Each host reports to the collector of its group; the collector sends an aggregate
 * of the group to the other collectors, and an aggregate of the whole fleet back to the hosts of its group.
 *
 * <p>An aggregate contains only the busiest targets, so that its size does not grow with the fleet. A host that receives no
 * reports from its collector also reports to the second host of its group. A host that receives reports of its group acts as
 * a collector.
 */
public final class ReportAggregator {

    private static final long MIN_INTERVAL_MILLIS = 100;
    private static final long MAX_INTERVAL_MILLIS = 1_000;
    private static final long INTERVAL_MILLIS_PER_HOST = 3;
    /** Number of intervals after which a report is stale. */
    private static final int STALE_AFTER_INTERVALS = 5;

    private static final int MAX_SENT_REPORTS = 16;
    private static final int MAX_TARGETS = 64;
    /** Weight of a request relative to a completion when the busiest targets are selected. */
    private static final int REQUEST_WEIGHT = 4;

    private final HostId self;
    private final Map<HostId, ReceivedReport> receivedReports = new HashMap<>();
    private final Map<Long, PeerReport> sentReports = new LinkedHashMap<>();
    private ReportGroups groups = new ReportGroups(List.of());
    private Map<HostId, FleetMember> members = Map.of();
    private int hostCount = 1;
    private long nextReportAt = Long.MIN_VALUE / 2;
    private long collectorReportAt = Long.MIN_VALUE / 2;
    private Map<Integer, PeerReport.TargetUse> completionsInGroup = new HashMap<>();
    private Map<Integer, PeerReport.TargetUse> completionsElsewhere = new HashMap<>();
    private Map<ServiceName, int[]> keysInGroup = new HashMap<>();
    private Map<ServiceName, int[]> keysElsewhere = new HashMap<>();

    private record ReceivedReport(PeerReport report, long receivedAt) {}

    /**
     * A report to be sent.
     *
     * @param report the report
     * @param to its recipients
     */
    public record Outgoing(PeerReport report, List<HostId> to) {}

    private ReportAggregator(HostId self) {
        this.self = self;
    }

    /** Creates the aggregator of a host that knows no other hosts yet. */
    public static ReportAggregator of(HostId self) {
        return new ReportAggregator(self);
    }

    /** Replaces the fleet's hosts. */
    public void replaceMembers(Collection<FleetMember> registered, long now) {
        List<HostId> before = groups.groupOf(self);
        groups = ReportGroups.of(registered);
        hostCount = Math.max(1, registered.size());
        Map<HostId, FleetMember> byHost = new HashMap<>();
        registered.forEach(member -> byHost.put(member.host(), member));
        members = byHost;
        receivedReports.keySet().retainAll(members.keySet());
        HostId collector = groups.groupOf(self).getFirst();
        if (!collector.equals(before.getFirst())) {
            collectorReportAt = collector.equals(self) ? Long.MIN_VALUE / 2 : now;
        }
    }

    private long intervalMillis() {
        return Math.clamp(INTERVAL_MILLIS_PER_HOST * hostCount, MIN_INTERVAL_MILLIS, MAX_INTERVAL_MILLIS);
    }

    /** Returns the collector of this host's group, if it is another host. */
    Optional<FleetMember> collector() {
        HostId first = groups.groupOf(self).getFirst();
        return first.equals(self) ? Optional.empty() : Optional.ofNullable(members.get(first));
    }

    /** Returns the age at which a report is stale. */
    long staleAfterMillis() {
        return STALE_AFTER_INTERVALS * intervalMillis();
    }

    /** Returns the time until the next report of this host is due, in milliseconds. */
    long millisUntilDue(long now) {
        return Math.max(0, nextReportAt - now);
    }

    /** Returns whether a report of this host is due, and if so schedules the next one. */
    public boolean due(long now) {
        if (now < nextReportAt) {
            return false;
        }
        nextReportAt = now + intervalMillis();
        return true;
    }

    /** Records a report, and returns the part of it that is new to this host and comes from others, if any. */
    public Optional<PeerReport> reportReceived(PeerReport report, long now) {
        boolean fromOwnCollector = report.included().containsKey(self);
        if (fromOwnCollector) {
            collectorReportAt = now;
            return Optional.of(withoutOwnUse(report));
        }
        ReceivedReport before = receivedReports.get(report.from());
        if (before != null
                && before.report().incarnation() == report.incarnation()
                && before.report().sequence() >= report.sequence()) {
            return Optional.empty();
        }
        receivedReports.put(report.from(), new ReceivedReport(report, now));
        boolean inGroup = groups.groupOf(self).contains(report.from());
        Map<Integer, PeerReport.TargetUse> completions = inGroup ? completionsInGroup : completionsElsewhere;
        report.targets().stream()
                .filter(use -> use.completions() > 0)
                .forEach(use -> completions.merge(use.target(), completionsOnly(use), PeerReport.TargetUse::plus));
        Map<ServiceName, int[]> requested = inGroup ? keysInGroup : keysElsewhere;
        report.keys().forEach((service, keys) -> requested.merge(service, keys, ReportAggregator::concat));
        // While the collector's aggregates arrive, they already contain this report.
        return now - collectorReportAt <= staleAfterMillis() ? Optional.empty() : Optional.of(report);
    }

    private static PeerReport.TargetUse completionsOnly(PeerReport.TargetUse use) {
        return new PeerReport.TargetUse(use.target(), 0, 0, use.completions(), use.meanMillis(), 0, -1);
    }

    private static int[] concat(int[] first, int[] second) {
        int[] result = Arrays.copyOf(first, first.length + second.length);
        System.arraycopy(second, 0, result, first.length, second.length);
        return result;
    }

    private PeerReport withoutOwnUse(PeerReport report) {
        PeerReport own = sentReports.get(report.included().get(self));
        if (own == null) {
            return report;
        }
        Map<Integer, PeerReport.TargetUse> ownUses = new HashMap<>();
        own.targets().forEach(use -> ownUses.put(use.target(), use));
        List<PeerReport.TargetUse> uses = report.targets().stream()
                .map(use -> ownUses.containsKey(use.target()) ? use.minus(ownUses.get(use.target())) : use)
                .toList();
        Map<ServiceName, Integer> waiting = new HashMap<>(report.waiting());
        own.waiting().forEach((service, count) -> waiting.computeIfPresent(service, (_, total) -> total - count));
        Map<WaitingClass, Integer> waitingByClass = new HashMap<>(report.waitingByClass());
        own.waitingByClass()
                .forEach((each, count) ->
                        waitingByClass.computeIfPresent(each, (_, total) -> Math.max(0, total - count)));
        return new PeerReport(
                report.from(),
                report.incarnation(),
                report.sequence(),
                report.included(),
                uses,
                waiting,
                waitingByClass,
                report.keys());
    }

    /**
     * Returns the reports to send, each with its recipients.
     *
     * @param own this host's report
     * @param grantor the host that needs the requested shard keys
     */
    public List<Outgoing> outgoing(PeerReport own, Optional<HostId> grantor, long now) {
        sentReports.put(own.sequence(), own);
        sentReports.keySet().removeIf(sequence -> sequence <= own.sequence() - MAX_SENT_REPORTS);
        receivedReports.values().removeIf(each -> now - each.receivedAt() > staleAfterMillis());
        List<HostId> group = groups.groupOf(self);
        List<HostId> reporters = group.stream()
                .filter(receivedReports::containsKey)
                .filter(host -> !host.equals(self))
                .toList();
        List<Outgoing> result = new ArrayList<>();
        if (!group.getFirst().equals(self)) {
            // The grantor has already counted the keys that were requested at its own host.
            boolean selfIsGrantor = grantor.filter(self::equals).isPresent();
            result.add(new Outgoing(selfIsGrantor ? own.withoutKeys() : own, reportRecipients(group, now)));
        }
        if (group.getFirst().equals(self) || !reporters.isEmpty()) {
            addAggregates(own, group, reporters, grantor, result);
        }
        return result;
    }

    private List<HostId> reportRecipients(List<HostId> group, long now) {
        boolean collectorSilent = now - collectorReportAt > staleAfterMillis();
        boolean hasBackup = group.size() > 2 && !group.get(1).equals(self);
        return collectorSilent && hasBackup ? List.of(group.getFirst(), group.get(1)) : List.of(group.getFirst());
    }

    private void addAggregates(
            PeerReport own,
            List<HostId> group,
            List<HostId> reporters,
            Optional<HostId> grantor,
            List<Outgoing> result) {
        Aggregate aggregate = new Aggregate();
        aggregate.add(own);
        reporters.forEach(
                host -> aggregate.addCurrentUse(receivedReports.get(host).report()));
        aggregate.addCompletions(completionsInGroup);
        Map<ServiceName, int[]> keys = new HashMap<>(own.keys());
        keysInGroup.forEach((service, list) -> keys.merge(service, list, ReportAggregator::concat));
        List<HostId> collectors = groups.collectors().stream()
                .filter(host -> !group.contains(host))
                .toList();
        if (!collectors.isEmpty()) {
            result.add(new Outgoing(aggregate.report(own, Map.of(), keys), collectors));
        }
        if (!reporters.isEmpty()) {
            Map<HostId, Long> included = new HashMap<>();
            reporters.forEach(host ->
                    included.put(host, receivedReports.get(host).report().sequence()));
            receivedReports.forEach((host, each) -> {
                if (!group.contains(host)) {
                    aggregate.addCurrentUse(each.report());
                }
            });
            aggregate.addCompletions(completionsElsewhere);
            keysElsewhere.forEach((service, list) -> keys.merge(service, list, ReportAggregator::concat));
            List<HostId> others = reporters.stream()
                    .filter(host -> grantor.filter(host::equals).isEmpty())
                    .toList();
            result.add(new Outgoing(aggregate.report(own, included, Map.of()), others));
            grantor.filter(reporters::contains)
                    .ifPresent(host -> result.add(new Outgoing(aggregate.report(own, included, keys), List.of(host))));
        }
        completionsInGroup = new HashMap<>();
        completionsElsewhere = new HashMap<>();
        keysInGroup = new HashMap<>();
        keysElsewhere = new HashMap<>();
    }

    private static final class Aggregate {

        private final Map<Integer, PeerReport.TargetUse> uses = new HashMap<>();
        private final Map<ServiceName, Integer> waiting = new HashMap<>();
        private final Map<WaitingClass, Integer> waitingByClass = new HashMap<>();

        void add(PeerReport report) {
            report.targets().forEach(use -> uses.merge(use.target(), use, PeerReport.TargetUse::plus));
            addWaiting(report);
        }

        void addCurrentUse(PeerReport report) {
            report.targets()
                    .forEach(use -> uses.merge(use.target(), use.withoutCompletions(), PeerReport.TargetUse::plus));
            addWaiting(report);
        }

        private void addWaiting(PeerReport report) {
            report.waiting().forEach((service, count) -> waiting.merge(service, count, Integer::sum));
            report.waitingByClass().forEach((each, count) -> waitingByClass.merge(each, count, Integer::sum));
        }

        void addCompletions(Map<Integer, PeerReport.TargetUse> completions) {
            completions.values().forEach(use -> uses.merge(use.target(), use, PeerReport.TargetUse::plus));
        }

        PeerReport report(PeerReport own, Map<HostId, Long> included, Map<ServiceName, int[]> keys) {
            return new PeerReport(
                    own.from(),
                    own.incarnation(),
                    own.sequence(),
                    Map.copyOf(included),
                    busiestTargets(),
                    Map.copyOf(waiting),
                    Map.copyOf(waitingByClass),
                    Map.copyOf(keys));
        }

        private List<PeerReport.TargetUse> busiestTargets() {
            return uses.values().stream()
                    .sorted(Comparator.comparingInt(Aggregate::weight).reversed())
                    .limit(MAX_TARGETS)
                    .toList();
        }

        private static int weight(PeerReport.TargetUse use) {
            return REQUEST_WEIGHT * (use.inFlight() + use.waiting()) + use.completions();
        }
    }
}
