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
 * A dispatcher's memory of the requests that it sent and that must not run twice.
 *
 * <p>It is lost with its host. What it cannot have seen is told from a key's time: see {@link IdempotencyKey}.
 */
public final class IdempotencyRegistry {

    /** How long a request is remembered. */
    public static final Duration RETENTION = Duration.ofMinutes(15);

    /** How many requests are remembered at most. */
    public static final int MAX_ENTRIES = 100_000;

    /** How much of kept answers' bodies is remembered in all, in bytes. */
    public static final long MAX_KEPT_BYTES = 32L << 20;

    private static final int MAX_KEPT_ANSWER_BYTES = 16 << 10;

    private record Owner(CustomerName customer, UUID key) {}

    private record Entry(Instant arrivedAt, Optional<Outcome> outcome) {}

    private final Map<Owner, Entry> entries = new LinkedHashMap<>();
    private final Map<Owner, Integer> keptBytes = new HashMap<>();
    private long keptBytesInAll;

    private IdempotencyRegistry() {}

    /** Returns an empty memory. */
    public static IdempotencyRegistry empty() {
        return new IdempotencyRegistry();
    }

    /**
     * Claims the one run of a key.
     *
     * @param rememberedSince since when this memory has seen all requests for the key's unit
     * @return nothing when the request may run, else the outcome to answer with
     */
    public Optional<Outcome> claim(CustomerName customer, IdempotencyKey key, Instant rememberedSince, Instant now) {
        expire(now);
        Owner owner = new Owner(customer, key.id());
        Entry known = entries.get(owner);
        if (known != null) {
            return Optional.of(known.outcome().orElse(new Outcome.Unknown(UnknownReason.STILL_RUNNING)));
        }
        if (key.mayPredate(rememberedSince) || key.mayPredate(now.minus(RETENTION))) {
            return Optional.of(new Outcome.Unknown(UnknownReason.NOT_REMEMBERED));
        }
        if (entries.size() >= MAX_ENTRIES) {
            return Optional.of(Outcome.Refused.of(RefusalReason.MEMORY_FULL));
        }
        entries.put(owner, new Entry(now, Optional.empty()));
        return Optional.empty();
    }

    private void expire(Instant now) {
        var oldest = entries.entrySet().iterator();
        while (oldest.hasNext()) {
            Map.Entry<Owner, Entry> entry = oldest.next();
            // Twice the retention, since a key may be as old as the retention when it first arrives.
            if (entry.getValue().arrivedAt().plus(RETENTION.multipliedBy(2)).isAfter(now)) {
                return;
            }
            keptBytesInAll -=
                    Optional.ofNullable(keptBytes.remove(entry.getKey())).orElse(0);
            oldest.remove();
        }
    }

    /** Gives a claim back: the request was not sent. */
    public void release(CustomerName customer, IdempotencyKey key) {
        entries.remove(new Owner(customer, key.id()));
    }

    /** Keeps the outcome of a claimed request for its repeats. */
    public void recordOutcome(CustomerName customer, IdempotencyKey key, Outcome outcome) {
        Owner owner = new Owner(customer, key.id());
        entries.computeIfPresent(
                owner, (claimed, entry) -> new Entry(entry.arrivedAt(), Optional.of(kept(owner, outcome))));
    }

    private Outcome kept(Owner owner, Outcome outcome) {
        if (!(outcome instanceof Outcome.Answered answered)) {
            return outcome;
        }
        int size = answered.body().length;
        if (size > MAX_KEPT_ANSWER_BYTES || keptBytesInAll + size > MAX_KEPT_BYTES) {
            return new Outcome.AlreadyRan(answered.status());
        }
        keptBytes.put(owner, size);
        keptBytesInAll += size;
        return outcome;
    }

    /** Returns how many requests are remembered. */
    public int size() {
        return entries.size();
    }
}
