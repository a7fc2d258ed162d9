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
 * Which seats a host takes. A seat is free when its key has gone with its holder's lease, or when its holder's life has
 * surely ended. A host takes its former life's seats back at once; for the others the hosts stand in an order that differs
 * from seat to seat, and those behind wait longer.
 */
public final class LenderElection {

    private static final long STAGGER_MILLIS = 150;
    /** Hosts that start together come to know of each other in this time, and share the seats. */
    private static final long SETTLE_MILLIS = 300;

    private static final long CALL_TIMEOUT_MILLIS = 1_500;
    private static final long NEWS_MILLIS = 200;

    private final FleetMember self;
    private final Map<Integer, LenderPartition> seats = new HashMap<>();
    private final Map<Integer, Long> freeSince = new HashMap<>();
    private long nextClaim = Long.MIN_VALUE;
    private long settledAt = Long.MAX_VALUE;

    /**
     * A seat to be taken.
     *
     * @param number the seat
     * @param expectedRevision the revision of its key, 0 where there is none
     */
    public record Claim(int number, long expectedRevision) {}

    private LenderElection(FleetMember self) {
        this.self = self;
    }

    /** Returns the election of a host that knows no seats yet. */
    public static LenderElection of(FleetMember self) {
        return new LenderElection(self);
    }

    /** Replaces the seats that are taken. */
    public void replacePartitions(Collection<LenderPartition> taken) {
        seats.clear();
        taken.forEach(seat -> seats.put(seat.number(), seat));
    }

    /** Returns the seats that are taken. */
    public Collection<LenderPartition> partitions() {
        return seats.values();
    }

    /** Takes in that a claim ended; news of the seats comes a little later. */
    public void claimEnded(long now) {
        nextClaim = now + NEWS_MILLIS;
    }

    /**
     * Returns the seats to be taken now.
     *
     * @param members the registered hosts
     * @param lease this host's lease, which surely holds
     */
    public List<Claim> due(Map<HostId, FleetMember> members, long lease, long now) {
        settledAt = Math.min(settledAt, now + SETTLE_MILLIS);
        List<Claim> claims = new ArrayList<>();
        for (int number = 0; number < LenderPartition.COUNT; number++) {
            Optional<LenderPartition> seat = Optional.ofNullable(seats.get(number));
            if (seat.isPresent() && !free(seat.get(), members, lease)) {
                freeSince.remove(number);
                continue;
            }
            boolean formerlyOwn = seat.filter(held -> held.holder().host().equals(self.host()))
                    .isPresent();
            long since = freeSince.computeIfAbsent(number, _ -> Math.max(now, settledAt));
            if (formerlyOwn || now >= since + rank(number, members) * STAGGER_MILLIS) {
                claims.add(new Claim(number, seat.map(LenderPartition::epoch).orElse(0L)));
            }
        }
        if (claims.isEmpty() || now < nextClaim) {
            return List.of();
        }
        nextClaim = now + CALL_TIMEOUT_MILLIS;
        return claims;
    }

    private boolean free(LenderPartition seat, Map<HostId, FleetMember> members, long lease) {
        if (seat.holder().host().equals(self.host())) {
            return !seat.holder().sameIncarnation(self) || seat.lease() != lease;
        }
        FleetMember present = members.get(seat.holder().host());
        return present != null && present.incarnation() > seat.holder().incarnation();
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
