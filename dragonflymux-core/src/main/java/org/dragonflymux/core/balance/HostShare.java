package org.dragonflymux.core.balance;

import com.google.common.hash.HashFunction;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import org.dragonflymux.core.name.HostId;

/**
 * A number for each pair of a host and a target, the same at all times and spread evenly, by which hosts share targets out
 * without talking.
 */
final class HostShare {

    private final HashFunction hash;

    private HostShare(HashFunction hash) {
        this.hash = hash;
    }

    /** Returns the numbers of a host. */
    static HostShare of(HostId host) {
        int seed = Hashing.murmur3_32_fixed()
                .hashString(host.value(), StandardCharsets.UTF_8)
                .asInt();
        return new HostShare(Hashing.murmur3_32_fixed(seed));
    }

    /** Returns the host's number for a target, from 0 to below 1. */
    double of(TargetState target) {
        int hashed = hash.hashInt(target.nameHash()).asInt();
        return Integer.toUnsignedLong(hashed) / (double) (1L << Integer.SIZE);
    }
}
