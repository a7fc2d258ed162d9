package org.dragonflymux.core.balance;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.dragonflymux.core.name.TargetId;

/**
 * Holds on to targets' entries that vanished while the store was away: targets write them anew soon after its return.
 * What is still missing then is gone.
 */
public final class EntryRetention {

    private static final long RETURN_MILLIS = 2_200;

    private final Map<TargetId, TargetEntry> retained = new HashMap<>();
    private Map<TargetId, TargetEntry> present = Map.of();
    private long returnedAt = Long.MIN_VALUE / 2;

    private EntryRetention() {}

    /** Returns a retention that holds nothing. */
    public static EntryRetention empty() {
        return new EntryRetention();
    }

    /** Takes in that the store came back at the given time after an outage. */
    public void storeRecovered(long at) {
        returnedAt = Math.max(returnedAt, at);
    }

    /** Takes in the entries that lie in the store. */
    public void update(Map<TargetId, TargetEntry> entries, long now) {
        for (TargetEntry before : present.values()) {
            if (!entries.containsKey(before.id()) && now < returnedAt + RETURN_MILLIS && !before.draining()) {
                retained.put(before.id(), before);
            }
        }
        retained.keySet().removeAll(entries.keySet());
        present = Map.copyOf(entries);
    }

    /** Returns the entries that count. */
    public Collection<TargetEntry> entries(long now) {
        if (now >= returnedAt + RETURN_MILLIS) {
            retained.clear();
        }
        List<TargetEntry> result = new ArrayList<>(present.values());
        result.addAll(retained.values());
        return result;
    }

    /** Returns whether entries are held that may have to be let go of. */
    public boolean retainsEntries() {
        return !retained.isEmpty();
    }
}
