package org.dragonflymux.core.balance;

import java.util.HashMap;
import java.util.Map;
import org.dragonflymux.core.name.FailureDomain;
import org.dragonflymux.core.name.ServiceName;

/**
 * Estimates the requests that other hosts of this failure domain have sent to another one and have not reported yet. They see
 * the same load as this host and decide as it does, so each is taken to have sent as many as this host itself. Without
 * this, all hosts would fill the same idle targets until the next reports.
 */
final class UnreportedSpillover {

    /** The mean age at which a send becomes known to other hosts, by a report and an aggregate of reports. */
    private static final double MEAN_REPORT_AGE_MILLIS = 200;
    /** Fewer unreported sends than this are forgotten. */
    private static final double MIN_SENDS = 0.01;

    private final Map<Destination, Sends> sends = new HashMap<>();

    private record Destination(ServiceName service, FailureDomain domain) {}

    /** Sends of this host, of which the share that others do not know of decreases with time. */
    private record Sends(double count, long at) {

        double countAt(long now) {
            return count * Math.exp(-Math.max(0, now - at) / MEAN_REPORT_AGE_MILLIS);
        }
    }

    /** Records that this host sends a request to a target of another failure domain. */
    void recordSend(TargetEntry target, long now) {
        Destination destination = new Destination(target.service(), target.domain());
        double before = unreportedSends(destination, now);
        sends.put(destination, new Sends(before + 1, now));
    }

    private double unreportedSends(Destination destination, long now) {
        Sends latest = sends.get(destination);
        return latest == null ? 0 : latest.countAt(now);
    }

    /** Returns whether this host has sent requests for the service to other domains that others may not know of. */
    boolean any(ServiceName service, long now) {
        sends.values().removeIf(latest -> latest.countAt(now) < MIN_SENDS);
        return sends.keySet().stream()
                .anyMatch(destination -> destination.service().equals(service));
    }

    /**
     * Returns the estimated number of unreported requests of other hosts at each target of a failure domain.
     *
     * @param hosts how many hosts, including this one, decide alike and choose among the same targets
     * @param targets the mean number of targets of the domain that each of them chooses among
     */
    double perTarget(ServiceName service, FailureDomain domain, double hosts, double targets, long now) {
        return unreportedSends(new Destination(service, domain), now) * Math.max(0, hosts - 1) / Math.max(1, targets);
    }
}
