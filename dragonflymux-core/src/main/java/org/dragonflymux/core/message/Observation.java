package org.dragonflymux.core.message;

import org.dragonflymux.core.name.CustomerName;
import org.dragonflymux.core.name.HostId;
import org.dragonflymux.core.name.ServiceName;
import org.dragonflymux.core.name.TargetId;

/** Something that operators may want to know, for logs and metrics. */
public sealed interface Observation {

    /** The store became reachable or unreachable. */
    record StoreReachable(boolean reachable) implements Observation {}

    /** The host's session in the store lapsed. */
    record SessionLapsed(HostId host) implements Observation {}

    /** A table was written by this host. */
    record TableWritten(ServiceName service, long revision, int moves) implements Observation {}

    /** A write of a table met a conflict. */
    record TableConflict(ServiceName service) implements Observation {}

    /** This host began or ended to dispatch to a target. */
    record LaneHeld(ServiceName service, TargetId target, long fence, boolean held) implements Observation {}

    /** A request was held back because it crashed targets. */
    record RequestQuarantined(ServiceName service, long fingerprint) implements Observation {}

    /** A request was tried again by the system. */
    record Retried(ServiceName service) implements Observation {}

    /** A request of a customer got its token. */
    record Admitted(CustomerName customer) implements Observation {}

    /** Tokens were lent to a host, possibly this one. */
    record TokensLent(int asked, int lent) implements Observation {}
}
