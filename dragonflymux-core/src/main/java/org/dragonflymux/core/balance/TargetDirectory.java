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

/** All targets that a host knows, and which of them may get work. */
public final class TargetDirectory {

    private static final double FIRST_GUESS_MILLIS = 50;

    private final Map<TargetId, TargetState> targets = new HashMap<>();
    private final Map<ServiceName, List<TargetState>> byService = new HashMap<>();
    private final Map<Integer, TargetState> byHash = new HashMap<>();
    private Set<FailureDomain> drainedDomains = Set.of();

    private TargetDirectory() {}

    /** Returns a directory without targets. */
    public static TargetDirectory empty() {
        return new TargetDirectory();
    }

    /** Replaces the entries; what is known of a target stays with it for as long as it lives. */
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
        TargetState known = targets.get(entry.id());
        if (known == null || known.entry().incarnation() != entry.incarnation()) {
            TargetState state = TargetState.of(entry, now);
            targets.put(entry.id(), state);
            byHash.put(state.nameHash(), state);
        } else if (!known.entry().equals(entry)) {
            known.update(entry, now);
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

    /** Replaces the failure domains that get no work. */
    public void drain(Set<FailureDomain> domains) {
        drainedDomains = Set.copyOf(domains);
    }

    public Set<FailureDomain> drainedDomains() {
        return drainedDomains;
    }

    public Optional<TargetState> target(TargetId id) {
        return Optional.ofNullable(targets.get(id));
    }

    /** Returns the target whose name has a hash. */
    public Optional<TargetState> hashed(int hash) {
        return Optional.ofNullable(byHash.get(hash));
    }

    public List<TargetState> of(ServiceName service) {
        return byService.getOrDefault(service, List.of());
    }

    public Collection<TargetState> all() {
        return targets.values();
    }

    /** Returns whether a target may get new work as far as operators and the target itself say. */
    public boolean acceptsNewWork(TargetState target) {
        return !target.entry().draining()
                && !drainedDomains.contains(target.entry().domain());
    }

    /** Returns the mean time that the service's measured targets work on a request. */
    public double meanServiceMillis(ServiceName service) {
        double sum = 0;
        int count = 0;
        for (TargetState target : of(service)) {
            if (target.measured()) {
                sum += target.serviceMillis(0);
                count++;
            }
        }
        return count == 0 ? FIRST_GUESS_MILLIS : sum / count;
    }

    /** Returns the mean time that the service's measured targets usually work on a request. */
    public double longTermServiceMillis(ServiceName service) {
        return of(service).stream()
                .filter(TargetState::measured)
                .mapToDouble(target -> target.longTermServiceMillis(0))
                .average()
                .orElse(FIRST_GUESS_MILLIS);
    }

    /** Forgets what another host has at targets. */
    public void forgetPeer(HostId peer) {
        for (TargetState target : targets.values()) {
            target.forgetPeer(peer);
        }
    }
}
