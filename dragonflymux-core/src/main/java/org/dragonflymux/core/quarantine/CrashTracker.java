package org.dragonflymux.core.quarantine;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The requests that were running when targets crashed.
 *
 * <p>A request gets a strike for each crash that it may have caused. After one strike it runs only alone, so that a second
 * crash is its own doing; after two it is held back. A request that ran beside the guilty one keeps a single strike and
 * loses it when it runs to its end.
 */
public final class CrashTracker {

    /** From how many strikes a request is held back. */
    public static final int QUARANTINE_THRESHOLD = 2;

    /** For how long strikes count. */
    public static final Duration RETENTION = Duration.ofMinutes(10);

    private static final int MAX_FINGERPRINTS = 1024;

    private record Strikes(int count, Instant until) {}

    private final Map<Long, Strikes> strikes = new HashMap<>();

    private CrashTracker() {}

    /** Returns a guard that knows of no crash. */
    public static CrashTracker empty() {
        return new CrashTracker();
    }

    /** Notes that a request was running when its target crashed. */
    public void crashed(long fingerprint, Instant now) {
        merge(fingerprint, crashCount(fingerprint, now) + 1, now.plus(RETENTION), now);
    }

    /** Notes that a request ran to its end. */
    public void completed(long fingerprint, Instant now) {
        if (crashCount(fingerprint, now) < QUARANTINE_THRESHOLD) {
            strikes.remove(fingerprint);
        }
    }

    /** Takes in what another host knows. */
    public void learn(Collection<CrashCount> others, Instant now) {
        for (CrashCount other : others) {
            if (other.count() > crashCount(other.fingerprint(), now)) {
                merge(other.fingerprint(), other.count(), now.plusMillis(other.remainingMillis()), now);
            }
        }
    }

    private void merge(long fingerprint, int count, Instant until, Instant now) {
        if (strikes.size() >= MAX_FINGERPRINTS) {
            strikes.values().removeIf(entry -> !entry.until().isAfter(now));
        }
        if (strikes.size() < MAX_FINGERPRINTS) {
            strikes.put(fingerprint, new Strikes(count, until));
        }
    }

    /** Returns how many strikes a request has. */
    public int crashCount(long fingerprint, Instant now) {
        Strikes known = strikes.get(fingerprint);
        return known == null || !known.until().isAfter(now) ? 0 : known.count();
    }

    /** Returns the strikes that count now, for other hosts. */
    public List<CrashCount> snapshot(Instant now) {
        List<CrashCount> current = new ArrayList<>();
        strikes.forEach((fingerprint, entry) -> {
            if (entry.until().isAfter(now)) {
                long remaining = Duration.between(now, entry.until()).toMillis();
                current.add(new CrashCount(fingerprint, entry.count(), remaining));
            }
        });
        return current;
    }
}
