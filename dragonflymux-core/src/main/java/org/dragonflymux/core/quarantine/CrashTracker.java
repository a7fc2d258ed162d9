package org.dragonflymux.core.quarantine;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Counts, for each request, the target crashes that it may have caused.
 *
 * <p>Every request that was running when a target crashed is charged with that crash. A request with one crash is run
 * alone, so that a second crash can be attributed to it; with two crashes it is quarantined. A request that merely ran
 * at the same time as the cause has a single crash, which is cleared when the request completes.
 */
public final class CrashTracker {

    /** The number of crashes from which a request is quarantined. */
    public static final int QUARANTINE_THRESHOLD = 2;

    /** The time after its last update at which a crash count expires. */
    public static final Duration RETENTION = Duration.ofMinutes(10);

    private static final int MAX_FINGERPRINTS = 1024;

    private record Entry(int count, Instant until) {}

    private final Map<Long, Entry> entries = new HashMap<>();

    private CrashTracker() {}

    /** Returns a tracker without crashes. */
    public static CrashTracker empty() {
        return new CrashTracker();
    }

    /** Records that a request was running when its target crashed. */
    public void crashed(long fingerprint, Instant now) {
        update(fingerprint, crashCount(fingerprint, now) + 1, now.plus(RETENTION), now);
    }

    /** Records that a request completed, which clears a count below the quarantine threshold. */
    public void completed(long fingerprint, Instant now) {
        if (crashCount(fingerprint, now) < QUARANTINE_THRESHOLD) {
            entries.remove(fingerprint);
        }
    }

    /** Applies crash counts received from another host; the higher count of each request wins. */
    public void mergeCounts(Collection<CrashCount> others, Instant now) {
        for (CrashCount other : others) {
            if (other.count() > crashCount(other.fingerprint(), now)) {
                update(other.fingerprint(), other.count(), now.plusMillis(other.remainingMillis()), now);
            }
        }
    }

    private void update(long fingerprint, int count, Instant until, Instant now) {
        if (entries.size() >= MAX_FINGERPRINTS) {
            entries.values().removeIf(entry -> !entry.until().isAfter(now));
        }
        if (entries.size() < MAX_FINGERPRINTS) {
            entries.put(fingerprint, new Entry(count, until));
        }
    }

    /** Returns the unexpired crash count of a request. */
    public int crashCount(long fingerprint, Instant now) {
        Entry known = entries.get(fingerprint);
        return known == null || !known.until().isAfter(now) ? 0 : known.count();
    }

    /** Returns all unexpired crash counts. */
    public List<CrashCount> snapshot(Instant now) {
        List<CrashCount> current = new ArrayList<>();
        entries.forEach((fingerprint, entry) -> {
            if (entry.until().isAfter(now)) {
                long remaining = Duration.between(now, entry.until()).toMillis();
                current.add(new CrashCount(fingerprint, entry.count(), remaining));
            }
        });
        return current;
    }
}
