package org.dragonflymux.core.document;

/**
 * One fault of a document.
 *
 * @param path a JSON Pointer to the offending field
 * @param line the line of the field, counted from 1, or 0 when it is absent
 * @param expected what a correct document has there
 */
public record DocumentError(String path, int line, String expected) {

    @Override
    public String toString() {
        return "%s%s: %s".formatted(path.isEmpty() ? "/" : path, line == 0 ? "" : " (line " + line + ")", expected);
    }
}
