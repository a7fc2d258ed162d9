package org.dragonflymux.gateway.store;

/** A change that a watch saw. */
public sealed interface StoreChange {

    /**
     * A value was written.
     *
     * @param item the value
     */
    record Written(StoredItem item) implements StoreChange {}

    /**
     * A value was removed.
     *
     * @param key its key
     * @param revision the store's revision then
     */
    record Removed(String key, long revision) implements StoreChange {}
}
