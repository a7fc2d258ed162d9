package org.dragonflymux.core.assignment;

import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.dragonflymux.core.configuration.ConfigurationReplica;
import org.dragonflymux.core.document.AssignmentTable;
import org.dragonflymux.core.document.DocumentKey;
import org.dragonflymux.core.document.DomainIntent;
import org.dragonflymux.core.document.HostRecord;
import org.dragonflymux.core.document.KeyPin;
import org.dragonflymux.core.document.ReleaseOrder;
import org.dragonflymux.core.document.ServiceDocument;
import org.dragonflymux.core.document.TargetIntent;
import org.dragonflymux.core.name.FailureDomain;
import org.dragonflymux.core.name.HostId;
import org.dragonflymux.core.name.ServiceName;
import org.dragonflymux.core.name.TargetId;

/**
 * Decides whether this host may change a service's assignment table now, and proposes the next table.
 *
 * <p>The assigner named in the table may change it. The standby may once the assigner's session is gone from the store.
 * If both sessions are gone, another host may, but only when no absent host that the table names can still be serving
 * on a pledge from them, or when an operator has released the table.
 */
public final class AssignmentStateMachine {

    private record UnchangedPlan(AssignmentTable table, PlanInput input) {}

    private final HostId self;
    private final ConfigurationReplica replica;
    private final Map<ServiceName, Map<TargetId, LaneReport>> reports = new HashMap<>();
    private final Map<HostId, Instant> absentSince = new HashMap<>();
    private final Map<ServiceName, UnchangedPlan> unchangedPlans = new HashMap<>();
    private Instant watchingSince = Instant.MAX;

    private AssignmentStateMachine(HostId self, ConfigurationReplica replica) {
        this.self = self;
        this.replica = replica;
    }

    /** Returns the state machine of a host that reads the given replica. */
    public static AssignmentStateMachine of(HostId self, ConfigurationReplica replica) {
        return new AssignmentStateMachine(self, replica);
    }

    /** Records a dispatcher's report, unless a report with a newer fencing token is known. */
    public void recordReport(LaneReport report) {
        reports.computeIfAbsent(report.service(), service -> new HashMap<>())
                .merge(
                        report.target(),
                        report,
                        (known, received) -> received.fence() < known.fence() ? known : received);
    }

    /** Returns the hosts whose sessions are in the store. */
    public SortedMap<HostId, HostRecord> liveHosts() {
        SortedMap<HostId, HostRecord> live = new TreeMap<>();
        replica.all(HostRecord.class).forEach(record -> live.put(record.host(), record));
        return live;
    }

    /** Records which hosts named in tables are absent; called at each review while the replica is fresh. */
    public void observeAbsentHosts(Instant now) {
        if (watchingSince.equals(Instant.MAX)) {
            watchingSince = now;
        }
        Set<HostId> live = liveHosts().keySet();
        absentSince.keySet().removeAll(live);
        replica.all(AssignmentTable.class)
                .forEach(table -> namedHosts(table).stream()
                        .filter(host -> !live.contains(host))
                        .forEach(host -> absentSince.putIfAbsent(host, now)));
    }

    /** Discards the recorded absences of hosts, because the replica was not fresh. */
    public void resetObservations() {
        watchingSince = Instant.MAX;
        absentSince.clear();
    }

    private static Set<HostId> namedHosts(AssignmentTable table) {
        Set<HostId> named = new HashSet<>();
        named.add(table.assigner());
        named.add(table.standby());
        table.lanes().forEach(lane -> named.add(lane.dispatcher()));
        named.remove(null);
        return named;
    }

    /**
     * Returns the table that this host should write for a service, if it may write one and the table should change.
     *
     * @param leaving whether this host is shutting down
     */
    public Optional<AssignmentTable> propose(ServiceDocument service, boolean leaving, Instant now) {
        SortedMap<HostId, HostRecord> live = liveHosts();
        if (!live.containsKey(self)) {
            return Optional.empty();
        }
        Optional<AssignmentTable> table = replica.find(DocumentKey.assignment(service.name()), AssignmentTable.class);
        if (table.isEmpty()) {
            boolean first = !leaving && self.equals(firstRemaining(live, service.home()));
            return first ? Optional.of(TablePlanner.create(input(service, live))) : Optional.empty();
        }
        if (!mayWrite(table.get(), live, service.home(), now)) {
            return Optional.empty();
        }
        PlanInput input = input(service, live);
        if (!leaving && knownUnchanged(table.get(), input)) {
            return Optional.empty();
        }
        AssignmentTable next = TablePlanner.next(input, table.get());
        boolean handOver = leaving || isOutsideHome(service, live, next);
        boolean standbyLive = next.standby() != null && live.containsKey(next.standby());
        if (next.equals(table.get()) && handOver && standbyLive) {
            next = TablePlanner.handOver(next);
        }
        boolean same = next.equals(table.get());
        if (same) {
            unchangedPlans.put(service.name(), new UnchangedPlan(table.get(), input));
        }
        return same ? Optional.empty() : Optional.of(next);
    }

    /** Returns whether an earlier plan for the same table and input left the table unchanged. */
    private boolean knownUnchanged(AssignmentTable table, PlanInput input) {
        UnchangedPlan unchanged = unchangedPlans.get(table.service());
        return unchanged != null
                && unchanged.table().equals(table)
                && unchanged.input().equals(input);
    }

    /** Returns whether this host is outside the service's home domain while the standby is in it. */
    private boolean isOutsideHome(ServiceDocument service, SortedMap<HostId, HostRecord> live, AssignmentTable table) {
        HostRecord standby = table.standby() == null ? null : live.get(table.standby());
        return service.home() != null
                && standby != null
                && standby.domain().equals(service.home())
                && !live.get(self).domain().equals(service.home());
    }

    /** Returns the first live host that is not shutting down, preferably in the home domain. */
    private static HostId firstRemaining(SortedMap<HostId, HostRecord> live, FailureDomain home) {
        return live.values().stream()
                .filter(host -> !host.leaving())
                .min(Comparator.comparing((HostRecord host) -> host.domain().equals(home) ? 0 : 1)
                        .thenComparing(HostRecord::host))
                .map(HostRecord::host)
                .orElse(null);
    }

    private boolean mayWrite(
            AssignmentTable table, SortedMap<HostId, HostRecord> live, FailureDomain home, Instant now) {
        if (self.equals(table.assigner())) {
            return true;
        }
        if (live.containsKey(table.assigner())) {
            return false;
        }
        if (self.equals(table.standby())) {
            return true;
        }
        boolean pairAbsent = table.standby() == null || !live.containsKey(table.standby());
        return pairAbsent
                && self.equals(firstRemaining(live, home))
                && (releasedByOperator(table) || pledgesExpired(table, now));
    }

    private boolean releasedByOperator(AssignmentTable table) {
        return replica.find(DocumentKey.release(table.service()), ReleaseOrder.class)
                .filter(order -> order.term() >= table.term())
                .isPresent();
    }

    /** Returns whether no absent host named in the table can still be serving on a pledge. */
    private boolean pledgesExpired(AssignmentTable table, Instant now) {
        Duration limit = table.continuity();
        return namedHosts(table).stream()
                .filter(absentSince::containsKey)
                .allMatch(host -> !now.isBefore(absentSince.get(host).plus(limit)));
    }

    private PlanInput input(ServiceDocument service, SortedMap<HostId, HostRecord> live) {
        ServiceName name = service.name();
        SortedMap<String, KeyPin> pins = new TreeMap<>();
        replica.all(KeyPin.class).stream()
                .filter(pin -> pin.service().equals(name))
                .forEach(pin -> pins.put(pin.keyHash(), pin));
        return new PlanInput(
                self,
                service,
                live,
                replica.all(DomainIntent.class).stream()
                        .filter(DomainIntent::out)
                        .map(DomainIntent::domain)
                        .collect(Collectors.toSet()),
                replica.all(TargetIntent.class).stream()
                        .filter(intent -> intent.drain() && intent.service().equals(name))
                        .map(TargetIntent::target)
                        .collect(Collectors.toSet()),
                pins,
                Map.copyOf(reports.getOrDefault(name, Map.of())));
    }
}
