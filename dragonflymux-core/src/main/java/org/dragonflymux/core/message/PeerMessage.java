package org.dragonflymux.core.message;

import java.util.List;
import org.dragonflymux.core.assignment.LaneReport;
import org.dragonflymux.core.configuration.StoredEntry;
import org.dragonflymux.core.name.CustomerName;
import org.dragonflymux.core.name.HostId;
import org.dragonflymux.core.name.ServiceName;
import org.dragonflymux.core.quarantine.CrashCount;

/** A message between entry hosts. */
public sealed interface PeerMessage {

    /** Asks for all entries changed after a revision. */
    record Ask(long question, long sinceRevision) implements PeerMessage {}

    /**
     * Answers an {@link Ask}.
     *
     * @param question the number of the question
     * @param sinceRevision the revision that was asked for
     * @param entries the entries changed since
     * @param completeTo the revision up to which the answering host is complete
     * @param staleMillis for how long the answering host has had no confirmation of that, in milliseconds
     * @param crashCounts the requests that were running when targets crashed
     */
    record Tell(
            long question,
            long sinceRevision,
            List<StoredEntry> entries,
            long completeTo,
            long staleMillis,
            List<CrashCount> crashCounts)
            implements PeerMessage {}

    /** Sends an admitted request to the host that dispatches for its key. */
    record Forward(long request, ServiceRequest body, long remainingMillis) implements PeerMessage {}

    /** Returns the outcome of a forwarded request. */
    record ForwardOutcome(long request, Outcome outcome) implements PeerMessage {}

    /** Asks the holder of a customer's bucket in a pool for tokens. */
    record Borrow(long loan, ServiceName pool, CustomerName customer, int tokens) implements PeerMessage {}

    /**
     * Lends tokens.
     *
     * @param loan the number of the question
     * @param tokens the tokens lent, possibly fewer than asked for
     * @param retryAfterMillis when the next token comes, in milliseconds, or -1 when this host does not hold the bucket
     */
    record Lend(long loan, int tokens, long retryAfterMillis) implements PeerMessage {}

    /** Tells the assigner about a lane. */
    record Report(HostId dispatcher, LaneReport report) implements PeerMessage {}

    /** Asks a service's assigner or standby for a pledge. */
    record AskPledge(long question, ServiceName service, long tableRevision) implements PeerMessage {}

    /** Grants a pledge. */
    record Pledge(long question, ServiceName service, HostId by) implements PeerMessage {}

    /** Asks a host that may reach the store to renew a session. */
    record RelayRenewal(long question, long lease) implements PeerMessage {}

    /** Tells that the store renewed a session, or no longer has it. */
    record RelayedRenewal(long question, boolean renewed) implements PeerMessage {}

    /** Passes on an entry that the sender wrote or learned. */
    record Notice(List<StoredEntry> entries) implements PeerMessage {}
}
