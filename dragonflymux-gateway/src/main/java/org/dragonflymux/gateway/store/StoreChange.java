package org.dragonflymux.gateway.store;

/** A change reported by a watch. */
public sealed interface StoreChange {

    /** Returns the key of the value that was written or removed. */
    String key();

    /**
     * A value was written.
     *
     * @param item the new value
     */
    record Written(StoredItem item) implements StoreChange {

        @Override
        public String key() {
            return item.key();
        }
    }

    /**
     * A value was removed.
     *
     * @param key its key
     * @param revision the revision of the store at the removal
     */
    record Removed(String key, long revision) implements StoreChange {}
}
