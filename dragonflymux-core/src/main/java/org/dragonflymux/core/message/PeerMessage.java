package org.dragonflymux.core.message;

import java.util.List;
import org.dragonflymux.core.assignment.LaneReport;
import org.dragonflymux.core.configuration.StoredEntry;
import org.dragonflymux.core.name.CustomerName;
import org.dragonflymux.core.name.HostId;
import org.dragonflymux.core.name.ServiceName;
import org.dragonflymux.core.quarantine.CrashCount;

/** A message that one entry host sends to another. */
public sealed interface PeerMessage {

    /** Requests all entries changed after a revision. */
    record Ask(long correlationId, long sinceRevision) implements PeerMessage {}

    /**
     * Answers an {@link Ask}.
     *
     * @param correlationId the id of the request
     * @param sinceRevision the revision that the request named
     * @param entries the entries changed since then
     * @param completeTo the revision up to which the entries are complete
     * @param staleMillis the time since the sender's replica was last known to be up to date, in milliseconds
     * @param crashCounts the crash counts of requests that were running when targets crashed
     */
    record Tell(
            long correlationId,
            long sinceRevision,
            List<StoredEntry> entries,
            long completeTo,
            long staleMillis,
            List<CrashCount> crashCounts)
            implements PeerMessage {}

    /** Forwards an admitted request to the dispatcher of its key. */
    record Forward(long request, ServiceRequest body, long remainingMillis) implements PeerMessage {}

    /** Returns the outcome of a forwarded request. */
    record ForwardOutcome(long request, Outcome outcome) implements PeerMessage {}

    /** Requests tokens from the host that holds a customer's bucket in a pool. */
    record Borrow(long loan, ServiceName pool, CustomerName customer, int tokens) implements PeerMessage {}

    /**
     * Answers a {@link Borrow}.
     *
     * @param loan the id of the loan request
     * @param tokens the number of tokens lent, possibly fewer than requested
     * @param retryAfterMillis the time until the next token is available, in milliseconds, or -1 if the sender does
     *     not hold the bucket
     */
    record Lend(long loan, int tokens, long retryAfterMillis) implements PeerMessage {}

    /** Reports the state of a lane to the assigner and the standby. */
    record Report(HostId dispatcher, LaneReport report) implements PeerMessage {}

    /** Requests a pledge from a service's assigner or standby. */
    record AskPledge(long correlationId, ServiceName service, long tableRevision) implements PeerMessage {}

    /** Answers an {@link AskPledge} by giving the pledge. */
    record Pledge(long correlationId, ServiceName service, HostId by) implements PeerMessage {}

    /** Asks a host that may reach the store to renew the sender's session. */
    record RelayRenewal(long correlationId, long lease) implements PeerMessage {}

    /** Answers a {@link RelayRenewal} with the store's reply: the session was renewed, or no longer exists. */
    record RelayedRenewal(long correlationId, boolean renewed) implements PeerMessage {}

    /** Distributes entries that the sender has just written to the store. */
    record Notice(List<StoredEntry> entries) implements PeerMessage {}
}
