package org.dragonflymux.core.shard;

import java.io.Serial;

/** Thrown for bounds that are no range of shard keys. */
public final class IllegalKeyRangeException extends IllegalArgumentException {

    @Serial
    private static final long serialVersionUID = 1L;

    IllegalKeyRangeException(int first, int last) {
        super("no range of shard keys: " + first + " to " + last);
    }
}
