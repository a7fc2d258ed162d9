package org.dragonflymux.gateway.peer;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import org.dragonflymux.core.gateway.PeerReport;
import org.dragonflymux.core.gateway.ReportAggregator;
import org.dragonflymux.core.membership.FleetMember;
import org.dragonflymux.core.name.FailureDomain;
import org.dragonflymux.core.name.HostId;
import org.dragonflymux.core.name.ServiceName;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against reports that overload a large fleet. In a fleet of 87 hosts, reports from each host to every other one
 * saturated links and processors.
 */
class ReportTrafficOfLargeFleetsTest {

    private static final int DOMAINS = 4;
    private static final int TARGETS_PER_HOST = 3;
    private static final int TARGETS_IN_USE = 8;
    private static final int SECONDS = 6;
    private static final int FIRST_COUNTED_SECOND = 3;
    private static final int DATAGRAM_HEADER_BYTES = 28;
    /** A tenth of the slowest link, which has 7 Mbit/s. The rest is reserved for callers. */
    private static final long MAX_BYTES_PER_SECOND = 87_500;
    /** Limit on the control traffic of a typical host in a large fleet. */
    private static final long MAX_MEDIAN_BYTES_PER_SECOND = 5_000;

    private final Map<HostId, ReportAggregator> fleet = new HashMap<>();
    private final Map<HostId, Long> sentBytes = new HashMap<>();
    private final Map<HostId, Long> receivedBytes = new HashMap<>();
    private final SplittableRandom random = new SplittableRandom(5);
    private long sequence;

    private static List<FleetMember> members(int hosts) {
        List<FleetMember> result = new ArrayList<>();
        for (int i = 0; i < hosts; i++) {
            result.add(new FleetMember(
                    HostId.of("front-domain-" + i), 1, FailureDomain.of("d" + i % DOMAINS), "127.0.0.1:" + i));
        }
        return result;
    }

    private PeerReport createReport(HostId host, int hosts) {
        List<PeerReport.TargetUse> uses = new ArrayList<>();
        for (int i = 0; i < TARGETS_IN_USE; i++) {
            uses.add(new PeerReport.TargetUse(
                    Integer.MAX_VALUE - random.nextInt(hosts * TARGETS_PER_HOST), 1, 0, 1, 400, 120, 50));
        }
        return new PeerReport(
                host,
                1,
                ++sequence,
                Map.of(),
                uses,
                Map.of(ServiceName.of("service"), 1),
                Map.of(ServiceName.of("service"), new int[] {random.nextInt(65_536)}));
    }

    private void simulate(int hosts) {
        List<FleetMember> members = members(hosts);
        members.forEach(member -> {
            ReportAggregator aggregator = ReportAggregator.of(member.host());
            aggregator.replaceMembers(members, 0);
            fleet.put(member.host(), aggregator);
        });
        for (long now = 0; now < SECONDS * 1_000L; now++) {
            for (FleetMember member : members) {
                if (fleet.get(member.host()).due(now)) {
                    sendReports(member.host(), hosts, now);
                }
            }
        }
    }

    private void sendReports(HostId from, int hosts, long now) {
        for (ReportAggregator.Outgoing outgoing :
                fleet.get(from).outgoing(createReport(from, hosts), Optional.empty(), now)) {
            long bytes = ReportCodec.encode(outgoing.report()).length + DATAGRAM_HEADER_BYTES;
            for (HostId to : outgoing.to()) {
                fleet.get(to).reportReceived(outgoing.report(), now);
                if (now >= FIRST_COUNTED_SECOND * 1_000L) {
                    sentBytes.merge(from, bytes, Long::sum);
                    receivedBytes.merge(to, bytes, Long::sum);
                }
            }
        }
    }

    private static long maxPerSecond(Map<HostId, Long> bytes) {
        return bytes.values().stream().mapToLong(Long::longValue).max().orElse(0) / (SECONDS - FIRST_COUNTED_SECOND);
    }

    @ParameterizedTest
    @ValueSource(ints = {87, 300, 1_000})
    void a_typical_host_receives_no_more_than_the_limit_for_control_traffic(int hosts) {
        simulate(hosts);
        long median = receivedBytes.values().stream()
                .sorted()
                .skip(receivedBytes.size() / 2)
                .findFirst()
                .orElseThrow();

        assertThat(median / (SECONDS - FIRST_COUNTED_SECOND)).isLessThanOrEqualTo(MAX_MEDIAN_BYTES_PER_SECOND);
    }

    @ParameterizedTest
    @ValueSource(ints = {12, 87, 300, 1_000})
    void no_host_uses_more_than_a_tenth_of_the_slowest_link(int hosts) {
        simulate(hosts);

        assertThat(maxPerSecond(sentBytes)).isLessThanOrEqualTo(MAX_BYTES_PER_SECOND);
        assertThat(maxPerSecond(receivedBytes)).isLessThanOrEqualTo(MAX_BYTES_PER_SECOND);
    }
}
