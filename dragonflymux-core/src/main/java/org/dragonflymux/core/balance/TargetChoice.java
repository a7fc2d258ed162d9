package org.dragonflymux.core.balance;

import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.dragonflymux.core.name.FailureDomain;
import org.dragonflymux.core.name.ServiceName;
import org.dragonflymux.core.name.TargetId;

/**
 * Chooses the target that is expected to answer first, for services whose requests any target may run. In a large fleet each
 * host looks at a part of the targets first, the same at all times, so that hosts with one somewhat old picture don't all
 * choose the same, and a host's connections are used again.
 */
public final class TargetChoice {

    /** How many hosts may compete for the best target. */
    private static final double COMPETING_HOSTS = 16;

    private static final int QUEUED_PER_TARGET = 1;
    private static final double OTHER_DOMAIN_MILLIS = 6;
    private static final double OTHER_DOMAIN_MILLIS_LARGE = 120;
    private static final double FAILURE_WEIGHT = 4;
    private static final double TIE_MILLIS = 4;

    private final TargetDirectory directory;
    private final ColdPacer pacer;
    private final FailureDomain home;
    private final RandomGenerator random;

    private TargetChoice(TargetDirectory directory, ColdPacer pacer, FailureDomain home, RandomGenerator random) {
        this.directory = directory;
        this.pacer = pacer;
        this.home = home;
        this.random = random;
    }

    /** Returns a choice among the directory's targets for a host in the given failure domain. */
    public static TargetChoice of(
            TargetDirectory directory, ColdPacer pacer, FailureDomain home, RandomGenerator random) {
        return new TargetChoice(directory, pacer, home, random);
    }

    /**
     * Returns the best target that has room.
     *
     * @param excluded targets that already had the request
     * @param largeAnswer whether the answer's way between failure domains matters
     */
    public Optional<TargetState> best(ServiceName service, Set<TargetId> excluded, boolean largeAnswer, long now) {
        double share = COMPETING_HOSTS / pacer.hosts();
        Optional<TargetState> chosen = best(service, excluded, largeAnswer, share, now);
        return chosen.isEmpty() && share < 1 ? best(service, excluded, largeAnswer, 1, now) : chosen;
    }

    private Optional<TargetState> best(
            ServiceName service, Set<TargetId> excluded, boolean largeAnswer, double share, long now) {
        double guess = directory.meanServiceMillis(service);
        TargetState best = null;
        double bestScore = Double.MAX_VALUE;
        for (TargetState target : directory.of(service)) {
            if (share < 1 && pacer.share().of(target) >= share
                    || excluded.contains(target.entry().id())
                    || target.busy() >= target.entry().slots() + QUEUED_PER_TARGET
                    || !usable(target, now)) {
                continue;
            }
            double score = expectedMillis(target, guess, largeAnswer, now) + random.nextDouble() * TIE_MILLIS;
            if (score < bestScore) {
                bestScore = score;
                best = target;
            }
        }
        return Optional.ofNullable(best);
    }

    /** Returns whether a target may get a request now, room aside. */
    public boolean usable(TargetState target, long now) {
        return directory.acceptsNewWork(target) && !target.heldDown(now) && pacer.admits(target, now);
    }

    private double expectedMillis(TargetState target, double guess, boolean largeAnswer, long now) {
        int slots = Math.max(1, target.entry().slots());
        double rounds = Math.max(1.0, (target.busy() + 1.0) / slots);
        double work = target.serviceMillis(guess) * target.slowdown(now) * rounds;
        double failures = 1 + FAILURE_WEIGHT * target.failureRatio();
        // Part of the way towards a full target costs a little even before requests wait there.
        double crowding = 0.2 * guess * target.busy() / slots;
        return (work + crowding) * failures + distanceMillis(target, largeAnswer);
    }

    private double distanceMillis(TargetState target, boolean largeAnswer) {
        if (target.entry().domain().equals(home)) {
            return 0;
        }
        return largeAnswer ? OTHER_DOMAIN_MILLIS_LARGE : OTHER_DOMAIN_MILLIS;
    }
}
