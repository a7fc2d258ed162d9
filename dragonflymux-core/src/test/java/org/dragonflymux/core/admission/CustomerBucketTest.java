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
    class ANewHolder {

        @Test
        void startsEmptySinceItDoesNotKnowWhatWasLentBefore() {
            CustomerBucket bucket = CustomerBucket.emptyAt(START);
            assertThat(bucket.lend(10, new RateLimit(100, 50), START)).isZero();
        }

        @Test
        void fillsAtTheRateUpToTheCapacity() {
            RateLimit limit = new RateLimit(100, 50);
            CustomerBucket bucket = CustomerBucket.emptyAt(START);
            assertThat(bucket.lend(1000, limit, START.plusMillis(100))).isEqualTo(10);
            assertThat(bucket.lend(1000, limit, START.plusSeconds(60))).isEqualTo((int) limit.capacity());
        }
    }

    @Nested
    class TheCeiling {

        /** Whenever lent tokens are used within their loan, no window sees more than rate × time + burst. */
        @Test
        void holdsForAnyUseOfLentTokens() {
            Random random = new Random(5);
            for (int round = 0; round < 50; round++) {
                double rate = 1 + random.nextInt(200);
                RateLimit limit = new RateLimit(rate, RateLimit.leastBurst(rate) + random.nextInt(50));
                assertHolds(limit, uses(limit, random));
            }
        }

        private static List<Instant> uses(RateLimit limit, Random random) {
            CustomerBucket bucket = CustomerBucket.emptyAt(START);
            List<Instant> uses = new ArrayList<>();
            Instant now = START;
            for (int i = 0; i < 400; i++) {
                now = now.plusMillis(random.nextInt(40));
                int lent = bucket.lend(random.nextInt(20), limit, now);
                for (int j = 0; j < lent; j++) {
                    uses.add(now.plusMillis(random.nextInt((int) limit.loan().toMillis())));
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
