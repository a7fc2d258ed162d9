package org.dragonflymux.gateway.store;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Function;

/**
 * What was read from values of the store, for as long as they are the same, so that a change of one value costs no reading of
 * all others.
 *
 * @param <T> what is read from a value
 */
public final class RevisionCache<T> {

    private final Map<String, Entry<T>> entries = new HashMap<>();
    private final Function<StoredItem, T> reader;

    private record Entry<T>(long revision, T read) {}

    private RevisionCache(Function<StoredItem, T> reader) {
        this.reader = reader;
    }

    /** Returns an empty cache in front of a reader. */
    public static <T> RevisionCache<T> of(Function<StoredItem, T> reader) {
        return new RevisionCache<>(reader);
    }

    /** Returns what stands in a value. */
    public T read(StoredItem item) {
        Entry<T> known = entries.get(item.key());
        if (known == null || known.revision() != item.revision()) {
            known = new Entry<>(item.revision(), reader.apply(item));
            entries.put(item.key(), known);
        }
        return known.read();
    }

    /** Forgets all values but those of the given keys. */
    public void retain(Collection<String> keys) {
        if (entries.size() > keys.size()) {
            entries.keySet().retainAll(keys);
        }
    }
}
