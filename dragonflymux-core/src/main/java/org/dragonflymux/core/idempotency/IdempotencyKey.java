package org.dragonflymux.core.idempotency;

import io.vavr.control.Either;
import java.time.Duration;
import java.time.Instant;
import java.util.UUID;
import org.dragonflymux.core.message.RefusalReason;

/**
 * A caller's idempotency key: a UUID of version 7 (RFC 9562), which carries the time of its making.
 *
 * <p>A key whose time lies ahead of the receiving host's clock is refused before anything runs. Thus a key that ever ran
 * is no newer than its first arrival, and a dispatcher can tell by the time alone that an earlier dispatcher cannot have
 * run it.
 *
 * @param id the UUID
 * @param madeAt the time that the UUID carries
 */
public record IdempotencyKey(UUID id, Instant madeAt) {

    /** How far a key's time may lie ahead of a host's clock, and two hosts' clocks apart. */
    public static final Duration CLOCK_TOLERANCE = Duration.ofSeconds(1);

    private static final int TIME_SHIFT = 16;
    private static final int TIME_ORDERED_VERSION = 7;

    /** Reads a key, and checks it against the host's clock. */
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
        Instant madeAt = Instant.ofEpochMilli(id.getMostSignificantBits() >>> TIME_SHIFT);
        boolean ahead = madeAt.isAfter(now.plus(CLOCK_TOLERANCE));
        return ahead ? Either.left(RefusalReason.IDEMPOTENCY_KEY_AHEAD) : Either.right(new IdempotencyKey(id, madeAt));
    }

    /** Tells whether the key can have arrived anywhere before an instant. */
    public boolean mayPredate(Instant instant) {
        return !madeAt.isAfter(instant.plus(CLOCK_TOLERANCE.multipliedBy(2)));
    }
}
