package org.dragonflymux.core.admission;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import org.dragonflymux.core.assignment.KeyHash;
import org.dragonflymux.core.document.CustomerDocument;
import org.dragonflymux.core.document.Fencing;
import org.dragonflymux.core.document.ServiceDocument;
import org.dragonflymux.core.document.TargetDeclaration;
import org.dragonflymux.core.name.CustomerName;
import org.dragonflymux.core.name.FailureDomain;
import org.dragonflymux.core.name.ServiceName;
import org.dragonflymux.core.name.TargetId;

/**
 * A pool of customers' token buckets, distributed over hosts by an assignment table like the lanes of a service.
 *
 * <p>Its lanes have no targets: the dispatcher of lane <i>n</i> is the only holder of the buckets of all customers that
 * hash to <i>n</i>. One pool spans the fleet. Each failure domain for which customers have reserves has a separate
 * pool, held by the hosts of that domain.
 *
 * @param domain the failure domain that the pool belongs to, or null for the fleet's pool
 */
public record AdmissionPool(FailureDomain domain) {

    /** The pool that spans the fleet. */
    public static final AdmissionPool FLEET = new AdmissionPool(null);

    private static final String NAME_PREFIX = "admission";
    private static final int FLEET_LANES = 32;
    private static final int DOMAIN_LANES = 4;

    /** Returns whether a service name is reserved for pools. */
    public static boolean isReservedName(ServiceName name) {
        return name.value().equals(NAME_PREFIX) || name.value().startsWith(NAME_PREFIX + ".");
    }

    /** Returns the pools that the given customers require. */
    public static List<AdmissionPool> all(Collection<CustomerDocument> customers) {
        Set<FailureDomain> domains = new TreeSet<>();
        customers.forEach(customer -> domains.addAll(customer.reserves().keySet()));
        List<AdmissionPool> pools = new ArrayList<>();
        pools.add(FLEET);
        domains.forEach(domain -> pools.add(new AdmissionPool(domain)));
        return pools;
    }

    /** Returns the name of the service whose table distributes the pool. */
    public ServiceName name() {
        return ServiceName.of(domain == null ? NAME_PREFIX : NAME_PREFIX + "." + domain);
    }

    private int lanes() {
        return domain == null ? FLEET_LANES : DOMAIN_LANES;
    }

    /** Returns the lane that holds a customer's bucket. */
    public TargetId lane(CustomerName customer) {
        return laneId(KeyHash.partition(KeyHash.of(customer.value()), lanes()));
    }

    private static TargetId laneId(int index) {
        return TargetId.of("bucket-" + index);
    }

    /** Returns a customer's rate limit in this pool, if it has one. */
    public Optional<RateLimit> limit(CustomerDocument customer) {
        if (domain == null) {
            return Optional.of(RateLimit.unreserved(customer));
        }
        return Optional.ofNullable(customer.reserves().get(domain)).map(RateLimit::of);
    }

    /**
     * Returns the service whose table distributes the pool. It is identical on all hosts.
     *
     * @param continuityMillis how long hosts may lend tokens on the basis of pledges while the store is unreachable, in
     *     milliseconds
     */
    public ServiceDocument service(int continuityMillis) {
        List<TargetDeclaration> declarations = new ArrayList<>();
        for (int i = 0; i < lanes(); i++) {
            declarations.add(new TargetDeclaration(laneId(i), domain, "", 1));
        }
        return new ServiceDocument(
                name(), 1, Fencing.CHECKED, domain, 0, 0, continuityMillis, 0, Set.of(), declarations);
    }
}
