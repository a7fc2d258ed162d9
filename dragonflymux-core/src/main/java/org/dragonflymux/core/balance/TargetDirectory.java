package org.dragonflymux.core.balance;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.dragonflymux.core.name.FailureDomain;
import org.dragonflymux.core.name.HostId;
import org.dragonflymux.core.name.ServiceName;
import org.dragonflymux.core.name.TargetId;

/** All targets known to a host, and which of them may get requests. */
public final class TargetDirectory {

    private static final double DEFAULT_SERVICE_MILLIS = 50;

    private final Map<TargetId, TargetState> targets = new HashMap<>();
    private final Map<ServiceName, List<TargetState>> byService = new HashMap<>();
    private final Map<Integer, TargetState> byHash = new HashMap<>();
    private Set<FailureDomain> drainedDomains = Set.of();

    private TargetDirectory() {}

    public static TargetDirectory empty() {
        return new TargetDirectory();
    }

    /** Replaces the entries. A target keeps its state until its entry is removed or has a new incarnation. */
    public void replace(Collection<TargetEntry> entries, long now) {
        Set<TargetId> present = new HashSet<>();
        for (TargetEntry entry : entries) {
            present.add(entry.id());
            put(entry, now);
        }
        targets.keySet().removeIf(id -> !present.contains(id));
        byHash.values()
                .removeIf(state -> !state.equals(targets.get(state.entry().id())));
        index();
    }

    private void put(TargetEntry entry, long now) {
        TargetState existing = targets.get(entry.id());
        if (existing == null || existing.entry().incarnation() != entry.incarnation()) {
            TargetState state = TargetState.of(entry, now);
            targets.put(entry.id(), state);
            byHash.put(state.nameHash(), state);
        } else if (!existing.entry().equals(entry)) {
            existing.update(entry, now);
        }
    }

    private void index() {
        byService.clear();
        for (TargetState target : targets.values()) {
            byService
                    .computeIfAbsent(target.entry().service(), _ -> new ArrayList<>())
                    .add(target);
        }
    }

    /** Replaces the failure domains that get no new requests. */
    public void replaceDrainedDomains(Set<FailureDomain> domains) {
        drainedDomains = Set.copyOf(domains);
    }

    public Set<FailureDomain> drainedDomains() {
        return drainedDomains;
    }

    public Optional<TargetState> target(TargetId id) {
        return Optional.ofNullable(targets.get(id));
    }

    /** Returns the target whose name has the given hash. */
    public Optional<TargetState> withNameHash(int hash) {
        return Optional.ofNullable(byHash.get(hash));
    }

    public List<TargetState> forService(ServiceName service) {
        return byService.getOrDefault(service, List.of());
    }

    public Collection<TargetState> all() {
        return targets.values();
    }

    /** Returns whether neither the target itself nor its failure domain is draining. */
    public boolean acceptsNewWork(TargetState target) {
        return !target.entry().draining()
                && !drainedDomains.contains(target.entry().domain());
    }

    /** Returns the mean recent service time over the service's measured targets, in milliseconds. */
    public double meanServiceMillis(ServiceName service) {
        double sum = 0;
        int count = 0;
        for (TargetState target : forService(service)) {
            if (target.hasMeasurements()) {
                sum += target.serviceMillis(0);
                count++;
            }
        }
        return count == 0 ? DEFAULT_SERVICE_MILLIS : sum / count;
    }

    /** Returns the mean long-term service time over the service's measured targets, in milliseconds. */
    public double longTermServiceMillis(ServiceName service) {
        return forService(service).stream()
                .filter(TargetState::hasMeasurements)
                .mapToDouble(target -> target.longTermServiceMillis(0))
                .average()
                .orElse(DEFAULT_SERVICE_MILLIS);
    }

    /** Drops the requests that another host has reported at targets. */
    public void forgetPeer(HostId peer) {
        for (TargetState target : targets.values()) {
            target.forgetPeer(peer);
        }
    }
}
