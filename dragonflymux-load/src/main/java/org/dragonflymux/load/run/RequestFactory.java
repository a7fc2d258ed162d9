package org.dragonflymux.load.run;

import java.time.Instant;
import java.util.UUID;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.DiscreteSampler;
import org.apache.commons.rng.sampling.distribution.RejectionInversionZipfSampler;
import org.apache.commons.rng.simple.RandomSource;
import org.dragonflymux.load.plan.LoadPlan;

/** Generates the requests of a plan, in the same sequence for the same seed. */
final class RequestFactory {

    /**
     * A request to be sent.
     *
     * @param path the path with the query, unique within the run
     * @param key the key, which is the path segment after the service
     * @param idempotencyKey the idempotency key, or null if the request is idempotent
     */
    record PlannedRequest(String path, String key, String idempotencyKey) {}

    private static final int PERCENT = 100;
    private static final int UUID_VERSION_BITS = 0x7000;
    private static final int RAND_A_BOUND = 1 << 12;
    private static final long UUID_VARIANT_BITS = 0x8000000000000000L;
    private static final long RAND_B_MASK = 0x3fffffffffffffffL;

    private final LoadPlan plan;
    private final UniformRandomProvider random;
    private final DiscreteSampler keyRanks;
    private long requestCount;

    RequestFactory(LoadPlan plan) {
        this.plan = plan;
        this.random = RandomSource.XO_SHI_RO_256_PP.create(plan.seed());
        this.keyRanks = RejectionInversionZipfSampler.of(random, plan.keys(), plan.zipfExponent());
    }

    PlannedRequest next(Instant now) {
        String key = "key-" + keyRanks.sample();
        boolean nonIdempotent = random.nextInt(PERCENT) < plan.nonIdempotentPercent();
        String prefix = plan.service().isEmpty() ? "" : "/" + plan.service();
        String path = "%s/%s/r%d?size=%d".formatted(prefix, key, ++requestCount, plan.minResponseBytes());
        return new PlannedRequest(path, key, nonIdempotent ? idempotencyKey(now) : null);
    }

    /** Generates a version 7 UUID. */
    private String idempotencyKey(Instant now) {
        long high = now.toEpochMilli() << 16 | UUID_VERSION_BITS | random.nextInt(RAND_A_BOUND);
        long low = random.nextLong() & RAND_B_MASK | UUID_VARIANT_BITS;
        return new UUID(high, low).toString();
    }

    boolean nextBoolean(double probability) {
        return random.nextDouble() < probability;
    }
}
