package org.dragonflymux.core.balance;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.dragonflymux.core.name.TargetId;

/**
 * Retains target entries that disappeared during an outage of the store, because targets write them again soon after the
 * store has recovered. Entries that are still missing after that time are dropped.
 */
public final class EntryRetention {

    private static final long REREGISTRATION_MILLIS = 2_200;

    private final Map<TargetId, TargetEntry> retained = new HashMap<>();
    private Map<TargetId, TargetEntry> current = Map.of();
    private long storeRecoveredAt = Long.MIN_VALUE / 2;

    private EntryRetention() {}

    public static EntryRetention empty() {
        return new EntryRetention();
    }

    /** Records that the store recovered from an outage at the given time. */
    public void storeRecovered(long at) {
        storeRecoveredAt = Math.max(storeRecoveredAt, at);
    }

    /** Replaces the entries that are in the store. */
    public void replace(Map<TargetId, TargetEntry> entries, long now) {
        for (TargetEntry previous : current.values()) {
            if (!entries.containsKey(previous.id())
                    && now < storeRecoveredAt + REREGISTRATION_MILLIS
                    && !previous.draining()) {
                retained.put(previous.id(), previous);
            }
        }
        retained.keySet().removeAll(entries.keySet());
        current = Map.copyOf(entries);
    }

    /** Returns the entries in the store and the retained ones. */
    public Collection<TargetEntry> entries(long now) {
        if (now >= storeRecoveredAt + REREGISTRATION_MILLIS) {
            retained.clear();
        }
        List<TargetEntry> result = new ArrayList<>(current.values());
        result.addAll(retained.values());
        return result;
    }

    /** Returns whether there are retained entries, which may have to be dropped later. */
    public boolean retainsEntries() {
        return !retained.isEmpty();
    }
}
