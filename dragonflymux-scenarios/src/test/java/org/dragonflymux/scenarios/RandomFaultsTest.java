package org.dragonflymux.scenarios;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.dragonflymux.core.assignment.KeyHash;
import org.dragonflymux.core.document.DomainIntent;
import org.dragonflymux.core.document.Fencing;
import org.dragonflymux.core.document.KeyPin;
import org.dragonflymux.core.name.FailureDomain;
import org.dragonflymux.core.name.ServiceName;
import org.dragonflymux.core.name.TargetId;
import org.dragonflymux.scenarios.simulation.Fleet;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Injects random faults, several at a time, under load, and then removes them all. The invariants of the protocol must
 * hold throughout, and all keys must be served again after the recovery time.
 */
class RandomFaultsTest {

    private static final int FAULT_COUNT = 25;
    private static final int SEEDS_PER_TEST = Integer.parseInt(System.getenv().getOrDefault("STORM_SEEDS", "12"));
    private static final Duration RECOVERY_TIME = Duration.ofSeconds(30);

    /** One random sequence of faults, determined by its seed. */
    private static final class FaultSequence {

        private final World world = new World();
        private final Random random;
        private final List<String> pausedHosts = new ArrayList<>();
        private final List<String> orderKeys = new ArrayList<>();
        private int nextHostNumber = 10;

        private FaultSequence(long seed, Fencing fencing) {
            random = new Random(seed);
            world.setCredentialTrust(Duration.ofMinutes(30));
            world.setContinuity(Duration.ofSeconds(20));
            world.start(seed, 3, 2, 2, fencing);
            fleet().writeCustomer("greedy", 40, 20, 1, Map.of());
        }

        private Fleet fleet() {
            return world.fleet;
        }

        private String any(List<String> names) {
            return names.get(random.nextInt(names.size()));
        }

        private String anyDomain() {
            return String.valueOf((char) ('a' + random.nextInt(3)));
        }

        private void injectFault() {
            switch (random.nextInt(17)) {
                case 0 -> fleet().killTarget(any(fleet().targetNames()));
                case 1 -> fleet().restartTarget(any(fleet().targetNames()));
                case 2 -> fleet().freezeTarget(any(fleet().targetNames()));
                case 3 -> fleet().thawTarget(any(fleet().targetNames()));
                case 4 -> replaceHost();
                case 5 -> pauseHost();
                case 6 -> resumeHosts();
                case 7 -> fleet().setStoreDown(true);
                case 8 -> fleet().setStoreDown(false);
                case 9 -> fleet().setStoreLosesAnswers(random.nextBoolean());
                case 10 -> fleet().setIsolatedFromPeers(anyDomain(), true);
                case 11 -> fleet().setIsolatedFromStore(anyDomain(), true);
                case 12, 13 -> reconnectDomains();
                case 14 ->
                    fleet().writeDocument(new DomainIntent(FailureDomain.of(anyDomain()), random.nextInt(3) == 0));
                case 15 ->
                    fleet().writeDocument(new KeyPin(
                            ServiceName.of("svc"),
                            KeyHash.hex(KeyHash.of("k" + random.nextInt(World.KEYS))),
                            TargetId.of(any(fleet().targetNames()))));
                default -> fleet().shutDown(any(fleet().hostNames()));
            }
        }

        private void replaceHost() {
            List<String> hosts = fleet().hostNames();
            if (hosts.size() > 3) {
                String killed = any(hosts);
                pausedHosts.remove(killed);
                fleet().kill(killed);
                String domain = fleet().domainOfHost(killed);
                fleet().startHost(domain + nextHostNumber++, domain);
            }
        }

        private void pauseHost() {
            String host = any(fleet().hostNames());
            fleet().pause(host);
            pausedHosts.add(host);
        }

        private void resumeHosts() {
            pausedHosts.forEach(fleet()::resume);
            pausedHosts.clear();
        }

        private void reconnectDomains() {
            for (String domain : List.of("a", "b", "c")) {
                fleet().setIsolatedFromPeers(domain, false);
                fleet().setIsolatedFromStore(domain, false);
            }
        }

        private void sendRequests() {
            for (int i = 0; i < 60; i++) {
                String host = any(fleet().hostNames());
                String key = "k" + random.nextInt(World.KEYS);
                fleet().request(host, "acme", "GET", key, null);
                fleet().request(host, "greedy", "GET", key, null);
                sendOrder();
                fleet().advance(Duration.ofMillis(5 + random.nextInt(20)));
            }
        }

        private void sendOrder() {
            boolean repeat = !orderKeys.isEmpty() && random.nextBoolean();
            if (!repeat) {
                orderKeys.add(fleet().newIdempotencyKey());
            }
            String key = orderKeys.get(repeat ? random.nextInt(orderKeys.size()) : orderKeys.size() - 1);
            fleet().request(
                            any(fleet().hostNames()),
                            "acme",
                            "POST",
                            "order-" + key.hashCode() % 7,
                            key,
                            "/order/" + key);
        }

        private void removeFaults() {
            resumeHosts();
            reconnectDomains();
            fleet().setStoreDown(false);
            fleet().setStoreLosesAnswers(false);
            fleet().targetNames().forEach(fleet()::thawTarget);
            fleet().targetNames().forEach(fleet()::restartTarget);
            for (String domain : List.of("a", "b", "c")) {
                fleet().writeDocument(new DomainIntent(FailureDomain.of(domain), false));
                fleet().startHost(domain + nextHostNumber++, domain);
            }
        }
    }

    private static void run(long seed, Fencing fencing) {
        FaultSequence sequence = new FaultSequence(seed, fencing);
        for (int i = 0; i < FAULT_COUNT; i++) {
            sequence.injectFault();
            sequence.sendRequests();
        }
        sequence.removeFaults();
        sequence.fleet().advance(RECOVERY_TIME);
        sequence.world.observedFrom = sequence.fleet().now();
        sequence.world.load.useHosts(sequence.fleet().hostNames());
        sequence.world.load.run(Duration.ofSeconds(4), World.REQUESTS_PER_SECOND);
        assertThat(sequence.fleet().invariantChecker().violations())
                .as("seed %d", seed)
                .isEmpty();
        assertThat(sequence.fleet().invariantChecker().maxAdmittedWithin("greedy", Duration.ofSeconds(1)))
                .as("seed %d", seed)
                .isLessThanOrEqualTo(60);
        assertThat(sequence.world.load.unservedBetween(
                        sequence.world.observedFrom, sequence.fleet().now().minusSeconds(2), Duration.ofSeconds(1)))
                .as("seed %d", seed)
                .isEmpty();
    }

    @ParameterizedTest
    @ValueSource(ints = {0, 1, 2, 3})
    void targetsThatCheckGrants(int seedGroup) {
        for (long seed = 0; seed < SEEDS_PER_TEST; seed++) {
            run(1000 * seedGroup + seed, Fencing.CHECKED);
        }
    }

    /**
     * Guards against refusing a request as "not run" that waits for its second attempt, although the first attempt had
     * run. It happened at these seeds.
     */
    @ParameterizedTest
    @ValueSource(longs = {35, 1014, 2057, 3064})
    void requestsWaitingForSecondAttempt(long seed) {
        run(seed, Fencing.CHECKED);
    }

    @Test
    void targetsThatCheckDeadlines() {
        for (long seed = 0; seed < SEEDS_PER_TEST; seed++) {
            run(5000 + seed, Fencing.DEADLINE);
        }
    }
}
