package org.dragonflymux.core.gateway;

import java.util.List;
import java.util.Map;
import org.dragonflymux.core.name.HostId;
import org.dragonflymux.core.name.ServiceName;

/**
 * What a host tells others many times a second, of itself or of the hosts whose reports it collects.
 *
 * @param from the host
 * @param incarnation its life
 * @param sequence the number of the report in that life
 * @param included which reports of which other hosts are summed up in it, by their numbers
 * @param targets what there is at targets and was seen of them
 * @param waiting how many requests wait, by service
 * @param keys shard keys requested since the last report, by service
 */
public record PeerReport(
        HostId from,
        long incarnation,
        long sequence,
        Map<HostId, Long> included,
        List<TargetUse> targets,
        Map<ServiceName, Integer> waiting,
        Map<ServiceName, int[]> keys) {

    /** Returns this without the keys that were requested. */
    PeerReport withoutKeys() {
        return new PeerReport(from, incarnation, sequence, included, targets, waiting, Map.of());
    }

    /**
     * What there is at a target and was seen of it.
     *
     * @param target the hash of the target's name
     * @param inFlight requests at the target
     * @param waiting requests that wait at the hosts for this target alone
     * @param completions good answers since the last report
     * @param meanMillis their mean time at a target that runs them alone
     * @param slowdownPercent the target's own report, 100 is as usual
     * @param slowdownAgeMillis how old that report is, negative where there is none
     */
    public record TargetUse(
            int target,
            int inFlight,
            int waiting,
            int completions,
            int meanMillis,
            int slowdownPercent,
            int slowdownAgeMillis) {

        /** Returns what remains of this when what one host told of the target before is taken off. */
        TargetUse without(TargetUse own) {
            return new TargetUse(
                    target,
                    Math.max(0, inFlight - own.inFlight),
                    Math.max(0, waiting - own.waiting),
                    completions,
                    meanMillis,
                    slowdownPercent,
                    slowdownAgeMillis);
        }

        /** Returns this without what was seen of the target; only what there is at it. */
        TargetUse present() {
            return new TargetUse(target, inFlight, waiting, 0, 0, slowdownPercent, slowdownAgeMillis);
        }

        /** Returns the sum of both, with the younger of the target's own reports. */
        TargetUse plus(TargetUse other) {
            int count = completions + other.completions;
            int mean = count == 0
                    ? 0
                    : (int) (((long) completions * meanMillis + (long) other.completions * other.meanMillis) / count);
            boolean othersIsYounger = other.slowdownAgeMillis >= 0
                    && (slowdownAgeMillis < 0 || other.slowdownAgeMillis < slowdownAgeMillis);
            return new TargetUse(
                    target,
                    inFlight + other.inFlight,
                    waiting + other.waiting,
                    count,
                    mean,
                    othersIsYounger ? other.slowdownPercent : slowdownPercent,
                    othersIsYounger ? other.slowdownAgeMillis : slowdownAgeMillis);
        }
    }
}
