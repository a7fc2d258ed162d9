package org.dragonflymux.core.configuration;

import org.dragonflymux.core.document.DocumentKey;

/**
 * The value of a store key as of its last change.
 *
 * @param revision the store revision of the last change of the key
 * @param json the document as JSON, or null if the key was deleted
 */
public record StoredEntry(DocumentKey key, long revision, String json) {

    /** Returns whether the key was deleted at this revision. */
    public boolean deleted() {
        return json == null;
    }
}
