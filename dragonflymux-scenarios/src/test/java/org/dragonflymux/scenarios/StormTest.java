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
import org.dragonflymux.scenarios.bench.Fleet;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Random faults in random order, several at a time, with the checkers watching; then everything is mended. */
class StormTest {

    private static final int FAULTS = 25;
    private static final int SEEDS_EACH = Integer.parseInt(System.getenv().getOrDefault("STORM_SEEDS", "12"));
    private static final Duration MENDING = Duration.ofSeconds(30);

    /** One storm. */
    private static final class Storm {

        private final World world = new World();
        private final Random random;
        private final List<String> paused = new ArrayList<>();
        private final List<String> orderKeys = new ArrayList<>();
        private int runs = 10;

        private Storm(long seed, Fencing fencing) {
            random = new Random(seed);
            world.trust(Duration.ofMinutes(30));
            world.continuity(Duration.ofSeconds(20));
            world.start(seed, 3, 2, 2, fencing);
            fleet().customer("greedy", 40, 20, 1, Map.of());
        }

        private Fleet fleet() {
            return world.fleet;
        }

        private String any(List<String> names) {
            return names.get(random.nextInt(names.size()));
        }

        private String domain() {
            return String.valueOf((char) ('a' + random.nextInt(3)));
        }

        private void fault() {
            switch (random.nextInt(17)) {
                case 0 -> fleet().killTarget(any(fleet().targetNames()));
                case 1 -> fleet().restartTarget(any(fleet().targetNames()));
                case 2 -> fleet().freezeTarget(any(fleet().targetNames()));
                case 3 -> fleet().thawTarget(any(fleet().targetNames()));
                case 4 -> replaceHost();
                case 5 -> pauseHost();
                case 6 -> resumeHosts();
                case 7 -> fleet().storeDown(true);
                case 8 -> fleet().storeDown(false);
                case 9 -> fleet().storeLosesAnswers(random.nextBoolean());
                case 10 -> fleet().cutFromPeers(domain(), true);
                case 11 -> fleet().cutFromStore(domain(), true);
                case 12, 13 -> join();
                case 14 -> fleet().apply(new DomainIntent(FailureDomain.of(domain()), random.nextInt(3) == 0));
                case 15 ->
                    fleet().apply(new KeyPin(
                            ServiceName.of("svc"),
                            KeyHash.hex(KeyHash.of("k" + random.nextInt(World.KEYS))),
                            TargetId.of(any(fleet().targetNames()))));
                default -> fleet().shutDown(any(fleet().hostNames()));
            }
        }

        private void replaceHost() {
            List<String> hosts = fleet().hostNames();
            if (hosts.size() > 3) {
                String lost = any(hosts);
                paused.remove(lost);
                fleet().kill(lost);
                String domain = fleet().domainOfHost(lost);
                fleet().startHost(domain + runs++, domain);
            }
        }

        private void pauseHost() {
            String host = any(fleet().hostNames());
            fleet().pause(host);
            paused.add(host);
        }

        private void resumeHosts() {
            paused.forEach(fleet()::resume);
            paused.clear();
        }

        private void join() {
            for (String domain : List.of("a", "b", "c")) {
                fleet().cutFromPeers(domain, false);
                fleet().cutFromStore(domain, false);
            }
        }

        private void callers() {
            for (int i = 0; i < 60; i++) {
                String host = any(fleet().hostNames());
                String key = "k" + random.nextInt(World.KEYS);
                fleet().request(host, "acme", "GET", key, null);
                fleet().request(host, "greedy", "GET", key, null);
                order();
                fleet().advance(Duration.ofMillis(5 + random.nextInt(20)));
            }
        }

        private void order() {
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

        private void mend() {
            resumeHosts();
            join();
            fleet().storeDown(false);
            fleet().storeLosesAnswers(false);
            fleet().targetNames().forEach(fleet()::thawTarget);
            fleet().targetNames().forEach(fleet()::restartTarget);
            for (String domain : List.of("a", "b", "c")) {
                fleet().apply(new DomainIntent(FailureDomain.of(domain), false));
                fleet().startHost(domain + runs++, domain);
            }
        }
    }

    private static void run(long seed, Fencing fencing) {
        Storm storm = new Storm(seed, fencing);
        for (int i = 0; i < FAULTS; i++) {
            storm.fault();
            storm.callers();
        }
        storm.mend();
        storm.fleet().advance(MENDING);
        storm.world.mark = storm.fleet().now();
        storm.world.load.through(storm.fleet().hostNames());
        storm.world.load.run(Duration.ofSeconds(4), World.REQUESTS_PER_SECOND);
        assertThat(storm.fleet().checkers().breaches()).as("seed %d", seed).isEmpty();
        assertThat(storm.fleet().checkers().mostWithin("greedy", Duration.ofSeconds(1)))
                .as("seed %d", seed)
                .isLessThanOrEqualTo(60);
        assertThat(storm.world.load.unservedBetween(
                        storm.world.mark, storm.fleet().now().minusSeconds(2), Duration.ofSeconds(1)))
                .as("seed %d", seed)
                .isEmpty();
    }

    @ParameterizedTest
    @ValueSource(ints = {0, 1, 2, 3})
    void targetsThatCheckGrants(int group) {
        for (long seed = 0; seed < SEEDS_EACH; seed++) {
            run(1000 * group + seed, Fencing.CHECKED);
        }
    }

    /** Storms in which a request that waited for its second attempt was refused as "not run". */
    @ParameterizedTest
    @ValueSource(longs = {35, 1014, 2057, 3064})
    void requestsBetweenTwoAttempts(long seed) {
        run(seed, Fencing.CHECKED);
    }

    @Test
    void targetsThatCheckDeadlines() {
        for (long seed = 0; seed < SEEDS_EACH; seed++) {
            run(5000 + seed, Fencing.DEADLINE);
        }
    }
}
