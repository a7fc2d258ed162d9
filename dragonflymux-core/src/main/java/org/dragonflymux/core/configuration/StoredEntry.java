package org.dragonflymux.core.configuration;

import org.dragonflymux.core.document.DocumentKey;

/**
 * A key of the store as of one revision.
 *
 * @param key the key
 * @param revision the store revision of the last change of the key
 * @param json the document, or null when the key was deleted
 */
public record StoredEntry(DocumentKey key, long revision, String json) {

    /** Tells whether the key was deleted at this revision. */
    public boolean deleted() {
        return json == null;
    }
}
