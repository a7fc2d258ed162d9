package org.dragonflymux.load.run;

import java.time.Instant;
import java.util.UUID;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.DiscreteSampler;
import org.apache.commons.rng.sampling.distribution.RejectionInversionZipfSampler;
import org.apache.commons.rng.simple.RandomSource;
import org.dragonflymux.load.plan.LoadPlan;

/** Makes requests by a plan, the same on every run with the same seed. */
final class RequestFactory {

    /**
     * A request to be sent.
     *
     * @param path the path with the query, which no other request of the run has
     * @param key the key
     * @param idempotencyKey the idempotency key of a request that may not be repeated, or null
     */
    record Planned(String path, String key, String idempotencyKey) {}

    private static final int PERCENT = 100;
    private static final int VERSION_BITS = 0x7000;
    private static final int RANDOM_A = 1 << 12;
    private static final long VARIANT_BITS = 0x8000000000000000L;
    private static final long RANDOM_B_MASK = 0x3fffffffffffffffL;

    private final LoadPlan plan;
    private final UniformRandomProvider random;
    private final DiscreteSampler ranks;
    private long made;

    RequestFactory(LoadPlan plan) {
        this.plan = plan;
        this.random = RandomSource.XO_SHI_RO_256_PP.create(plan.seed());
        this.ranks = RejectionInversionZipfSampler.of(random, plan.keys(), plan.zipfExponent());
    }

    Planned next(Instant now) {
        String key = "key-" + ranks.sample();
        boolean order = random.nextInt(PERCENT) < plan.orderPercent();
        String prefix = plan.service().isEmpty() ? "" : "/" + plan.service();
        String path = "%s/%s/r%d?size=%d".formatted(prefix, key, ++made, plan.answerBytes());
        return new Planned(path, key, order ? idempotencyKey(now) : null);
    }

    private String idempotencyKey(Instant now) {
        long high = now.toEpochMilli() << 16 | VERSION_BITS | random.nextInt(RANDOM_A);
        long low = random.nextLong() & RANDOM_B_MASK | VARIANT_BITS;
        return new UUID(high, low).toString();
    }

    boolean chance(double probability) {
        return random.nextDouble() < probability;
    }
}
