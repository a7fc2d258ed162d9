package org.dragonflymux.core.session;

import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import org.dragonflymux.core.name.ServiceName;

/**
 * The pledges that a host has given as assigner or standby: not to change a service's table until they are over.
 *
 * <p>A pledge is refused while a write of the table by this host may still take effect, and for an older table.
 */
public final class PledgeTracker {

    private final Map<ServiceName, Instant> pledgedUntil = new HashMap<>();
    private final Map<Long, Write> unresolvedWrites = new HashMap<>();

    private record Write(ServiceName service, long expectedRevision) {}

    private PledgeTracker() {}

    /** Returns a book without pledges. */
    public static PledgeTracker empty() {
        return new PledgeTracker();
    }

    /** Notes that a write of a service's table was sent, which expects the given revision of the table. */
    public void writeSent(long call, ServiceName service, long expectedRevision) {
        unresolvedWrites.put(call, new Write(service, expectedRevision));
    }

    /** Notes that the store gave a definite answer to a write. */
    public void writeResolved(long call) {
        unresolvedWrites.remove(call);
    }

    /**
     * Tells whether a write whose answer was lost may still take effect.
     *
     * <p>Once the table has left the revision that a write expects, the write cannot.
     */
    public boolean hasUnresolvedWrite(ServiceName service, long knownRevision) {
        unresolvedWrites
                .values()
                .removeIf(write -> write.service().equals(service) && write.expectedRevision() < knownRevision);
        return unresolvedWrites.values().stream()
                .anyMatch(write -> write.service().equals(service));
    }

    /**
     * Gives a pledge, if none of this host's writes stands against it.
     *
     * @param askedRevision the revision of the table that the asking host serves by
     * @param knownRevision the revision of the table that this host knows
     * @return whether the pledge is given
     */
    public boolean tryPledge(ServiceName service, long askedRevision, long knownRevision, Instant now) {
        if (askedRevision != knownRevision || hasUnresolvedWrite(service, knownRevision)) {
            return false;
        }
        pledgedUntil.put(service, now.plus(HostAuthority.PLEDGE_LENGTH));
        return true;
    }

    /** Tells whether this host may write a service's table. */
    public boolean mayWrite(ServiceName service, Instant now) {
        return !now.isBefore(pledgedUntil.getOrDefault(service, Instant.MIN));
    }
}
