package org.dragonflymux.core.idempotency;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.UUID;
import org.dragonflymux.core.message.Outcome;
import org.dragonflymux.core.message.RefusalReason;
import org.dragonflymux.core.message.UnknownReason;
import org.dragonflymux.core.name.CustomerName;

/**
 * A dispatcher's in-memory registry of requests that must not run twice, with their outcomes.
 *
 * <p>The registry is lost when its host stops. Requests that it may have missed are recognized by the creation time of
 * their keys; see {@link IdempotencyKey}.
 */
public final class IdempotencyRegistry {

    /** The maximum age of a key that may still be run. */
    public static final Duration RETENTION = Duration.ofMinutes(15);

    /** The maximum number of recorded requests. */
    public static final int MAX_ENTRIES = 100_000;

    /** The maximum total size of cached response bodies, in bytes. */
    public static final long MAX_CACHED_BYTES = 32L << 20;

    private static final int MAX_CACHED_ANSWER_BYTES = 16 << 10;

    private record ClaimKey(CustomerName customer, UUID key) {}

    private record Entry(Instant arrivedAt, Optional<Outcome> outcome) {}

    private final Map<ClaimKey, Entry> entries = new LinkedHashMap<>();
    private final Map<ClaimKey, Integer> cachedBytes = new HashMap<>();
    private long totalCachedBytes;

    private IdempotencyRegistry() {}

    /** Returns an empty registry. */
    public static IdempotencyRegistry empty() {
        return new IdempotencyRegistry();
    }

    /**
     * Claims the right to run a key's request, which is given only once.
     *
     * @param recordedSince since when this registry has recorded all requests for the key's unit
     * @return empty if the request may run, otherwise the outcome to return to the caller
     */
    public Optional<Outcome> claim(CustomerName customer, IdempotencyKey key, Instant recordedSince, Instant now) {
        expire(now);
        ClaimKey claimKey = new ClaimKey(customer, key.id());
        Entry known = entries.get(claimKey);
        if (known != null) {
            return Optional.of(known.outcome().orElse(new Outcome.Unknown(UnknownReason.STILL_RUNNING)));
        }
        if (key.mayPredate(recordedSince) || key.mayPredate(now.minus(RETENTION))) {
            return Optional.of(new Outcome.Unknown(UnknownReason.NOT_REMEMBERED));
        }
        if (entries.size() >= MAX_ENTRIES) {
            return Optional.of(Outcome.Refused.of(RefusalReason.MEMORY_FULL));
        }
        entries.put(claimKey, new Entry(now, Optional.empty()));
        return Optional.empty();
    }

    private void expire(Instant now) {
        var oldest = entries.entrySet().iterator();
        while (oldest.hasNext()) {
            Map.Entry<ClaimKey, Entry> entry = oldest.next();
            // Entries are kept for twice the retention because a key may already be that old when it first arrives.
            if (entry.getValue().arrivedAt().plus(RETENTION.multipliedBy(2)).isAfter(now)) {
                return;
            }
            totalCachedBytes -=
                    Optional.ofNullable(cachedBytes.remove(entry.getKey())).orElse(0);
            oldest.remove();
        }
    }

    /** Releases a claim whose request did not run. */
    public void release(CustomerName customer, IdempotencyKey key) {
        entries.remove(new ClaimKey(customer, key.id()));
    }

    /** Records the outcome of a claimed request for its retries. */
    public void recordOutcome(CustomerName customer, IdempotencyKey key, Outcome outcome) {
        ClaimKey claimKey = new ClaimKey(customer, key.id());
        entries.computeIfPresent(
                claimKey, (claimed, entry) -> new Entry(entry.arrivedAt(), Optional.of(cacheable(claimKey, outcome))));
    }

    private Outcome cacheable(ClaimKey claimKey, Outcome outcome) {
        if (!(outcome instanceof Outcome.Answered answered)) {
            return outcome;
        }
        int size = answered.body().length;
        if (size > MAX_CACHED_ANSWER_BYTES || totalCachedBytes + size > MAX_CACHED_BYTES) {
            return new Outcome.AlreadyRan(answered.status());
        }
        cachedBytes.put(claimKey, size);
        totalCachedBytes += size;
        return outcome;
    }

    /** Returns the number of recorded requests. */
    public int size() {
        return entries.size();
    }
}
