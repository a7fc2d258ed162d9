package org.dragonflymux.core.balance;

import com.google.common.hash.HashFunction;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import org.dragonflymux.core.name.HostId;

/**
 * A stable, evenly distributed number for each pair of a host and a target. It lets hosts divide targets among themselves
 * without communication.
 */
final class HostTargetHash {

    private final HashFunction hash;

    private HostTargetHash(HashFunction hash) {
        this.hash = hash;
    }

    /** Returns the hash of a host. */
    static HostTargetHash of(HostId host) {
        int seed = Hashing.murmur3_32_fixed()
                .hashString(host.value(), StandardCharsets.UTF_8)
                .asInt();
        return new HostTargetHash(Hashing.murmur3_32_fixed(seed));
    }

    /** Returns the host's number for a target, at least 0 and less than 1. */
    double fractionFor(TargetState target) {
        int hashed = hash.hashInt(target.nameHash()).asInt();
        return Integer.toUnsignedLong(hashed) / (double) (1L << Integer.SIZE);
    }
}
