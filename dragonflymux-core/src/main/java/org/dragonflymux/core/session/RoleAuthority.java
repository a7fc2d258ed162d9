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
 * Tells until when this host may act on the lanes that a service's table gives it, and seeks relays and pledges while the
 * store does not renew the session.
 */
public final class RoleAuthority {

    private static final Duration SEEK_BEFORE = Duration.ofMillis(1100);
    private static final Duration SEEK_INTERVAL = Duration.ofMillis(300);

    private record Asked(ServiceName service, HostId host, Instant at) {}

    private final ConfigurationReplica replica;
    private final HostAuthority authority;
    private final SessionManager session;
    private final IdSequence numbers;
    private final Outbox outbox;
    private final Map<Long, Asked> asked = new HashMap<>();
    private Instant nextSeek = Instant.MIN;
    private BiPredicate<PeerMessage.AskPledge, Instant> ownPledge = (_, _) -> false;

    private RoleAuthority(
            ConfigurationReplica replica,
            HostAuthority authority,
            SessionManager session,
            IdSequence numbers,
            Outbox outbox) {
        this.replica = replica;
        this.authority = authority;
        this.session = session;
        this.numbers = numbers;
        this.outbox = outbox;
    }

    /** Returns the authority of the host whose session is given. */
    public static RoleAuthority of(
            ConfigurationReplica replica,
            HostAuthority authority,
            SessionManager session,
            IdSequence numbers,
            Outbox outbox) {
        return new RoleAuthority(replica, authority, session, numbers, outbox);
    }

    /** Returns until when this host may act on its lanes of a service. */
    public Instant validUntil(ServiceName service) {
        // Before the replica has caught up with the session, it may show lanes that others were given meanwhile.
        boolean caughtUp = session.sessionRevision() != 0 && replica.revision() >= session.sessionRevision();
        if (!caughtUp) {
            return Instant.MIN;
        }
        return replica.find(DocumentKey.assignment(service), AssignmentTable.class)
                .map(table -> authority.validUntil(service, table.assigner(), table.standby(), table.continuity()))
                .orElse(Instant.MIN);
    }

    /**
     * Seeks a relay, and pledges for the services that this host dispatches for, when renewals fail.
     *
     * @param dispatched the services of whose lanes this host holds some
     * @param relays gives addresses of hosts that may reach the store
     */
    public void seek(Set<ServiceName> dispatched, Supplier<List<String>> relays, Instant now) {
        boolean failing = session.lease() != 0 && !now.plus(SEEK_BEFORE).isBefore(authority.sessionUntil());
        if (!failing || now.isBefore(nextSeek)) {
            return;
        }
        nextSeek = now.plus(SEEK_INTERVAL);
        asked.values()
                .removeIf(question ->
                        question.at().plus(HostAuthority.PLEDGE_LENGTH).isBefore(now));
        relays.get().forEach(address -> seekRelay(address, now));
        dispatched.forEach(service -> seekPledges(service, now));
    }

    private void seekRelay(String address, Instant now) {
        long question = numbers.next();
        session.relayAsked(question, now);
        outbox.send(address, new PeerMessage.RelayRenewal(question, session.lease()));
    }

    private void seekPledges(ServiceName service, Instant now) {
        DocumentKey key = DocumentKey.assignment(service);
        replica.find(key, AssignmentTable.class).ifPresent(table -> {
            Set<HostId> pair = new HashSet<>();
            pair.add(table.assigner());
            pair.add(table.standby());
            pair.remove(null);
            pair.forEach(host -> seekPledge(service, replica.revisionOf(key), host, now));
        });
    }

    private void seekPledge(ServiceName service, long tableRevision, HostId host, Instant now) {
        long question = numbers.next();
        PeerMessage.AskPledge ask = new PeerMessage.AskPledge(question, service, tableRevision);
        asked.put(question, new Asked(service, host, now));
        if (!host.equals(session.record().host())) {
            replica.host(host).ifPresent(record -> outbox.send(record.peerAddress(), ask));
        } else if (ownPledge.test(ask, now)) {
            pledged(new PeerMessage.Pledge(question, service, host));
        }
    }

    /** Sets who gives this host's pledges to itself. */
    public void pledgeBy(BiPredicate<PeerMessage.AskPledge, Instant> pledge) {
        ownPledge = pledge;
    }

    /** Takes in a pledge. */
    public void pledged(PeerMessage.Pledge pledge) {
        Asked question = asked.remove(pledge.question());
        if (question != null
                && question.host().equals(pledge.by())
                && question.service().equals(pledge.service())) {
            authority.pledged(question.service(), question.host(), question.at());
        }
    }
}
