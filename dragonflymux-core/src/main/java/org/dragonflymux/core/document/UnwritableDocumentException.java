package org.dragonflymux.core.document;

/** Signals that a document has no JSON form, which is a fault of the program. */
public final class UnwritableDocumentException extends IllegalStateException {

    private static final long serialVersionUID = 1L;

    UnwritableDocumentException(DocumentKey key, Throwable cause) {
        super("document " + key.path() + " cannot be written", cause);
    }
}
