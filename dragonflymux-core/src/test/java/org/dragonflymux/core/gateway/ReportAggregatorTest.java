package org.dragonflymux.core.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.dragonflymux.core.membership.FleetMember;
import org.dragonflymux.core.name.FailureDomain;
import org.dragonflymux.core.name.HostId;
import org.dragonflymux.core.name.ServiceName;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class ReportAggregatorTest {

    private static final int HOSTS = 36;
    private static final int TARGET = 77;
    private static final ServiceName SERVICE = ServiceName.of("s");
    private static final long INTERVAL_MILLIS = 100;

    private final Map<HostId, ReportAggregator> fleet = new HashMap<>();
    private final Map<HostId, PeerReport> delivered = new HashMap<>();
    private final List<FleetMember> members = new ArrayList<>();
    private Optional<HostId> grantor = Optional.empty();
    private Optional<HostId> failedHost = Optional.empty();
    private long sequence;
    private long now = 1_000;

    private static HostId host(int number) {
        return HostId.of(String.format("h%02d", number));
    }

    @BeforeEach
    void setUpFleetInTwoDomains() {
        for (int i = 0; i < HOSTS; i++) {
            members.add(new FleetMember(host(i), 1, FailureDomain.of("d" + i % 2), "127.0.0.1:" + i));
        }
        for (FleetMember member : members) {
            ReportAggregator aggregator = ReportAggregator.of(member.host());
            aggregator.replaceMembers(members, now);
            fleet.put(member.host(), aggregator);
        }
    }

    private PeerReport own(HostId host) {
        return new PeerReport(
                host,
                1,
                sequence,
                Map.of(),
                List.of(new PeerReport.TargetUse(TARGET, 2, 1, 1, 40, 150, 20)),
                Map.of(SERVICE, 3),
                Map.of(SERVICE, new int[] {7}));
    }

    /** Lets each host report once. The reports are distributed over the interval, as in a real fleet. */
    private void runRound() {
        sequence++;
        for (int i = HOSTS - 1; i >= 0; i--) {
            now += INTERVAL_MILLIS / HOSTS;
            HostId from = host(i);
            if (failedHost.filter(from::equals).isPresent()) {
                continue;
            }
            for (ReportAggregator.Outgoing outgoing : fleet.get(from).outgoing(own(from), grantor, now)) {
                outgoing.to().forEach(to -> deliver(to, outgoing.report()));
            }
        }
    }

    private void deliver(HostId to, PeerReport report) {
        if (!failedHost.filter(to::equals).isPresent()) {
            fleet.get(to).reportReceived(report, now).ifPresent(othersReport -> delivered.put(to, othersReport));
        }
    }

    private static PeerReport.TargetUse use(PeerReport report) {
        return report.targets().getFirst();
    }

    private HostId collectorOf(HostId host) {
        return ReportGroups.of(members).groupOf(host).getFirst();
    }

    @Test
    void a_host_learns_the_requests_of_all_other_hosts() {
        runRound();
        runRound();
        runRound();

        HostId ordinary = host(HOSTS - 1);
        assertThat(collectorOf(ordinary)).isNotEqualTo(ordinary);
        assertThat(use(delivered.get(ordinary)).inFlight()).isEqualTo(2 * (HOSTS - 1));
        assertThat(use(delivered.get(ordinary)).waiting()).isEqualTo(HOSTS - 1);
        assertThat(delivered.get(ordinary).waiting()).containsEntry(SERVICE, 3 * (HOSTS - 1));
    }

    @Test
    void completions_are_passed_on_once() {
        runRound();
        runRound();
        runRound();
        int before = use(delivered.get(host(HOSTS - 1))).completions();
        runRound();

        assertThat(before).isEqualTo(HOSTS);
        assertThat(use(delivered.get(host(HOSTS - 1))).completions()).isEqualTo(HOSTS);
    }

    @Test
    void only_the_grantor_receives_the_keys_requested_at_other_hosts() {
        grantor = Optional.of(host(HOSTS - 1));
        runRound();
        runRound();
        runRound();

        assertThat(delivered.get(host(HOSTS - 1)).keys().get(SERVICE)).hasSize(HOSTS - 1);
        assertThat(delivered.get(host(HOSTS - 3)).keys()).isEmpty();
    }

    @Test
    void a_group_whose_collector_has_failed_reports_to_the_next_host() {
        runRound();
        failedHost = Optional.of(collectorOf(host(HOSTS - 1)));
        for (int i = 0; i < 8; i++) {
            runRound();
        }

        int otherGroupMembers =
                ReportGroups.of(members).groupOf(host(HOSTS - 1)).size() - 2;
        assertThat(use(delivered.get(host(HOSTS - 1))).inFlight()).isGreaterThanOrEqualTo(2 * otherGroupMembers);
    }

    @Test
    void duplicate_reports_are_ignored() {
        HostId collector = collectorOf(host(HOSTS - 1));
        sequence = 5;
        PeerReport report = own(host(HOSTS - 1));

        assertThat(fleet.get(collector).reportReceived(report, now)).isPresent();
        assertThat(fleet.get(collector).reportReceived(report, now)).isEmpty();
    }

    @Test
    void hosts_of_a_large_fleet_report_less_often() {
        ReportAggregator aggregator = fleet.get(host(0));
        assertThat(aggregator.due(now)).isTrue();
        assertThat(aggregator.due(now + INTERVAL_MILLIS - 1)).isFalse();
        assertThat(aggregator.due(now + 2 * INTERVAL_MILLIS)).isTrue();
        List<FleetMember> large = new ArrayList<>(members);
        for (int i = 0; i < 300; i++) {
            large.add(new FleetMember(HostId.of("x" + i), 1, FailureDomain.of("d0"), "127.0.0.1:1"));
        }
        aggregator.replaceMembers(large, now);

        assertThat(aggregator.due(now + 4 * INTERVAL_MILLIS)).isTrue();
        assertThat(aggregator.due(now + 13 * INTERVAL_MILLIS)).isFalse();
    }
}
