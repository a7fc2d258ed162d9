package org.dragonflymux.core.shard;

import java.io.Serial;

/** Thrown if the bounds do not form a range of shard keys. */
public final class IllegalKeyRangeException extends IllegalArgumentException {

    @Serial
    private static final long serialVersionUID = 1L;

    IllegalKeyRangeException(int first, int last) {
        super("invalid range of shard keys: " + first + " to " + last);
    }
}
