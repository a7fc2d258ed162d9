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

/** Opens this host's session in the store and renews it, by itself or through other hosts. */
public final class SessionManager {

    /** How often the session is renewed. */
    public static final Duration RENEWAL_INTERVAL = Duration.ofMillis(600);

    private final HostAuthority authority;
    private final StoreCallQueue store;
    private final Outbox outbox;
    private final Map<Long, Instant> relayed = new HashMap<>();
    private HostRecord record;
    private long lease;
    private long sessionRevision;
    private boolean opening;
    private Instant nextRenewal = Instant.MIN;

    private SessionManager(HostRecord record, HostAuthority authority, StoreCallQueue store, Outbox outbox) {
        this.record = record;
        this.authority = authority;
        this.store = store;
        this.outbox = outbox;
    }

    /** Returns a keeper without a session. */
    public static SessionManager of(HostRecord record, HostAuthority authority, StoreCallQueue store, Outbox outbox) {
        return new SessionManager(record, authority, store, outbox);
    }

    /** Opens or renews the session when that is due. */
    public void tick(Instant now) {
        if (lease == 0) {
            open(now);
        } else if (sessionRevision == 0) {
            put(now);
        } else if (!now.isBefore(nextRenewal)) {
            nextRenewal = now.plus(RENEWAL_INTERVAL);
            long renewed = lease;
            store.call(
                    new StoreCall.RenewLease(renewed), now, (reply, askedAt, at) -> renewed(renewed, reply, askedAt));
        }
    }

    private void open(Instant now) {
        if (opening) {
            return;
        }
        opening = true;
        store.call(new StoreCall.GrantLease(HostAuthority.SESSION_TTL), now, (reply, askedAt, at) -> {
            opening = false;
            if (reply instanceof StoreReply.LeaseGranted granted) {
                lease = granted.lease();
                sessionRevision = 0;
                put(at);
            }
        });
    }

    private void put(Instant now) {
        if (opening) {
            return;
        }
        opening = true;
        long bound = lease;
        store.call(new StoreCall.PutSession(record, bound), now, (reply, askedAt, at) -> {
            opening = false;
            if (reply instanceof StoreReply.Written written && bound == lease) {
                // A later put under the same lease changes the record only, not since when the session stands.
                sessionRevision = sessionRevision == 0 ? written.revision() : sessionRevision;
                nextRenewal = at;
            } else if (reply instanceof StoreReply.Conflict) {
                lease = 0;
            }
        });
    }

    private void renewed(long renewedLease, StoreReply reply, Instant askedAt) {
        if (reply instanceof StoreReply.LeaseRenewed answer && renewedLease == lease) {
            renewed(answer.alive(), askedAt);
        }
    }

    private void renewed(boolean alive, Instant askedAt) {
        if (alive) {
            authority.renewed(askedAt);
            return;
        }
        lease = 0;
        sessionRevision = 0;
        authority.lapsed();
        outbox.note(new Observation.SessionLapsed(record.host()));
    }

    /** Notes that another host was asked to renew the session. */
    public void relayAsked(long question, Instant now) {
        relayed.values()
                .removeIf(askedAt -> askedAt.plus(HostAuthority.SESSION_TTL).isBefore(now));
        relayed.put(question, now);
    }

    /** Takes in another host's word about the renewal that it was asked for. */
    public void relayAnswered(long question, boolean alive) {
        Instant askedAt = relayed.remove(question);
        if (askedAt != null && lease != 0) {
            renewed(alive, askedAt);
        }
    }

    /** Marks the host as shutting down, in the store too. */
    public void leave(Instant now) {
        record = record.asLeaving();
        if (lease != 0) {
            put(now);
        }
    }

    /** Gives the session back to the store. */
    public void close(Instant now) {
        if (lease != 0) {
            store.call(new StoreCall.RevokeLease(lease), now, (reply, askedAt, at) -> {});
        }
    }

    /** Returns the lease that the session is bound to, or 0. */
    public long lease() {
        return lease;
    }

    /** Returns the revision at which the session was written, or 0. */
    public long sessionRevision() {
        return sessionRevision;
    }

    /** Returns this host's record. */
    public HostRecord record() {
        return record;
    }
}
