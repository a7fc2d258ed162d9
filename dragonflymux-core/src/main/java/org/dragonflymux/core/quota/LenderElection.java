package org.dragonflymux.core.quota;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.dragonflymux.core.membership.FleetMember;
import org.dragonflymux.core.name.HostId;

/**
 * Decides which lender partitions a host claims. A partition is free when its key has expired with the lease of its
 * holder, or when a newer incarnation shows that its holder has ended. A host reclaims the partitions of its own
 * earlier incarnation immediately. For all others the hosts are ranked in an order that differs by partition, and a
 * host waits longer the lower it ranks.
 */
public final class LenderElection {

    private static final long STAGGER_MILLIS = 150;
    /** Hosts that start at the same time discover each other within this time, and so share the partitions. */
    private static final long SETTLE_MILLIS = 300;

    private static final long CALL_TIMEOUT_MILLIS = 1_500;
    private static final long UPDATE_DELAY_MILLIS = 200;

    private final FleetMember self;
    private final Map<Integer, LenderPartition> partitions = new HashMap<>();
    private final Map<Integer, Long> freeSince = new HashMap<>();
    private long nextClaimAt = Long.MIN_VALUE;
    private long settledAt = Long.MAX_VALUE;

    /**
     * A claim of a partition.
     *
     * @param number the number of the partition
     * @param expectedRevision the revision of its key, 0 if the key does not exist
     */
    public record Claim(int number, long expectedRevision) {}

    private LenderElection(FleetMember self) {
        this.self = self;
    }

    /** Returns the election of a host that knows no held partitions yet. */
    public static LenderElection of(FleetMember self) {
        return new LenderElection(self);
    }

    /** Replaces the partitions that are held by any host. */
    public void replacePartitions(Collection<LenderPartition> held) {
        partitions.clear();
        held.forEach(partition -> partitions.put(partition.number(), partition));
    }

    /** Returns the partitions that are held by any host. */
    public Collection<LenderPartition> partitions() {
        return partitions.values();
    }

    /** Records that a claim ended; the update of the partitions arrives shortly afterwards. */
    public void claimEnded(long now) {
        nextClaimAt = now + UPDATE_DELAY_MILLIS;
    }

    /**
     * Returns the claims to send now.
     *
     * @param members the registered hosts
     * @param lease this host's lease, which must be certain to be valid
     */
    public List<Claim> due(Map<HostId, FleetMember> members, long lease, long now) {
        settledAt = Math.min(settledAt, now + SETTLE_MILLIS);
        List<Claim> claims = new ArrayList<>();
        for (int number = 0; number < LenderPartition.COUNT; number++) {
            Optional<LenderPartition> partition = Optional.ofNullable(partitions.get(number));
            if (partition.isPresent() && !free(partition.get(), members, lease)) {
                freeSince.remove(number);
                continue;
            }
            boolean heldByThisHost = partition
                    .filter(held -> held.holder().host().equals(self.host()))
                    .isPresent();
            long since = freeSince.computeIfAbsent(number, _ -> Math.max(now, settledAt));
            if (heldByThisHost || now >= since + rank(number, members) * STAGGER_MILLIS) {
                claims.add(
                        new Claim(number, partition.map(LenderPartition::epoch).orElse(0L)));
            }
        }
        if (claims.isEmpty() || now < nextClaimAt) {
            return List.of();
        }
        nextClaimAt = now + CALL_TIMEOUT_MILLIS;
        return claims;
    }

    private boolean free(LenderPartition partition, Map<HostId, FleetMember> members, long lease) {
        if (partition.holder().host().equals(self.host())) {
            return !partition.holder().sameIncarnation(self) || partition.lease() != lease;
        }
        FleetMember currentIncarnation = members.get(partition.holder().host());
        return currentIncarnation != null
                && currentIncarnation.incarnation() > partition.holder().incarnation();
    }

    private long rank(int number, Map<HostId, FleetMember> members) {
        int own = weight(number, self.host());
        return members.keySet().stream()
                .filter(host -> weight(number, host) < own)
                .count();
    }

    private static int weight(int number, HostId host) {
        return Hashing.murmur3_32_fixed(number)
                .hashString(host.value(), StandardCharsets.UTF_8)
                .asInt();
    }
}
