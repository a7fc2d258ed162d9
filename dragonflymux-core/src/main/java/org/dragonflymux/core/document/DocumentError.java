package org.dragonflymux.core.document;

/**
 * A validation error of a document.
 *
 * @param path a JSON Pointer to the invalid field
 * @param line the line number of the field, starting at 1, or 0 if the field is absent
 * @param expected a description of the expected value
 */
public record DocumentError(String path, int line, String expected) {

    @Override
    public String toString() {
        return "%s%s: %s".formatted(path.isEmpty() ? "/" : path, line == 0 ? "" : " (line " + line + ")", expected);
    }
}
