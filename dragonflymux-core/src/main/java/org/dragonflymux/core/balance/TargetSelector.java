package org.dragonflymux.core.balance;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.dragonflymux.core.name.FailureDomain;
import org.dragonflymux.core.name.ServiceName;
import org.dragonflymux.core.name.TargetId;

/**
 * Selects the target that is expected to answer first, for services whose requests any target may run. In a large fleet
 * each host first considers a fixed subset of the targets. This keeps hosts that have the same slightly outdated load data
 * from all selecting the same target, and lets each host reuse its connections. Some targets of its own failure domain are
 * always in the subset.
 */
public final class TargetSelector {

    /** Average number of hosts whose subset contains the same target. */
    private static final double COMPETING_HOSTS = 16;

    /** With fewer candidates of its own domain, a host would find none with a free slot and send requests elsewhere. */
    private static final double MIN_CANDIDATES_IN_OWN_DOMAIN = 6;

    private static final int MAX_QUEUED_PER_TARGET = 1;
    private static final double FAILURE_WEIGHT = 4;
    private static final double TIE_BREAK_JITTER_MILLIS = 4;
    /** Weight of the preference for targets that are less occupied, relative to the mean service time. */
    private static final double OCCUPANCY_WEIGHT = 0.2;

    private final TargetDirectory directory;
    private final ColdPacer pacer;
    private final FailureDomain ownDomain;
    private final RandomGenerator random;
    private final UnreportedSpillover unreportedSpillover = new UnreportedSpillover();

    private TargetSelector(
            TargetDirectory directory, ColdPacer pacer, FailureDomain ownDomain, RandomGenerator random) {
        this.directory = directory;
        this.pacer = pacer;
        this.ownDomain = ownDomain;
        this.random = random;
    }

    /** Creates a selector among the directory's targets for a host in the given failure domain. */
    public static TargetSelector of(
            TargetDirectory directory, ColdPacer pacer, FailureDomain ownDomain, RandomGenerator random) {
        return new TargetSelector(directory, pacer, ownDomain, random);
    }

    /**
     * Returns the best target that has a free slot or queue position.
     *
     * @param excluded targets to which the request was already sent
     * @param leavingCostMillis the latency that the request must gain by leaving this host's failure domain, besides what
     *     the preference for less occupied targets may amount to
     */
    public Optional<TargetState> best(ServiceName service, Set<TargetId> excluded, double leavingCostMillis, long now) {
        double candidateShare = Math.min(1, COMPETING_HOSTS / pacer.hostCount());
        Optional<TargetState> chosen = best(service, excluded, leavingCostMillis, candidateShare, now);
        return chosen.isEmpty() && candidateShare < 1 ? best(service, excluded, leavingCostMillis, 1, now) : chosen;
    }

    private Optional<TargetState> best(
            ServiceName service, Set<TargetId> excluded, double leavingCostMillis, double candidateShare, long now) {
        Map<FailureDomain, Double> unreported = unreportedPerTarget(service, candidateShare, now);
        int targetsInOwnDomain = directory.countsByDomain(service).getOrDefault(ownDomain, 0);
        double shareInOwnDomain =
                Math.max(candidateShare, MIN_CANDIDATES_IN_OWN_DOMAIN / Math.max(1, targetsInOwnDomain));
        double defaultMillis = directory.meanServiceMillis(service);
        TargetState best = null;
        double bestScore = Double.MAX_VALUE;
        for (TargetState target : directory.forService(service)) {
            double share = leavesDomain(target) ? candidateShare : shareInOwnDomain;
            if (share < 1 && pacer.hostTargetHash().fractionFor(target) >= share
                    || excluded.contains(target.entry().id())
                    || !target.hasRoom(MAX_QUEUED_PER_TARGET)
                    || !usable(target, now)) {
                continue;
            }
            double score = expectedMillis(target, defaultMillis, unreported, now)
                    // The preference for less occupied targets alone doesn't make a request leave its domain.
                    + (leavesDomain(target) ? leavingCostMillis + OCCUPANCY_WEIGHT * defaultMillis : 0)
                    + random.nextDouble() * TIE_BREAK_JITTER_MILLIS;
            if (score < bestScore) {
                bestScore = score;
                best = target;
            }
        }
        return Optional.ofNullable(best);
    }

    /** Returns whether a target may get a request now, regardless of its free slots. */
    public boolean usable(TargetState target, long now) {
        return directory.acceptsNewWork(target) && mayReceive(target, now);
    }

    /** Returns whether the owner of a key may get a request for it now, regardless of its free slots. */
    public boolean usableOwner(TargetState owner, long leavingGraceMillis, long now) {
        return directory.servesOwnedKeys(owner, leavingGraceMillis, now) && mayReceive(owner, now);
    }

    private boolean mayReceive(TargetState target, long now) {
        return !target.heldBack(now) && !target.resting(now) && pacer.admits(target, now);
    }

    /**
     * Returns how long until a target of the service may get requests again, in milliseconds; 0 if one may get them now,
     * and empty if no target's return is foreseeable.
     */
    public OptionalLong millisUntilUsable(ServiceName service, long now) {
        return directory.forService(service).stream()
                .filter(directory::acceptsNewWork)
                .mapToLong(target -> Math.max(0, target.heldBackUntil() - now))
                .min();
    }

    /** Records that a request is sent to a target. */
    public void recordSend(TargetState target, long now) {
        if (leavesDomain(target)) {
            unreportedSpillover.recordSend(target.entry(), now);
        }
    }

    /** Returns whether a request to the target leaves this host's failure domain. */
    public boolean leavesDomain(TargetState target) {
        return !target.entry().domain().equals(ownDomain);
    }

    /** Returns the estimated number of requests that each target of another domain got and no report has shown yet. */
    private Map<FailureDomain, Double> unreportedPerTarget(ServiceName service, double share, long now) {
        if (!unreportedSpillover.any(service, now)) {
            return Map.of();
        }
        Map<FailureDomain, Integer> counts = directory.countsByDomain(service);
        double competingHosts = share * pacer.hostCount() / counts.size();
        Map<FailureDomain, Double> result = new HashMap<>();
        counts.forEach((domain, count) ->
                result.put(domain, unreportedSpillover.perTarget(service, domain, competingHosts, count * share, now)));
        return result;
    }

    private double expectedMillis(
            TargetState target, double defaultMillis, Map<FailureDomain, Double> unreported, long now) {
        int slots = Math.max(1, target.entry().slots());
        double present =
                target.totalInFlight() + unreported.getOrDefault(target.entry().domain(), 0.0);
        double rounds = Math.max(1.0, (present + 1.0) / slots);
        double work = target.serviceMillis(defaultMillis) * target.slowdown(now) * rounds;
        double failureFactor = 1 + FAILURE_WEIGHT * target.failureRatio();
        // Prefers less occupied targets even while none of them queues requests.
        double occupancyPenalty = OCCUPANCY_WEIGHT * defaultMillis * present / slots;
        return (work + occupancyPenalty) * failureFactor;
    }
}
