package org.dragonflymux.core.message;

import org.dragonflymux.core.name.CustomerName;
import org.dragonflymux.core.name.HostId;
import org.dragonflymux.core.name.ServiceName;
import org.dragonflymux.core.name.TargetId;

/** An operational event for logs and metrics. */
public sealed interface Observation {

    /** The store became reachable or unreachable. */
    record StoreReachable(boolean reachable) implements Observation {}

    /** The host's session in the store expired. */
    record SessionLapsed(HostId host) implements Observation {}

    /** This host wrote an assignment table. */
    record TableWritten(ServiceName service, long revision, int moves) implements Observation {}

    /** A write of an assignment table was rejected because a compared revision or session had changed. */
    record TableConflict(ServiceName service) implements Observation {}

    /** This host started or stopped dispatching to a target. */
    record LaneHeld(ServiceName service, TargetId target, long fence, boolean held) implements Observation {}

    /** A request was quarantined because it had crashed targets. */
    record RequestQuarantined(ServiceName service, long fingerprint) implements Observation {}

    /** A request was retried on behalf of its caller. */
    record Retried(ServiceName service) implements Observation {}

    /** A customer's request was admitted by the rate limit. */
    record Admitted(CustomerName customer) implements Observation {}

    /** Rate-limit tokens were lent to a host, possibly this one. */
    record TokensLent(int asked, int lent) implements Observation {}
}
