package org.dragonflymux.core.document;

/** Thrown if a document cannot be serialized, which indicates a programming error. */
public final class UnwritableDocumentException extends IllegalStateException {

    private static final long serialVersionUID = 1L;

    UnwritableDocumentException(DocumentKey key, Throwable cause) {
        super("document " + key.path() + " cannot be serialized", cause);
    }
}
