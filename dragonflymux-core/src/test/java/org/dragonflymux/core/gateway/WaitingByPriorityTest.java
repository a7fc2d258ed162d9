package org.dragonflymux.core.gateway;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import org.dragonflymux.core.balance.ColdPacer;
import org.dragonflymux.core.balance.TargetDirectory;
import org.dragonflymux.core.balance.TargetEntry;
import org.dragonflymux.core.balance.TargetSelector;
import org.dragonflymux.core.desired.CustomerSpec;
import org.dragonflymux.core.desired.Route;
import org.dragonflymux.core.desired.ServiceSpec;
import org.dragonflymux.core.desired.WeightedService;
import org.dragonflymux.core.membership.FleetMember;
import org.dragonflymux.core.name.CustomerName;
import org.dragonflymux.core.name.FailureDomain;
import org.dragonflymux.core.name.HostId;
import org.dragonflymux.core.name.ServiceName;
import org.dragonflymux.core.name.TargetId;
import org.dragonflymux.core.shard.Assignment;
import org.dragonflymux.core.shard.KeyRange;
import org.dragonflymux.core.shard.ShardTable;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against urgent requests that are refused because of less urgent ones that wait at other hosts. */
class WaitingByPriorityTest {

    private static final FailureDomain DOMAIN = FailureDomain.of("a");
    private static final ServiceName SERVICE = ServiceName.of("s");
    private static final HostId PEER = HostId.of("peer");
    private static final TargetId TARGET = TargetId.of("t");
    private static final long NOW = 1_000;
    private static final int WAITING_AT_PEER = 20;
    private static final int BACKGROUND = 2;
    /** Hosts of smaller fleets may report to each other directly. */
    private static final int HOSTS_WITH_GROUPS = 36;

    private final TargetDirectory directory = TargetDirectory.empty();
    private final FleetView fleet = new FleetView(HostId.of("h"), directory);
    private final WaitingRequests waiting = new WaitingRequests(
            directory,
            TargetSelector.of(directory, ColdPacer.of(HostId.of("h"), () -> 1), DOMAIN, () -> 0L),
            fleet,
            1_000);

    private static Exchange request(boolean sharded, int routePriority, OptionalInt customerPriority) {
        ArrivedRequest request =
                new ArrivedRequest(1, "id", "host", "/x", Optional.empty(), OptionalInt.of(7), OptionalLong.empty());
        Route route = new Route(
                "r", "/", true, false, 1_000, 300, routePriority, List.of(new WeightedService(SERVICE, 1)), 2, true);
        return new Exchange(
                request,
                route,
                new ServiceSpec(SERVICE, "/health", 100, 3_000, 10, sharded),
                Optional.of(new CustomerSpec(CustomerName.of("c"), customerPriority, 0, 0)),
                NOW,
                NOW + 1_000);
    }

    private static Exchange request(boolean sharded, int priority) {
        return request(sharded, priority, OptionalInt.empty());
    }

    /** Returns a report of requests that wait for the target, of which some have a class other than 0. */
    private static PeerReport report(Map<WaitingClass, Integer> waitingByClass) {
        return new PeerReport(
                PEER,
                1,
                1,
                Map.of(),
                List.of(new PeerReport.TargetUse(TARGET.hash(), 0, WAITING_AT_PEER, 0, 0, 100, -1)),
                Map.of(SERVICE, WAITING_AT_PEER),
                waitingByClass,
                Map.of());
    }

    @BeforeEach
    void setUpOneTarget() {
        directory.replace(List.of(new TargetEntry(TARGET, SERVICE, "127.0.0.1:1", DOMAIN, 1, false, 0, 1)), NOW);
        waiting.replaceTable(
                SERVICE, ShardTable.EMPTY.with(new Assignment(KeyRange.ALL, TARGET, 1, 1, Optional.empty())));
    }

    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void only_requests_that_are_at_least_as_urgent_delay_a_request(boolean sharded) {
        fleet.reportReceived(report(Map.of(new WaitingClass(SERVICE, BACKGROUND), WAITING_AT_PEER)), NOW);

        assertThat(waiting.expectedWaitMillis(request(sharded, 0), NOW)).isZero();
        assertThat(waiting.expectedWaitMillis(request(sharded, BACKGROUND, OptionalInt.of(0)), NOW))
                .as("the customer's priority replaces that of the route")
                .isZero();
        assertThat(waiting.expectedWaitMillis(request(sharded, BACKGROUND), NOW))
                .isPositive();
    }

    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void waiting_requests_in_reports_of_the_earlier_format_delay_all(boolean sharded) {
        fleet.reportReceived(report(Map.of()), NOW);

        assertThat(waiting.expectedWaitMillis(request(sharded, 0), NOW)).isPositive();
    }

    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void only_the_requests_of_more_urgent_classes_and_of_the_same_class_count(boolean sharded) {
        fleet.reportReceived(
                report(Map.of(new WaitingClass(SERVICE, 1), 5, new WaitingClass(SERVICE, BACKGROUND), 10)), NOW);
        double behindFive = waiting.expectedWaitMillis(request(sharded, 0), NOW);

        assertThat(behindFive).isPositive();
        assertThat(waiting.expectedWaitMillis(request(sharded, 1), NOW)).isEqualTo(2 * behindFive, within(1e-6));
        assertThat(waiting.expectedWaitMillis(request(sharded, BACKGROUND), NOW))
                .isEqualTo(4 * behindFive, within(1e-6));
    }

    /** Guards against priorities beyond the last class that are counted nowhere or as more urgent. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void priorities_beyond_the_last_class_share_it_and_negative_ones_share_the_first(boolean sharded) {
        fleet.reportReceived(report(Map.of(new WaitingClass(SERVICE, WaitingClass.COUNT - 1), WAITING_AT_PEER)), NOW);

        assertThat(waiting.expectedWaitMillis(request(sharded, WaitingClass.COUNT - 2), NOW))
                .isZero();
        assertThat(waiting.expectedWaitMillis(request(sharded, 100), NOW)).isPositive();
        assertThat(waiting.expectedWaitMillis(request(sharded, -100), NOW)).isZero();
    }

    /** Guards against a wait for one owner that counts the requests which wait for other owners of the service's keys. */
    @Test
    void what_waits_for_other_owners_does_not_delay_a_request() {
        PeerReport forAnotherOwner =
                new PeerReport(PEER, 1, 1, Map.of(), List.of(), Map.of(SERVICE, WAITING_AT_PEER), Map.of());
        fleet.reportReceived(forAnotherOwner, NOW);

        assertThat(waiting.expectedWaitMillis(request(true, 0), NOW)).isZero();
    }

    @Test
    void waiting_requests_are_counted_by_class_without_the_most_urgent() {
        waiting.add(request(false, -1));
        waiting.add(request(false, 0));
        waiting.add(request(false, BACKGROUND));
        waiting.add(request(false, WaitingClass.COUNT));

        assertThat(waiting.countByService()).isEqualTo(Map.of(SERVICE, 4));
        assertThat(waiting.countByClass())
                .isEqualTo(Map.of(
                        new WaitingClass(SERVICE, BACKGROUND),
                        1,
                        new WaitingClass(SERVICE, WaitingClass.COUNT - 1),
                        1));
    }

    /** Guards against own waiting requests that come back in an aggregate and count twice. */
    @Test
    void an_aggregate_passes_on_the_waiting_requests_of_the_other_hosts_by_class() {
        WaitingClass background = new WaitingClass(SERVICE, BACKGROUND);
        List<FleetMember> members = new ArrayList<>();
        for (int i = 0; i < HOSTS_WITH_GROUPS; i++) {
            members.add(new FleetMember(HostId.of("h" + i), 1, DOMAIN, "127.0.0.1:" + i));
        }
        List<HostId> group = ReportGroups.of(members).groupOf(HostId.of("h0"));
        ReportAggregator collector = ReportAggregator.of(group.getFirst());
        ReportAggregator other = ReportAggregator.of(group.getLast());
        collector.replaceMembers(members, NOW);
        other.replaceMembers(members, NOW);
        PeerReport ofOther = new PeerReport(
                group.getLast(), 1, 1, Map.of(), List.of(), Map.of(SERVICE, 9), Map.of(background, 6), Map.of());
        PeerReport ofCollector = new PeerReport(
                group.getFirst(), 1, 1, Map.of(), List.of(), Map.of(SERVICE, 5), Map.of(background, 3), Map.of());

        other.outgoing(ofOther, Optional.empty(), NOW)
                .forEach(outgoing -> collector.reportReceived(outgoing.report(), NOW));
        PeerReport aggregate = collector.outgoing(ofCollector, Optional.empty(), NOW).stream()
                .filter(outgoing -> outgoing.to().contains(group.getLast()))
                .findFirst()
                .orElseThrow()
                .report();
        PeerReport ofOthers = other.reportReceived(aggregate, NOW).orElseThrow();

        assertThat(aggregate.waiting()).isEqualTo(Map.of(SERVICE, 14));
        assertThat(aggregate.waitingByClass()).isEqualTo(Map.of(background, 9));
        assertThat(ofOthers.waiting()).isEqualTo(Map.of(SERVICE, 5));
        assertThat(ofOthers.waitingByClass()).isEqualTo(Map.of(background, 3));
        assertThat(ofOthers.waitingUpTo(new WaitingClass(SERVICE, 0))).isEqualTo(2);
    }
}
