package org.dragonflymux.ctl.store;

import org.dragonflymux.core.document.Document;

/**
 * A document as the store has it.
 *
 * @param document the document
 * @param revision the store revision of its last change
 */
public record VersionedDocument(Document document, long revision) {}
