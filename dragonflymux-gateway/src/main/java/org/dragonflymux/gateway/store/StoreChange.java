package org.dragonflymux.gateway.store;

/** A change reported by a watch. */
public sealed interface StoreChange {

    /**
     * A value was written.
     *
     * @param item the new value
     */
    record Written(StoredItem item) implements StoreChange {}

    /**
     * A value was removed.
     *
     * @param key its key
     * @param revision the revision of the store at the removal
     */
    record Removed(String key, long revision) implements StoreChange {}
}
