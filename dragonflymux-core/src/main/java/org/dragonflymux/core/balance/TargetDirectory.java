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
    /** How long the state of a target is kept after its entry was removed, in case an old update brings the entry back. */
    private static final long REMOVED_RETENTION_MILLIS = 600_000;

    private final Map<TargetId, TargetState> targets = new HashMap<>();
    private final Map<TargetId, RemovedTarget> removedTargets = new HashMap<>();
    private final Map<ServiceName, List<TargetState>> byService = new HashMap<>();
    private final Map<ServiceName, Map<FailureDomain, Integer>> countsByDomain = new HashMap<>();
    private final Map<Integer, TargetState> byHash = new HashMap<>();
    private Set<FailureDomain> drainedDomains = Set.of();

    private record RemovedTarget(TargetState state, long removedAt) {}

    private TargetDirectory() {}

    public static TargetDirectory empty() {
        return new TargetDirectory();
    }

    /**
     * Replaces the entries. A target keeps its state until it has a new incarnation, also while its entry is missing: what
     * it said about itself remains true if an old update brings the entry back. A pause outlives the incarnation.
     */
    public void replace(Collection<TargetEntry> entries, long now) {
        removedTargets.values().removeIf(removed -> now - removed.removedAt() > REMOVED_RETENTION_MILLIS);
        Set<TargetId> present = new HashSet<>();
        for (TargetEntry entry : entries) {
            present.add(entry.id());
            put(entry, now);
        }
        removeAllExcept(present, now);
        byHash.values()
                .removeIf(state -> !state.equals(targets.get(state.entry().id())));
        index();
    }

    private void removeAllExcept(Set<TargetId> present, long now) {
        for (TargetId id : List.copyOf(targets.keySet())) {
            if (!present.contains(id)) {
                TargetState state = targets.remove(id);
                state.forgetPeers();
                removedTargets.put(id, new RemovedTarget(state, now));
            }
        }
    }

    private void put(TargetEntry entry, long now) {
        TargetState existing = knownState(entry.id());
        if (existing == null) {
            existing = TargetState.of(entry, now);
        } else if (existing.entry().incarnation() != entry.incarnation()) {
            existing = TargetState.ofNextIncarnation(existing, entry, now);
        } else if (!existing.entry().equals(entry)) {
            existing.update(entry, now);
        }
        removedTargets.remove(entry.id());
        targets.put(entry.id(), existing);
        byHash.put(existing.nameHash(), existing);
    }

    private TargetState knownState(TargetId id) {
        TargetState present = targets.get(id);
        if (present != null) {
            return present;
        }
        RemovedTarget removed = removedTargets.get(id);
        return removed == null ? null : removed.state();
    }

    private void index() {
        byService.clear();
        countsByDomain.clear();
        for (TargetState target : targets.values()) {
            byService
                    .computeIfAbsent(target.entry().service(), _ -> new ArrayList<>())
                    .add(target);
            countsByDomain
                    .computeIfAbsent(target.entry().service(), _ -> new HashMap<>())
                    .merge(target.entry().domain(), 1, Integer::sum);
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

    /** Returns the latest entry of a target, also if it was removed a while ago. */
    public Optional<TargetEntry> lastEntry(TargetId id) {
        return Optional.ofNullable(knownState(id)).map(TargetState::entry);
    }

    /** Returns the target whose name has the given hash. */
    public Optional<TargetState> withNameHash(int hash) {
        return Optional.ofNullable(byHash.get(hash));
    }

    public List<TargetState> forService(ServiceName service) {
        return byService.getOrDefault(service, List.of());
    }

    /** Returns how many targets of a service each failure domain has; domains without any are left out. */
    Map<FailureDomain, Integer> countsByDomain(ServiceName service) {
        return countsByDomain.getOrDefault(service, Map.of());
    }

    public Collection<TargetState> all() {
        return targets.values();
    }

    /** Returns whether neither the target itself nor its failure domain is draining, by its entry and its own answers. */
    public boolean acceptsNewWork(TargetState target) {
        return !target.leaving() && notDrained(target);
    }

    /**
     * Returns whether a target may get requests for keys that it owns. No other target may run them, so an owner that is
     * leaving gets them for a while longer.
     *
     * @param leavingGraceMillis for how long after its announcement a leaving owner gets requests
     */
    public boolean servesOwnedKeys(TargetState target, long leavingGraceMillis, long now) {
        return now - leavingGraceMillis < target.leavingSince() && notDrained(target);
    }

    private boolean notDrained(TargetState target) {
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
