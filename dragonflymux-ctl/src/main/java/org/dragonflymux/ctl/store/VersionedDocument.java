package org.dragonflymux.ctl.store;

import org.dragonflymux.core.document.Document;

/**
 * A document as stored, with its revision.
 *
 * @param revision the store revision at which it was last changed
 */
public record VersionedDocument(Document document, long revision) {}
