package org.dragonflymux.core.idempotency;

import io.vavr.control.Either;
import java.time.Duration;
import java.time.Instant;
import java.util.UUID;
import org.dragonflymux.core.message.RefusalReason;

/**
 * A caller's idempotency key: a version 7 UUID (RFC 9562), which contains its creation time.
 *
 * <p>A key whose creation time is ahead of the receiving host's clock is refused before its request runs. A key that
 * has run was therefore created no later than its first arrival, and a dispatcher can tell from the creation time alone
 * that no earlier dispatcher can have run it.
 *
 * @param id the UUID
 * @param createdAt the creation time contained in the UUID
 */
public record IdempotencyKey(UUID id, Instant createdAt) {

    /** The maximum time by which a key may be ahead of a host's clock, and by which two hosts' clocks may differ. */
    public static final Duration CLOCK_TOLERANCE = Duration.ofSeconds(1);

    private static final int TIME_SHIFT = 16;
    private static final int TIME_ORDERED_VERSION = 7;

    /** Parses a key and checks its creation time against the host's clock. */
    public static Either<RefusalReason, IdempotencyKey> parse(String text, Instant now) {
        if (text == null) {
            return Either.left(RefusalReason.IDEMPOTENCY_KEY_MISSING);
        }
        UUID id;
        try {
            id = UUID.fromString(text);
        } catch (IllegalArgumentException e) {
            return Either.left(RefusalReason.IDEMPOTENCY_KEY_MALFORMED);
        }
        if (id.version() != TIME_ORDERED_VERSION || !id.toString().equalsIgnoreCase(text)) {
            return Either.left(RefusalReason.IDEMPOTENCY_KEY_MALFORMED);
        }
        Instant createdAt = Instant.ofEpochMilli(id.getMostSignificantBits() >>> TIME_SHIFT);
        boolean ahead = createdAt.isAfter(now.plus(CLOCK_TOLERANCE));
        return ahead
                ? Either.left(RefusalReason.IDEMPOTENCY_KEY_AHEAD)
                : Either.right(new IdempotencyKey(id, createdAt));
    }

    /** Returns whether the key may have arrived at any host before the given instant. */
    public boolean mayPredate(Instant instant) {
        return !createdAt.isAfter(instant.plus(CLOCK_TOLERANCE.multipliedBy(2)));
    }
}
