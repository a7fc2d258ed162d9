package org.dragonflymux.core.gateway;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import org.dragonflymux.core.desired.CustomerSpec;
import org.dragonflymux.core.name.CustomerName;
import org.dragonflymux.core.name.HostId;

/**
 * Customers' rates over the whole fleet: each host keeps the whole bucket and takes out of it what the other hosts say
 * they have admitted. Of hosts that say nothing it is assumed that they go on as before.
 *
 * <p>Between two reports a host takes its usual part of what is left only, so that hosts that haven't heard of each other
 * don't spend the same tokens.
 */
final class FleetQuota {

    private static final double MILLIS_PER_SECOND = 1000;
    private static final double DEBT_SECONDS = 5;
    /** Makes up for tokens that are lost where hosts learn late what others gave back. */
    private static final double REFILL = 1.03;

    private static final long FIRST_REPORTS_MILLIS = 400;
    /** How much the latest report weighs in a host's usual rate. */
    private static final double SMOOTHING = 0.1;
    /** For how long a host spends the part that it set aside; others' reports take that long to arrive. */
    private static final long PART_MILLIS = 100;
    /** A host's part is larger than its usual one by this factor, so that it may grow. */
    private static final double PART_GROWTH = 1.5;
    /** Requests that a host may admit between two reports however small its usual part is. */
    private static final double LEAST_PART = 2;

    private final Map<CustomerName, Bucket> buckets = new HashMap<>();
    private final Map<CustomerName, Long> admitted = new HashMap<>();
    private final Map<HostId, PeerUse> peers = new HashMap<>();

    private static final class Bucket {
        private double tokens;
        private long filledAt;
        private long createdAt;
        private double part;
        private long partAt = Long.MIN_VALUE / 2;
        private long admittedAtPart;
        private double ownPerMilli;
    }

    private static final class PeerUse {
        private long incarnation;
        private Map<CustomerName, Long> admitted = Map.of();
        private long heardAt;
        private final Map<CustomerName, Double> perMilli = new HashMap<>();
        private final Map<CustomerName, Double> assumed = new HashMap<>();
    }

    /** Takes in who is limited; a bucket begins to fill when its customer becomes known. */
    void customers(Collection<CustomerSpec> specs, int hosts, long now) {
        specs.stream().filter(CustomerSpec::limited).forEach(spec -> filled(spec, hosts, now));
    }

    /** Takes a token out, or returns after how many milliseconds one is expected. */
    long take(CustomerSpec customer, int hosts, long now) {
        if (!customer.limited()) {
            return 0;
        }
        Bucket bucket = filled(customer, hosts, now);
        if (now - bucket.partAt >= PART_MILLIS) {
            setPartAside(customer.name(), bucket, hosts, now);
        }
        if (bucket.tokens < 1) {
            return Math.max(1, (long) Math.ceil((1 - bucket.tokens) / perMilli(customer)));
        }
        if (bucket.part < 1) {
            return Math.max(1, bucket.partAt + PART_MILLIS - now);
        }
        bucket.tokens--;
        bucket.part--;
        admitted.merge(customer.name(), 1L, Long::sum);
        return 0;
    }

    private void setPartAside(CustomerName customer, Bucket bucket, int hosts, long now) {
        long soFar = admitted.getOrDefault(customer, 0L);
        double latest = (double) (soFar - bucket.admittedAtPart) / Math.max(1, now - bucket.partAt);
        bucket.ownPerMilli += SMOOTHING * (latest - bucket.ownPerMilli);
        double all = bucket.ownPerMilli;
        for (PeerUse peer : peers.values()) {
            all += peer.perMilli.getOrDefault(customer, 0.0);
        }
        double usual = all <= 0 ? 0 : bucket.ownPerMilli / all;
        double share = Math.min(1, PART_GROWTH * Math.max(usual, 1.0 / Math.max(1, hosts)));
        bucket.part = Math.max(bucket.tokens * share, Math.min(bucket.tokens, LEAST_PART));
        bucket.partAt = now;
        bucket.admittedAtPart = soFar;
    }

    /** Gives back the token of a request that has not run. */
    void giveBack(CustomerName customer) {
        Bucket bucket = buckets.get(customer);
        if (bucket != null) {
            bucket.tokens++;
            bucket.part++;
            admitted.merge(customer, -1L, Long::sum);
        }
    }

    Map<CustomerName, Long> admitted() {
        return admitted;
    }

    private Bucket filled(CustomerSpec customer, int hosts, long now) {
        Bucket bucket = buckets.get(customer.name());
        if (bucket == null) {
            // Empty at first: what the fleet admitted before this host started isn't known.
            bucket = new Bucket();
            bucket.filledAt = now;
            bucket.createdAt = now;
            buckets.put(customer.name(), bucket);
        }
        // Until the others have been heard, a host takes its own part only.
        int sharers = now < bucket.createdAt + FIRST_REPORTS_MILLIS ? Math.max(1, hosts) : 1;
        double flow = (now - bucket.filledAt) * perMilli(customer) / sharers;
        bucket.tokens = Math.min(Math.max(customer.burst(), 1), bucket.tokens + flow);
        bucket.tokens = Math.max(-DEBT_SECONDS * customer.ratePerSecond(), bucket.tokens);
        bucket.filledAt = now;
        return bucket;
    }

    private static double perMilli(CustomerSpec customer) {
        return customer.ratePerSecond() * REFILL / MILLIS_PER_SECOND;
    }

    /** Takes in what another host has admitted. */
    void peerAdmitted(HostId peer, long incarnation, Map<CustomerName, Long> counts, long now) {
        PeerUse use = peers.computeIfAbsent(peer, _ -> new PeerUse());
        boolean sameLife = use.incarnation == incarnation;
        for (Map.Entry<CustomerName, Long> count : counts.entrySet()) {
            long before = sameLife ? use.admitted.getOrDefault(count.getKey(), 0L) : 0L;
            // A host's counts begin at zero with its life; of a life that is older than this host only the rest counts.
            boolean known = use.heardAt > 0;
            double delta = known ? count.getValue() - before : 0;
            double taken = delta - use.assumed.getOrDefault(count.getKey(), 0.0);
            Bucket bucket = buckets.get(count.getKey());
            if (bucket != null) {
                bucket.tokens -= taken;
            }
            if (known && now > use.heardAt) {
                double latest = Math.max(0, delta) / (now - use.heardAt);
                use.perMilli.merge(count.getKey(), latest, (usual, added) -> usual + SMOOTHING * (added - usual));
            }
        }
        use.assumed.clear();
        use.incarnation = incarnation;
        use.admitted = Map.copyOf(counts);
        use.heardAt = now;
    }

    /** Assumes that a silent host went on as before for some time. */
    void assume(HostId peer, long millis) {
        PeerUse use = peers.get(peer);
        if (use == null) {
            return;
        }
        use.perMilli.forEach((customer, perMilli) -> {
            double taken = perMilli * millis;
            use.assumed.merge(customer, taken, Double::sum);
            Bucket bucket = buckets.get(customer);
            if (bucket != null) {
                bucket.tokens -= taken;
            }
        });
    }

    /** Forgets a host that has left. */
    void forget(HostId peer) {
        peers.remove(peer);
    }
}
