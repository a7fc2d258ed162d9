package org.dragonflymux.core.assignment;

import com.google.common.hash.HashFunction;
import com.google.common.hash.Hashing;
import com.google.common.primitives.UnsignedLong;
import java.nio.charset.StandardCharsets;

/** The hash function that distributes keys over partitions. */
public final class KeyHash {

    private static final HashFunction FUNCTION = Hashing.murmur3_128();

    private KeyHash() {}

    /** Returns the 64-bit hash of a key. */
    public static long of(String key) {
        return FUNCTION.hashString(key, StandardCharsets.UTF_8).asLong();
    }

    /** Returns a hash as 16 hexadecimal digits. */
    public static String hex(long hash) {
        String digits = UnsignedLong.fromLongBits(hash).toString(16);
        return "0".repeat(16 - digits.length()) + digits;
    }

    /** Returns the partition of a hash. */
    public static int partition(long hash, int partitions) {
        return (int) Math.unsignedMultiplyHigh(hash, partitions);
    }
}
