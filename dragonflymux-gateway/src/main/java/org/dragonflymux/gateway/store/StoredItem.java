package org.dragonflymux.gateway.store;

/**
 * A value in the store.
 *
 * @param key its key
 * @param value its bytes
 * @param revision the revision of the store at its last change
 */
public record StoredItem(String key, byte[] value, long revision) {

    /** Creates an item; the value is not copied. */
    public StoredItem {}
}
