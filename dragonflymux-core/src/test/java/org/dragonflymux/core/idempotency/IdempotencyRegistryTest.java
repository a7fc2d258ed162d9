package org.dragonflymux.core.idempotency;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.UUID;
import org.dragonflymux.core.message.Outcome;
import org.dragonflymux.core.message.RefusalReason;
import org.dragonflymux.core.message.UnknownReason;
import org.dragonflymux.core.name.CustomerName;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class IdempotencyRegistryTest {

    private static final Instant NOW = Instant.parse("2026-01-01T00:00:00Z");
    private static final Instant LONG_AGO = NOW.minus(Duration.ofDays(1));
    private static final CustomerName CUSTOMER = CustomerName.of("acme");

    private final IdempotencyRegistry registry = IdempotencyRegistry.empty();

    private static String text(Instant createdAt) {
        return new UUID(createdAt.toEpochMilli() << 16 | 0x7001, 0x8000000000000001L).toString();
    }

    private static IdempotencyKey key(Instant createdAt) {
        return IdempotencyKey.parse(text(createdAt), createdAt).get();
    }

    @Nested
    class Key {

        @Test
        void mustBeAVersion7Uuid() {
            assertThat(IdempotencyKey.parse(null, NOW).getLeft()).isEqualTo(RefusalReason.IDEMPOTENCY_KEY_MISSING);
            assertThat(IdempotencyKey.parse("1-2-3-4-5", NOW).getLeft())
                    .isEqualTo(RefusalReason.IDEMPOTENCY_KEY_MALFORMED);
            assertThat(IdempotencyKey.parse("123e4567-e89b-42d3-a456-426614174000", NOW)
                            .getLeft())
                    .isEqualTo(RefusalReason.IDEMPOTENCY_KEY_MALFORMED);
            assertThat(IdempotencyKey.parse(text(NOW), NOW).get().createdAt()).isEqualTo(NOW);
        }

        @Test
        void createdInTheFutureIsRefused() {
            assertThat(IdempotencyKey.parse(text(NOW.plusSeconds(2)), NOW).getLeft())
                    .isEqualTo(RefusalReason.IDEMPOTENCY_KEY_AHEAD);
        }
    }

    @Nested
    class Retry {

        @Test
        void isUnknownWhileTheOriginalIsRunning() {
            assertThat(registry.claim(CUSTOMER, key(NOW), LONG_AGO, NOW)).isEmpty();
            assertThat(registry.claim(CUSTOMER, key(NOW), LONG_AGO, NOW))
                    .contains(new Outcome.Unknown(UnknownReason.STILL_RUNNING));
        }

        @Test
        void returnsTheOriginalAnswer() {
            Outcome answer = new Outcome.Answered(201, List.of(), new byte[] {1});
            registry.claim(CUSTOMER, key(NOW), LONG_AGO, NOW);
            registry.recordOutcome(CUSTOMER, key(NOW), answer);
            assertThat(registry.claim(CUSTOMER, key(NOW), LONG_AGO, NOW)).contains(answer);
        }

        @Test
        void returnsOnlyTheStatusWhenTheAnswerIsTooLargeToCache() {
            registry.claim(CUSTOMER, key(NOW), LONG_AGO, NOW);
            registry.recordOutcome(CUSTOMER, key(NOW), new Outcome.Answered(201, List.of(), new byte[1 << 20]));
            assertThat(registry.claim(CUSTOMER, key(NOW), LONG_AGO, NOW)).contains(new Outcome.AlreadyRan(201));
        }

        @Test
        void mayRunAfterTheClaimIsReleased() {
            registry.claim(CUSTOMER, key(NOW), LONG_AGO, NOW);
            registry.release(CUSTOMER, key(NOW));
            assertThat(registry.claim(CUSTOMER, key(NOW), LONG_AGO, NOW)).isEmpty();
        }

        @Test
        void withTheKeyOfAnotherCustomerIsIndependent() {
            registry.claim(CUSTOMER, key(NOW), LONG_AGO, NOW);
            assertThat(registry.claim(CustomerName.of("other"), key(NOW), LONG_AGO, NOW))
                    .isEmpty();
        }
    }

    @Nested
    class KeyThatAnEarlierDispatcherMayHaveRun {

        @Test
        void isNotRun() {
            assertThat(registry.claim(CUSTOMER, key(NOW), NOW, NOW))
                    .contains(new Outcome.Unknown(UnknownReason.NOT_REMEMBERED));
            Instant later = NOW.plusSeconds(3);
            assertThat(registry.claim(CUSTOMER, key(later), NOW, later)).isEmpty();
        }

        @Test
        void includesKeysOlderThanTheRetention() {
            Instant old = NOW.minus(IdempotencyRegistry.RETENTION).minusSeconds(1);
            assertThat(registry.claim(CUSTOMER, key(old), LONG_AGO, NOW))
                    .contains(new Outcome.Unknown(UnknownReason.NOT_REMEMBERED));
        }
    }

    @Test
    void removesEntriesAfterTwiceTheRetention() {
        registry.claim(CUSTOMER, key(NOW), LONG_AGO, NOW);
        Instant later = NOW.plus(IdempotencyRegistry.RETENTION.multipliedBy(2));
        registry.claim(CUSTOMER, key(later), LONG_AGO, later);
        assertThat(registry.size()).isEqualTo(1);
    }
}
