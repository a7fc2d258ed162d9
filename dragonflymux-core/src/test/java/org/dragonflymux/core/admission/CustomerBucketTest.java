package org.dragonflymux.core.admission;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class CustomerBucketTest {

    private static final Instant START = Instant.parse("2026-01-01T00:00:00Z");

    @Nested
    class NewHolder {

        @Test
        void startsEmptyBecauseEarlierLoansAreUnknown() {
            CustomerBucket bucket = CustomerBucket.emptyAt(START);
            assertThat(bucket.take(10, new RateLimit(100, 50), START)).isZero();
        }

        @Test
        void refillsAtTheRateUpToTheCapacity() {
            RateLimit limit = new RateLimit(100, 50);
            CustomerBucket bucket = CustomerBucket.emptyAt(START);
            assertThat(bucket.take(1000, limit, START.plusMillis(100))).isEqualTo(10);
            assertThat(bucket.take(1000, limit, START.plusSeconds(60))).isEqualTo((int) limit.capacity());
        }
    }

    @Nested
    class RateBound {

        /** If tokens are used within their loan, no time window contains more uses than rate × time + burst. */
        @Test
        void holdsForAnyUseOfLentTokens() {
            Random random = new Random(5);
            for (int round = 0; round < 50; round++) {
                double rate = 1 + random.nextInt(200);
                RateLimit limit = new RateLimit(rate, RateLimit.minBurst(rate) + random.nextInt(50));
                assertHolds(limit, uses(limit, random));
            }
        }

        private static List<Instant> uses(RateLimit limit, Random random) {
            CustomerBucket bucket = CustomerBucket.emptyAt(START);
            List<Instant> uses = new ArrayList<>();
            Instant now = START;
            for (int i = 0; i < 400; i++) {
                now = now.plusMillis(random.nextInt(40));
                int taken = bucket.take(random.nextInt(20), limit, now);
                for (int j = 0; j < taken; j++) {
                    uses.add(now.plusMillis(
                            random.nextInt((int) limit.loanDuration().toMillis())));
                }
            }
            uses.sort(null);
            return uses;
        }

        private static void assertHolds(RateLimit limit, List<Instant> uses) {
            for (int from = 0; from < uses.size(); from++) {
                for (int to = from; to < uses.size(); to++) {
                    double seconds =
                            Duration.between(uses.get(from), uses.get(to)).toNanos() / 1e9;
                    assertThat((double) (to - from + 1))
                            .isLessThanOrEqualTo(limit.ratePerSecond() * seconds + limit.burst() + 1e-6);
                }
            }
        }
    }
}
