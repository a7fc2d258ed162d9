package org.dragonflymux.core.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import org.dragonflymux.core.balance.TargetEntry;
import org.dragonflymux.core.desired.DesiredState;
import org.dragonflymux.core.desired.RequestLimits;
import org.dragonflymux.core.desired.Route;
import org.dragonflymux.core.desired.ServiceSpec;
import org.dragonflymux.core.desired.WeightedService;
import org.dragonflymux.core.name.FailureDomain;
import org.dragonflymux.core.name.HostId;
import org.dragonflymux.core.name.ServiceName;
import org.dragonflymux.core.name.TargetId;
import org.dragonflymux.core.shard.Assignment;
import org.dragonflymux.core.shard.KeyRange;
import org.dragonflymux.core.shard.ShardTable;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Four hosts share one target: the first fills it, the requests of the second and third wait, and the fourth decides by the
 * reports of the others.
 */
class UrgentRequestsBehindPeersTest {

    private static final FailureDomain DOMAIN = FailureDomain.of("a");
    private static final ServiceName SERVICE = ServiceName.of("s");
    private static final TargetId TARGET = TargetId.of("t");
    private static final int SLOTS = 10;
    /** More than a host accepts while the target is full. */
    private static final int BURST = 60;

    private static final int URGENT = 0;
    private static final int BACKGROUND = 2;
    private static final long NOW = 1_000_000;

    private long exchange;

    private static Route route(int priority) {
        return new Route(
                "r" + priority,
                "/" + priority + "/",
                true,
                false,
                1_000,
                300,
                priority,
                List.of(new WeightedService(SERVICE, 1)),
                2,
                true);
    }

    private static Gateway host(String name, boolean sharded) {
        Gateway gateway =
                Gateway.of(new GatewaySettings(HostId.of(name), 1, DOMAIN, 5_000, 2_000, 0.2, 50, 10_000), () -> 0L, 0);
        List<Route> routes = new ArrayList<>();
        for (int priority = -1; priority < 12; priority++) {
            routes.add(route(priority));
        }
        gateway.updateDesiredState(new DesiredState(
                1,
                Map.of("host", routes),
                Map.of(SERVICE, new ServiceSpec(SERVICE, "/health", 100, 3_000, 10, sharded)),
                Map.of(),
                false,
                new RequestLimits(8_192, 1 << 20, 3_000, 15_000)));
        gateway.storeConfirmed(NOW);
        gateway.directory()
                .replace(List.of(new TargetEntry(TARGET, SERVICE, "127.0.0.1:1", DOMAIN, SLOTS, false, 0, 1)), NOW);
        gateway.replaceTable(
                SERVICE, ShardTable.EMPTY.with(new Assignment(KeyRange.ALL, TARGET, 1, 1, Optional.empty())), NOW);
        return gateway;
    }

    private List<GatewayEffect> arrive(Gateway gateway, int priority) {
        return gateway.requestArrived(
                new ArrivedRequest(
                        ++exchange,
                        "id" + exchange,
                        "host",
                        "/" + priority + "/x",
                        Optional.empty(),
                        OptionalInt.of(7),
                        OptionalLong.of(2_000)),
                NOW);
    }

    private static boolean refused(List<GatewayEffect> effects) {
        return effects.stream().anyMatch(GatewayEffect.Refuse.class::isInstance);
    }

    /** Returns how many requests of a burst a host accepts. */
    private int accepted(Gateway gateway, int priority, int burst) {
        int count = 0;
        for (int i = 0; i < burst; i++) {
            count += refused(arrive(gateway, priority)) ? 0 : 1;
        }
        return count;
    }

    /** Returns the reports of a host that fills the target and of two hosts whose requests wait for it. */
    private List<PeerReport> reportsOfPeers(boolean sharded, int priority, int burst) {
        Gateway first = host("first", sharded);
        accepted(first, priority, SLOTS);
        PeerReport full = first.report(NOW);
        List<PeerReport> result = new ArrayList<>(List.of(full));
        for (String name : List.of("second", "third")) {
            Gateway other = host(name, sharded);
            other.peerReportReceived(full, NOW);
            accepted(other, priority, burst);
            result.add(other.report(NOW));
        }
        return result;
    }

    private static Gateway fourthHost(boolean sharded, List<PeerReport> reports) {
        Gateway fourth = host("fourth", sharded);
        reports.forEach(report -> fourth.peerReportReceived(report, NOW));
        return fourth;
    }

    @Nested
    class BehindLessUrgentRequests {

        /** Guards against urgent requests that are refused because of background work that waits at other hosts. */
        @ParameterizedTest
        @ValueSource(booleans = {false, true})
        void an_urgent_request_is_accepted_and_sent_when_a_slot_becomes_free(boolean sharded) {
            List<PeerReport> reports = reportsOfPeers(sharded, BACKGROUND, BURST);
            Gateway fourth = fourthHost(sharded, reports);

            assertThat(arrive(fourth, URGENT)).isEmpty();

            PeerReport idle = new PeerReport(
                    HostId.of("first"), 1, reports.getFirst().sequence() + 1, Map.of(), List.of(), Map.of(), Map.of());
            assertThat(fourth.peerReportReceived(idle, NOW)).hasOnlyElementsOfType(GatewayEffect.Send.class);
        }

        @ParameterizedTest
        @ValueSource(booleans = {false, true})
        void a_request_that_is_as_urgent_is_refused(boolean sharded) {
            Gateway fourth = fourthHost(sharded, reportsOfPeers(sharded, BACKGROUND, BURST));

            assertThat(refused(arrive(fourth, BACKGROUND))).isTrue();
            assertThat(refused(arrive(fourth, BACKGROUND + 1))).isTrue();
        }
    }

    @Nested
    class WithOnePriority {

        /**
         * Guards against a change of decisions for services whose requests all have the same priority. The expected numbers
         * were measured before reports carried priority classes.
         */
        @ParameterizedTest
        @CsvSource({
            "false, 4, 37", "false, 8, 29", "false, 60, 0",
            "true, 4, 37", "true, 8, 29", "true, 60, 0"
        })
        void a_host_accepts_as_many_requests_as_before(boolean sharded, int burstAtPeers, int expected) {
            for (int priority : new int[] {-1, 0, 1, 7, 8, 11}) {
                Gateway fourth = fourthHost(sharded, reportsOfPeers(sharded, priority, burstAtPeers));

                assertThat(accepted(fourth, priority, BURST))
                        .as("priority %d", priority)
                        .isEqualTo(expected);
            }
        }
    }
}
