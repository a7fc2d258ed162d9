package org.dragonflymux.gateway.store;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Function;

/**
 * A cache of decoded values of the store. A value is decoded again only when its revision has changed, so that a change
 * of one value does not require decoding all others.
 *
 * @param <T> the decoded type
 */
public final class RevisionCache<T> {

    private final Map<String, Entry<T>> entries = new HashMap<>();
    private final Function<StoredItem, T> decoder;

    private record Entry<T>(long revision, T value) {}

    private RevisionCache(Function<StoredItem, T> decoder) {
        this.decoder = decoder;
    }

    /** Returns an empty cache that uses the given decoder. */
    public static <T> RevisionCache<T> of(Function<StoredItem, T> decoder) {
        return new RevisionCache<>(decoder);
    }

    /** Returns the decoded value of an item. */
    public T read(StoredItem item) {
        Entry<T> known = entries.get(item.key());
        if (known == null || known.revision() != item.revision()) {
            known = new Entry<>(item.revision(), decoder.apply(item));
            entries.put(item.key(), known);
        }
        return known.value();
    }

    /** Evicts all values except those of the given keys. */
    public void retain(Collection<String> keys) {
        if (entries.size() > keys.size()) {
            entries.keySet().retainAll(keys);
        }
    }
}
