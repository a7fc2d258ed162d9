package org.dragonflymux.core.gateway;

import java.util.List;
import java.util.Map;
import org.dragonflymux.core.name.HostId;
import org.dragonflymux.core.name.ServiceName;

/**
 * A report that a host sends up to ten times per second, about itself or aggregated over the hosts whose reports it
 * collects.
 *
 * @param from the reporting host
 * @param incarnation its incarnation
 * @param sequence the number of the report within the incarnation
 * @param included for an aggregate sent back to a group, the included reports: host and sequence number
 * @param targets requests at targets and completions since the last report
 * @param waiting number of waiting requests by service, of all priority classes
 * @param waitingByClass how many of them belong to each class except class 0; the others count as class 0
 * @param keys shard keys requested since the last report by service
 */
public record PeerReport(
        HostId from,
        long incarnation,
        long sequence,
        Map<HostId, Long> included,
        List<TargetUse> targets,
        Map<ServiceName, Integer> waiting,
        Map<WaitingClass, Integer> waitingByClass,
        Map<ServiceName, int[]> keys) {

    /** Creates a report whose waiting requests all count as class 0, like those of hosts that report no classes. */
    public PeerReport(
            HostId from,
            long incarnation,
            long sequence,
            Map<HostId, Long> included,
            List<TargetUse> targets,
            Map<ServiceName, Integer> waiting,
            Map<ServiceName, int[]> keys) {
        this(from, incarnation, sequence, included, targets, waiting, Map.of(), keys);
    }

    /** Returns how many requests of a class and of more urgent classes wait for the service of the class. */
    int waitingUpTo(WaitingClass limit) {
        int total = waiting.getOrDefault(limit.service(), 0);
        if (waitingByClass.isEmpty()) {
            return total;
        }
        int lessUrgent = 0;
        for (int each = limit.priorityClass() + 1; each < WaitingClass.COUNT; each++) {
            lessUrgent += waitingByClass.getOrDefault(new WaitingClass(limit.service(), each), 0);
        }
        return Math.max(0, total - lessUrgent);
    }

    /** Returns a copy without the requested shard keys. */
    PeerReport withoutKeys() {
        return new PeerReport(from, incarnation, sequence, included, targets, waiting, waitingByClass, Map.of());
    }

    /**
     * Requests at a target, and completions since the last report.
     *
     * @param target the hash of the target's name
     * @param inFlight number of requests at the target
     * @param waiting number of requests at the hosts that wait for this target and can go to no other
     * @param completions number of successful answers since the last report
     * @param meanMillis their mean service time, corrected for queueing at the target
     * @param slowdownPercent the slowdown that the target reported, 100 is normal
     * @param slowdownAgeMillis the age of that report, negative if there is none
     */
    public record TargetUse(
            int target,
            int inFlight,
            int waiting,
            int completions,
            int meanMillis,
            int slowdownPercent,
            int slowdownAgeMillis) {

        /** Returns a copy from which the requests that one host reported before are subtracted. */
        TargetUse minus(TargetUse own) {
            return new TargetUse(
                    target,
                    Math.max(0, inFlight - own.inFlight),
                    Math.max(0, waiting - own.waiting),
                    completions,
                    meanMillis,
                    slowdownPercent,
                    slowdownAgeMillis);
        }

        /** Returns a copy with the requests only, without completions. */
        TargetUse withoutCompletions() {
            return new TargetUse(target, inFlight, waiting, 0, 0, slowdownPercent, slowdownAgeMillis);
        }

        /** Returns the sum of both, with the newer of the two slowdowns that the target reported. */
        TargetUse plus(TargetUse other) {
            int count = completions + other.completions;
            int mean = count == 0
                    ? 0
                    : (int) (((long) completions * meanMillis + (long) other.completions * other.meanMillis) / count);
            boolean othersIsNewer = other.slowdownAgeMillis >= 0
                    && (slowdownAgeMillis < 0 || other.slowdownAgeMillis < slowdownAgeMillis);
            return new TargetUse(
                    target,
                    inFlight + other.inFlight,
                    waiting + other.waiting,
                    count,
                    mean,
                    othersIsNewer ? other.slowdownPercent : slowdownPercent,
                    othersIsNewer ? other.slowdownAgeMillis : slowdownAgeMillis);
        }
    }
}
