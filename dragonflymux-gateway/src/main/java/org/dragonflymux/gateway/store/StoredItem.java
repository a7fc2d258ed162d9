package org.dragonflymux.gateway.store;

/**
 * A value in the store.
 *
 * @param key its key
 * @param value its bytes
 * @param revision the store's revision at its last change
 */
public record StoredItem(String key, byte[] value, long revision) {

    /** Creates an item; the bytes aren't copied. */
    public StoredItem {}
}
