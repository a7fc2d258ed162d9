package org.dragonflymux.core.session;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiPredicate;
import java.util.function.Supplier;
import org.dragonflymux.core.configuration.ConfigurationReplica;
import org.dragonflymux.core.document.AssignmentTable;
import org.dragonflymux.core.document.DocumentKey;
import org.dragonflymux.core.message.IdSequence;
import org.dragonflymux.core.message.Outbox;
import org.dragonflymux.core.message.PeerMessage;
import org.dragonflymux.core.name.HostId;
import org.dragonflymux.core.name.ServiceName;

/**
 * Determines until when this host may act on the lanes that a service's table assigns to it, and requests relayed
 * renewals and pledges while its own renewals of the session fail.
 */
public final class LaneAuthority {

    /** The remaining session time below which relayed renewals and pledges are requested. */
    private static final Duration EXTENSION_THRESHOLD = Duration.ofMillis(1100);

    private static final Duration EXTENSION_INTERVAL = Duration.ofMillis(300);

    private record PledgeRequest(ServiceName service, HostId host, Instant at) {}

    private final ConfigurationReplica replica;
    private final HostAuthority authority;
    private final SessionManager session;
    private final IdSequence ids;
    private final Outbox outbox;
    private final Map<Long, PledgeRequest> pledgeRequests = new HashMap<>();
    private Instant nextExtension = Instant.MIN;
    private BiPredicate<PeerMessage.AskPledge, Instant> localPledges = (_, _) -> false;

    private LaneAuthority(
            ConfigurationReplica replica,
            HostAuthority authority,
            SessionManager session,
            IdSequence ids,
            Outbox outbox) {
        this.replica = replica;
        this.authority = authority;
        this.session = session;
        this.ids = ids;
        this.outbox = outbox;
    }

    /** Returns the authority of the host that owns the given session. */
    public static LaneAuthority of(
            ConfigurationReplica replica,
            HostAuthority authority,
            SessionManager session,
            IdSequence ids,
            Outbox outbox) {
        return new LaneAuthority(replica, authority, session, ids, outbox);
    }

    /** Returns until when this host may act on its lanes of a service. */
    public Instant validUntil(ServiceName service) {
        // Until the replica reaches the session's revision, it may show lanes since assigned to other hosts.
        boolean caughtUp = session.sessionRevision() != 0 && replica.revision() >= session.sessionRevision();
        if (!caughtUp) {
            return Instant.MIN;
        }
        return replica.find(DocumentKey.assignment(service), AssignmentTable.class)
                .map(table -> authority.validUntil(service, table.assigner(), table.standby(), table.continuity()))
                .orElse(Instant.MIN);
    }

    /**
     * Requests relayed renewals, and pledges for the given services, when the session is about to expire.
     *
     * @param dispatched the services that this host holds lanes of
     * @param relays supplies the addresses of hosts that may reach the store
     */
    public void requestExtensions(Set<ServiceName> dispatched, Supplier<List<String>> relays, Instant now) {
        boolean expiring =
                session.lease() != 0 && !now.plus(EXTENSION_THRESHOLD).isBefore(authority.sessionUntil());
        if (!expiring || now.isBefore(nextExtension)) {
            return;
        }
        nextExtension = now.plus(EXTENSION_INTERVAL);
        pledgeRequests
                .values()
                .removeIf(request ->
                        request.at().plus(HostAuthority.PLEDGE_DURATION).isBefore(now));
        relays.get().forEach(address -> requestRelay(address, now));
        dispatched.forEach(service -> requestPledges(service, now));
    }

    private void requestRelay(String address, Instant now) {
        long correlationId = ids.next();
        session.recordRelayRequest(correlationId, now);
        outbox.send(address, new PeerMessage.RelayRenewal(correlationId, session.lease()));
    }

    private void requestPledges(ServiceName service, Instant now) {
        DocumentKey key = DocumentKey.assignment(service);
        replica.find(key, AssignmentTable.class).ifPresent(table -> {
            Set<HostId> pledgers = new HashSet<>();
            pledgers.add(table.assigner());
            pledgers.add(table.standby());
            pledgers.remove(null);
            pledgers.forEach(host -> requestPledge(service, replica.revisionOf(key), host, now));
        });
    }

    private void requestPledge(ServiceName service, long tableRevision, HostId host, Instant now) {
        long correlationId = ids.next();
        PeerMessage.AskPledge ask = new PeerMessage.AskPledge(correlationId, service, tableRevision);
        pledgeRequests.put(correlationId, new PledgeRequest(service, host, now));
        if (!host.equals(session.record().host())) {
            replica.host(host).ifPresent(record -> outbox.send(record.peerAddress(), ask));
        } else if (localPledges.test(ask, now)) {
            handlePledge(new PeerMessage.Pledge(correlationId, service, host));
        }
    }

    /** Sets the function that decides on the pledges that this host requests from itself. */
    public void setLocalPledges(BiPredicate<PeerMessage.AskPledge, Instant> tryPledge) {
        localPledges = tryPledge;
    }

    /** Records a received pledge if it answers a pending request. */
    public void handlePledge(PeerMessage.Pledge pledge) {
        PledgeRequest request = pledgeRequests.remove(pledge.correlationId());
        if (request != null
                && request.host().equals(pledge.by())
                && request.service().equals(pledge.service())) {
            authority.recordPledge(request.service(), request.host(), request.at());
        }
    }
}
