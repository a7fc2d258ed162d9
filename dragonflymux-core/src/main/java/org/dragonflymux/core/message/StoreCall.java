package org.dragonflymux.core.message;

import java.time.Duration;
import java.util.Set;
import org.dragonflymux.core.document.DocumentKey;
import org.dragonflymux.core.document.HostRecord;
import org.dragonflymux.core.name.HostId;
import org.dragonflymux.core.name.ServiceName;

/** A call to the platform's store. */
public sealed interface StoreCall {

    /** Requests a new lease. */
    record GrantLease(Duration ttl) implements StoreCall {}

    record RenewLease(long lease) implements StoreCall {}

    /** Revokes a lease and deletes the session bound to it. */
    record RevokeLease(long lease) implements StoreCall {}

    /** Writes a session record that the store deletes when the lease expires. */
    record PutSession(HostRecord record, long lease) implements StoreCall {}

    /** Reads the entries changed after a revision, and the current number of sessions. */
    record Poll(long sinceRevision) implements StoreCall {}

    record ListSessions() implements StoreCall {}

    /**
     * Writes an assignment table in a transaction that fails if a condition does not hold.
     *
     * @param expectedRevision the required current revision of the table, 0 if the table must not exist
     * @param writer the host that writes the table, whose session must exist
     * @param absent hosts whose sessions must not exist
     * @param json the table as JSON
     */
    record WriteTable(
            ServiceName service, DocumentKey key, long expectedRevision, HostId writer, Set<HostId> absent, String json)
            implements StoreCall {}
}
