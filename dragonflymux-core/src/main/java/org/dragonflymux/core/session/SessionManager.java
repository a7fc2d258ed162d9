package org.dragonflymux.core.session;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import org.dragonflymux.core.document.HostRecord;
import org.dragonflymux.core.message.Observation;
import org.dragonflymux.core.message.Outbox;
import org.dragonflymux.core.message.StoreCall;
import org.dragonflymux.core.message.StoreReply;

/** Opens this host's session in the store and renews it, directly or through other hosts. */
public final class SessionManager {

    /** The interval between renewals of the session. */
    public static final Duration RENEWAL_INTERVAL = Duration.ofMillis(600);

    private final HostAuthority authority;
    private final StoreCallTracker store;
    private final Outbox outbox;
    private final Map<Long, Instant> relayRequests = new HashMap<>();
    private HostRecord record;
    private long lease;
    private long sessionRevision;
    private boolean callPending;
    private Instant nextRenewal = Instant.MIN;

    private SessionManager(HostRecord record, HostAuthority authority, StoreCallTracker store, Outbox outbox) {
        this.record = record;
        this.authority = authority;
        this.store = store;
        this.outbox = outbox;
    }

    /** Returns a manager without an open session. */
    public static SessionManager of(HostRecord record, HostAuthority authority, StoreCallTracker store, Outbox outbox) {
        return new SessionManager(record, authority, store, outbox);
    }

    /** Opens the session, or renews it when a renewal is due. */
    public void tick(Instant now) {
        if (lease == 0) {
            open(now);
        } else if (sessionRevision == 0) {
            writeRecord(now);
        } else if (!now.isBefore(nextRenewal)) {
            nextRenewal = now.plus(RENEWAL_INTERVAL);
            long renewed = lease;
            store.call(
                    new StoreCall.RenewLease(renewed),
                    now,
                    (reply, requestedAt, at) -> handleRenewal(renewed, reply, requestedAt));
        }
    }

    private void open(Instant now) {
        if (callPending) {
            return;
        }
        callPending = true;
        store.call(new StoreCall.GrantLease(HostAuthority.SESSION_TTL), now, (reply, requestedAt, at) -> {
            callPending = false;
            if (reply instanceof StoreReply.LeaseGranted granted) {
                lease = granted.lease();
                sessionRevision = 0;
                writeRecord(at);
            }
        });
    }

    private void writeRecord(Instant now) {
        if (callPending) {
            return;
        }
        callPending = true;
        long boundLease = lease;
        store.call(new StoreCall.PutSession(record, boundLease), now, (reply, requestedAt, at) -> {
            callPending = false;
            if (reply instanceof StoreReply.Written written && boundLease == lease) {
                // A later write under the same lease changes only the record; the session keeps its first revision.
                sessionRevision = sessionRevision == 0 ? written.revision() : sessionRevision;
                nextRenewal = at;
            } else if (reply instanceof StoreReply.Conflict) {
                lease = 0;
            }
        });
    }

    private void handleRenewal(long renewedLease, StoreReply reply, Instant requestedAt) {
        if (reply instanceof StoreReply.LeaseRenewed answer && renewedLease == lease) {
            handleRenewal(answer.alive(), requestedAt);
        }
    }

    private void handleRenewal(boolean alive, Instant requestedAt) {
        if (alive) {
            authority.recordRenewal(requestedAt);
            return;
        }
        lease = 0;
        sessionRevision = 0;
        authority.recordExpiry();
        outbox.note(new Observation.SessionLapsed(record.host()));
    }

    /** Records that another host was asked to renew the session. */
    public void recordRelayRequest(long correlationId, Instant now) {
        relayRequests
                .values()
                .removeIf(requestedAt ->
                        requestedAt.plus(HostAuthority.SESSION_TTL).isBefore(now));
        relayRequests.put(correlationId, now);
    }

    /** Handles the result of a renewal by another host. */
    public void handleRelayReply(long correlationId, boolean alive) {
        Instant requestedAt = relayRequests.remove(correlationId);
        if (requestedAt != null && lease != 0) {
            handleRenewal(alive, requestedAt);
        }
    }

    /** Marks this host's record as shutting down and writes it to the store. */
    public void leave(Instant now) {
        record = record.asLeaving();
        if (lease != 0) {
            writeRecord(now);
        }
    }

    /** Revokes the lease, which deletes the session from the store. */
    public void close(Instant now) {
        if (lease != 0) {
            store.call(new StoreCall.RevokeLease(lease), now, (reply, requestedAt, at) -> {});
        }
    }

    /** Returns the lease that the session is bound to, or 0 if there is none. */
    public long lease() {
        return lease;
    }

    /** Returns the revision at which the session was first written, or 0 if it has not been written. */
    public long sessionRevision() {
        return sessionRevision;
    }

    /** Returns this host's record. */
    public HostRecord record() {
        return record;
    }
}
