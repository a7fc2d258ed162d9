package org.dragonflymux.core.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Set;
import org.dragonflymux.core.balance.ColdPacer;
import org.dragonflymux.core.balance.TargetDirectory;
import org.dragonflymux.core.balance.TargetEntry;
import org.dragonflymux.core.balance.TargetSelector;
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
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class WaitingRequestsTest {

    private static final FailureDomain DOMAIN = FailureDomain.of("a");
    private static final ServiceName POOLED = ServiceName.of("pooled");
    private static final ServiceName SHARDED = ServiceName.of("sharded");
    private static final long NOW = 1_000;

    private final TargetDirectory directory = TargetDirectory.empty();
    private final WaitingRequests waiting = new WaitingRequests(
            directory,
            TargetSelector.of(directory, ColdPacer.of(HostId.of("h"), () -> 1), DOMAIN, () -> 0L),
            new FleetView(HostId.of("h"), directory),
            1_000);
    private long lastExchange;

    private static TargetEntry target(String id, ServiceName service) {
        return new TargetEntry(TargetId.of(id), service, "127.0.0.1:1", DOMAIN, 1, false, 0, 1);
    }

    private Exchange request(ServiceName service) {
        ArrivedRequest request = new ArrivedRequest(
                ++lastExchange,
                "id" + lastExchange,
                "host",
                "/x",
                Optional.empty(),
                OptionalInt.of(7),
                OptionalLong.empty());
        Route route =
                new Route("r", "/", true, false, 1_000, 300, 1, List.of(new WeightedService(service, 1)), 2, true);
        ServiceSpec spec = new ServiceSpec(service, "/health", 100, 3_000, 10, service.equals(SHARDED));
        return new Exchange(request, route, spec, Optional.empty(), NOW, NOW + 1_000);
    }

    @BeforeEach
    void setUpOneTargetPerService() {
        directory.replace(List.of(target("p", POOLED), target("s", SHARDED)), NOW);
        waiting.replaceTable(
                SHARDED, ShardTable.EMPTY.with(new Assignment(KeyRange.ALL, TargetId.of("s"), 1, 1, Optional.empty())));
    }

    @Nested
    class ExpectedWait {

        @Test
        void is_zero_while_a_slot_is_free() {
            assertThat(waiting.expectedWaitMillis(request(POOLED), NOW)).isZero();
            assertThat(waiting.expectedWaitMillis(request(SHARDED), NOW)).isZero();
        }

        @Test
        void grows_with_the_number_of_requests_ahead() {
            waiting.add(request(SHARDED));
            double behindOne = waiting.expectedWaitMillis(request(SHARDED), NOW);
            waiting.add(request(SHARDED));

            assertThat(behindOne).isPositive();
            assertThat(waiting.expectedWaitMillis(request(SHARDED), NOW)).isGreaterThan(behindOne);
        }

        @Test
        void is_unlimited_while_no_target_is_usable() {
            directory.replaceDrainedDomains(Set.of(DOMAIN));

            assertThat(waiting.expectedWaitMillis(request(POOLED), NOW)).isEqualTo(Double.MAX_VALUE);
        }
    }

    @Test
    void counts_by_service_and_by_owner_follow_added_and_removed_requests() {
        Exchange first = request(SHARDED);
        waiting.add(first);
        waiting.add(request(POOLED));
        assertThat(waiting.countByService()).isEqualTo(Map.of(SHARDED, 1, POOLED, 1));
        assertThat(waiting.countByOwner()).isEqualTo(Map.of(TargetId.of("s"), 1));

        waiting.remove(first);

        assertThat(waiting.countByOwner()).isEmpty();
    }

    @Test
    void an_owner_is_unavailable_when_it_is_unreachable_or_not_registered() {
        assertThat(waiting.millisUntilOwnerReturns(request(SHARDED), NOW)).isEmpty();
        directory.target(TargetId.of("s")).orElseThrow().failed(true, NOW);
        assertThat(waiting.millisUntilOwnerReturns(request(SHARDED), NOW)).isPresent();

        directory.replace(List.of(), NOW);

        assertThat(waiting.millisUntilOwnerReturns(request(SHARDED), NOW)).isPresent();
        assertThat(waiting.millisUntilOwnerReturns(request(POOLED), NOW)).isEmpty();
    }
}
