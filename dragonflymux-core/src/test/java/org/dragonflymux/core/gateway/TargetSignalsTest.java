package org.dragonflymux.core.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;
import org.dragonflymux.core.balance.TargetEntry;
import org.dragonflymux.core.balance.TargetSignals;
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
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Guards against requests to targets that announced their shutdown, or a pause, in their answers. */
class TargetSignalsTest {

    private static final ServiceName POOLED = ServiceName.of("pooled");
    private static final ServiceName SHARDED = ServiceName.of("sharded");
    private static final FailureDomain DOMAIN = FailureDomain.of("a");
    private static final long DRAIN_MILLIS = 2_000;
    private static final long PAUSE_MILLIS = 3_000;
    private static final TargetSignals LEAVING = new TargetSignals(Optional.empty(), true, OptionalLong.empty());
    private static final TargetSignals PAUSE =
            new TargetSignals(Optional.empty(), false, OptionalLong.of(PAUSE_MILLIS));

    private Gateway gateway = gateway();
    private long now = 1_000_000;
    private long exchange;

    private static Gateway gateway() {
        return Gateway.of(
                new GatewaySettings(HostId.of("h"), 1, DOMAIN, 5_000, DRAIN_MILLIS, 0.2, 50, 10_000), () -> 0L, 0);
    }

    private static DesiredState state() {
        Route read =
                new Route("r", "/read/", true, false, 1_000, 300, 1, List.of(new WeightedService(POOLED, 1)), 2, true);
        Route key =
                new Route("k", "/key/", true, false, 1_000, 300, 1, List.of(new WeightedService(SHARDED, 1)), 2, true);
        return new DesiredState(
                1,
                Map.of("host", List.of(read, key)),
                Map.of(
                        POOLED,
                        new ServiceSpec(POOLED, "/health", 100, 3_000, 10, false),
                        SHARDED,
                        new ServiceSpec(SHARDED, "/health", 100, 3_000, 10, true)),
                Map.of(),
                false,
                new RequestLimits(8_192, 1 << 20, 3_000, 15_000));
    }

    private static TargetEntry entry(String id, ServiceName service, long incarnation) {
        return new TargetEntry(TargetId.of(id), service, "127.0.0.1:1", DOMAIN, 3, false, 0, incarnation);
    }

    private static final TargetEntry FIRST = entry("p1", POOLED, 1);
    private static final TargetEntry SECOND = entry("p2", POOLED, 1);
    private static final TargetEntry OWNER = entry("s1", SHARDED, 1);

    @BeforeEach
    void setUpTwoPooledTargetsAndOneOwner() {
        setUp(gateway);
    }

    private void setUp(Gateway host) {
        host.updateDesiredState(state());
        host.storeConfirmed(now);
        registered(FIRST, SECOND, OWNER);
        host.replaceTable(
                SHARDED, ShardTable.EMPTY.with(new Assignment(KeyRange.ALL, OWNER.id(), 1, 1, Optional.empty())), now);
    }

    private void registered(TargetEntry... entries) {
        gateway.directory().replace(List.of(entries), now);
    }

    private List<GatewayEffect> arrive(String path) {
        return gateway.requestArrived(
                new ArrivedRequest(
                        ++exchange,
                        "id" + exchange,
                        "host",
                        path,
                        Optional.empty(),
                        OptionalInt.of(7),
                        OptionalLong.of(2_000)),
                now);
    }

    private List<TargetId> targetsOf(List<GatewayEffect> effects) {
        return effects.stream()
                .filter(GatewayEffect.Send.class::isInstance)
                .map(effect -> ((GatewayEffect.Send) effect).target().id())
                .toList();
    }

    /** Returns the targets of a number of requests, each of which is answered before the next one arrives. */
    private List<TargetId> targetsOfRequests(String path, int count) {
        List<TargetId> result = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            List<GatewayEffect> effects = arrive(path);
            result.addAll(targetsOf(effects));
            effects.stream()
                    .filter(GatewayEffect.Send.class::isInstance)
                    .forEach(effect -> succeed((GatewayEffect.Send) effect));
        }
        return result;
    }

    private void succeed(GatewayEffect.Send send) {
        gateway.attemptEnded(send.attempt(), new AttemptResult.Answered(AttemptResult.Grade.SUCCESS), now);
    }

    private GatewayEffect.Refuse refusal(List<GatewayEffect> effects) {
        assertThat(effects).singleElement().isInstanceOf(GatewayEffect.Refuse.class);
        return (GatewayEffect.Refuse) effects.getFirst();
    }

    @Nested
    class LeavingTargets {

        @Test
        void get_no_requests_while_their_entry_still_says_ready() {
            gateway.signalsReceived(FIRST, LEAVING, now);

            assertThat(targetsOfRequests("/read/x", 8)).hasSize(8).containsOnly(SECOND.id());
        }

        @Test
        void get_no_requests_after_an_old_update_brings_their_entry_back() {
            gateway.signalsReceived(FIRST, LEAVING, now);
            registered(SECOND, OWNER);
            now += 5_000;
            registered(FIRST, SECOND, OWNER);

            assertThat(targetsOfRequests("/read/x", 8)).hasSize(8).containsOnly(SECOND.id());
        }

        @Test
        void get_no_repeated_and_no_queued_requests() {
            gateway.signalsReceived(SECOND, LEAVING, now);
            GatewayEffect.Send send = (GatewayEffect.Send) arrive("/read/x").getFirst();
            gateway.signalsReceived(FIRST, LEAVING, now);

            assertThat(targetsOf(gateway.attemptEnded(send.attempt(), new AttemptResult.NotRun(false), now)))
                    .isEmpty();
            assertThat(targetsOf(gateway.tick(now + 30))).isEmpty();
        }

        @Test
        void get_requests_again_as_a_new_incarnation() {
            gateway.signalsReceived(FIRST, LEAVING, now);
            registered(entry("p1", POOLED, 2), OWNER);

            assertThat(targetsOfRequests("/read/x", 1)).containsExactly(FIRST.id());
        }

        @Test
        void do_not_affect_a_new_incarnation_by_a_late_answer_of_the_previous_one() {
            registered(entry("p1", POOLED, 2), OWNER);
            gateway.signalsReceived(FIRST, LEAVING, now);

            assertThat(targetsOfRequests("/read/x", 1)).containsExactly(FIRST.id());
        }

        @Test
        void get_requests_for_their_keys_for_part_of_the_drain_time_only() {
            gateway.signalsReceived(OWNER, LEAVING, now);
            assertThat(targetsOfRequests("/key/x", 1)).containsExactly(OWNER.id());

            now += DRAIN_MILLIS;

            GatewayEffect.Refuse refuse = refusal(arrive("/key/x"));
            assertThat(refuse.reason()).isEqualTo(RefusalReason.NO_TARGET);
            assertThat(refuse.retryAfterMillis()).isPositive();
        }

        @Test
        void are_known_again_from_their_next_answer_after_a_restart_of_the_host() {
            gateway.signalsReceived(FIRST, LEAVING, now);
            gateway = gateway();
            setUp(gateway);
            gateway.signalsReceived(FIRST, LEAVING, now);

            assertThat(targetsOfRequests("/read/x", 8)).hasSize(8).containsOnly(SECOND.id());
        }
    }

    @Nested
    class PausedTargets {

        @Test
        void get_no_requests_until_the_pause_ends() {
            gateway.signalsReceived(FIRST, PAUSE, now);
            assertThat(targetsOfRequests("/read/x", 8)).containsOnly(SECOND.id());

            now += PAUSE_MILLIS;
            registered(FIRST, OWNER);

            assertThat(targetsOfRequests("/read/x", 1)).containsExactly(FIRST.id());
        }

        @Test
        void cause_refusals_at_once_with_the_end_of_the_pause_if_all_targets_of_a_service_pause() {
            gateway.signalsReceived(FIRST, PAUSE, now);
            gateway.signalsReceived(SECOND, PAUSE, now);

            GatewayEffect.Refuse refuse = refusal(arrive("/read/x"));

            assertThat(refuse.reason().outcome()).isEqualTo(RefusalReason.Outcome.NOT_RUN);
            assertThat(refuse.retryAfterMillis()).isBetween(PAUSE_MILLIS, 2 * PAUSE_MILLIS);
        }

        @Test
        void cause_refusals_at_once_for_the_keys_that_they_own() {
            List<GatewayEffect> effects = arrive("/key/x");
            gateway.signalsReceived(OWNER, PAUSE, now);
            GatewayEffect.Send send = (GatewayEffect.Send) effects.getFirst();
            gateway.attemptEnded(send.attempt(), new AttemptResult.NotRun(false), now);

            assertThat(refusal(gateway.tick(now)).reason()).isEqualTo(RefusalReason.NO_TARGET);
            assertThat(refusal(arrive("/key/x")).retryAfterMillis()).isBetween(PAUSE_MILLIS, 2 * PAUSE_MILLIS);
        }

        @Test
        void get_one_request_at_a_time_until_the_first_success_after_the_pause() {
            registered(FIRST, OWNER);
            gateway.signalsReceived(FIRST, PAUSE, now);
            now += PAUSE_MILLIS;

            List<GatewayEffect> first = arrive("/read/x");
            assertThat(targetsOf(first)).hasSize(1);
            assertThat(targetsOf(arrive("/read/x"))).isEmpty();
            succeed((GatewayEffect.Send) first.getFirst());

            assertThat(targetsOf(arrive("/read/x"))).hasSize(1);
        }

        @Test
        void stay_paused_when_their_entry_is_removed_and_returns() {
            gateway.signalsReceived(FIRST, PAUSE, now);
            registered(SECOND, OWNER);
            registered(FIRST, OWNER);

            assertThat(refusal(arrive("/read/x")).reason().outcome()).isEqualTo(RefusalReason.Outcome.NOT_RUN);
        }

        /**
         * Guards against requests within a pause: a restarted target answers at the address of its previous incarnation before its
         * entry arrives, and an answer doesn't say which incarnation it is from.
         */
        @Test
        void stay_paused_when_the_entry_of_a_new_incarnation_arrives() {
            gateway.signalsReceived(FIRST, PAUSE, now);
            registered(entry("p1", POOLED, 2), OWNER);
            assertThat(refusal(arrive("/read/x")).reason().outcome()).isEqualTo(RefusalReason.Outcome.NOT_RUN);

            now += PAUSE_MILLIS;

            assertThat(targetsOfRequests("/read/x", 1)).containsExactly(FIRST.id());
        }

        /** The same, for a request that was sent before the entry of the new incarnation arrived and answered after it. */
        @Test
        void are_paused_by_the_answer_to_a_request_that_was_sent_to_their_previous_incarnation() {
            registered(entry("p1", POOLED, 2), OWNER);
            gateway.signalsReceived(FIRST, PAUSE, now);

            assertThat(refusal(arrive("/read/x")).reason().outcome()).isEqualTo(RefusalReason.Outcome.NOT_RUN);
        }
    }

    /** Guards against refusing all requests for the keys of an owner that runs half of them and turns away the others. */
    @Nested
    class TargetsThatTurnPartOfTheirRequestsAway {

        private static final int REQUESTS = 400;
        private static final long INTERVAL_MILLIS = 10;

        @Test
        void are_still_sent_most_of_the_requests_for_their_keys() {
            Random random = new Random(1);
            Set<Long> sentExchanges = new HashSet<>();
            for (int i = 0; i < REQUESTS; i++) {
                now += INTERVAL_MILLIS;
                gateway.storeConfirmed(now);
                Deque<GatewayEffect> effects = new ArrayDeque<>(arrive("/key/x"));
                effects.addAll(gateway.tick(now));
                while (!effects.isEmpty()) {
                    if (effects.removeFirst() instanceof GatewayEffect.Send send) {
                        sentExchanges.add(send.exchange());
                        effects.addAll(gateway.attemptEnded(send.attempt(), resultOfHalf(random), now));
                    }
                }
            }

            assertThat(sentExchanges).hasSizeGreaterThan(REQUESTS * 3 / 4);
        }

        private AttemptResult resultOfHalf(Random random) {
            return random.nextBoolean()
                    ? new AttemptResult.Answered(AttemptResult.Grade.SUCCESS)
                    : new AttemptResult.NotRun(false);
        }
    }
}
