package org.dragonflymux.core.session;

import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import org.dragonflymux.core.name.ServiceName;

/**
 * Tracks the pledges that a host has given as assigner or standby. The host must not change a service's table before
 * its pledge for that service has expired.
 *
 * <p>A pledge is refused while a write of the table by this host may still take effect, and for any revision of the
 * table other than the one that this host knows.
 */
public final class PledgeTracker {

    private final Map<ServiceName, Instant> pledgedUntil = new HashMap<>();
    private final Map<Long, Write> unresolvedWrites = new HashMap<>();

    private record Write(ServiceName service, long expectedRevision) {}

    private PledgeTracker() {}

    /** Returns a tracker without pledges. */
    public static PledgeTracker empty() {
        return new PledgeTracker();
    }

    /** Records that a write of a service's table was sent, conditional on the given revision of the table. */
    public void writeSent(long call, ServiceName service, long expectedRevision) {
        unresolvedWrites.put(call, new Write(service, expectedRevision));
    }

    /** Records that the result of a write is known. */
    public void writeResolved(long call) {
        unresolvedWrites.remove(call);
    }

    /**
     * Returns whether a write without a known result may still take effect.
     *
     * <p>A write can no longer take effect once the table's revision exceeds the one that the write expects.
     */
    public boolean hasUnresolvedWrite(ServiceName service, long knownRevision) {
        unresolvedWrites
                .values()
                .removeIf(write -> write.service().equals(service) && write.expectedRevision() < knownRevision);
        return unresolvedWrites.values().stream()
                .anyMatch(write -> write.service().equals(service));
    }

    /**
     * Gives a pledge unless a write by this host may still change the table.
     *
     * @param requestedRevision the revision of the table that the requesting host uses
     * @param knownRevision the revision of the table in this host's replica
     * @return whether the pledge is given
     */
    public boolean tryPledge(ServiceName service, long requestedRevision, long knownRevision, Instant now) {
        if (requestedRevision != knownRevision || hasUnresolvedWrite(service, knownRevision)) {
            return false;
        }
        pledgedUntil.put(service, now.plus(HostAuthority.PLEDGE_DURATION));
        return true;
    }

    /** Returns whether no pledge prevents this host from writing a service's table. */
    public boolean mayWrite(ServiceName service, Instant now) {
        return !now.isBefore(pledgedUntil.getOrDefault(service, Instant.MIN));
    }
}
