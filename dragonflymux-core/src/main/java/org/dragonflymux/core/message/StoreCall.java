package org.dragonflymux.core.message;

import java.time.Duration;
import java.util.Set;
import org.dragonflymux.core.document.DocumentKey;
import org.dragonflymux.core.document.HostRecord;
import org.dragonflymux.core.name.HostId;
import org.dragonflymux.core.name.ServiceName;

/** A call to the platform's store. */
public sealed interface StoreCall {

    /** Asks for a new lease. */
    record GrantLease(Duration ttl) implements StoreCall {}

    /** Renews a lease. */
    record RenewLease(long lease) implements StoreCall {}

    /** Gives a lease back, with the session bound to it. */
    record RevokeLease(long lease) implements StoreCall {}

    /** Writes a session record bound to a lease. */
    record PutSession(HostRecord record, long lease) implements StoreCall {}

    /** Reads the entries changed after a revision, and the number of sessions. */
    record Poll(long sinceRevision) implements StoreCall {}

    /** Lists all session keys. */
    record ListSessions() implements StoreCall {}

    /**
     * Writes a table if nothing it depends on has changed.
     *
     * @param service the service
     * @param key the table's key
     * @param expectedRevision the table's revision that the write replaces, 0 when there must be none
     * @param writer the host that writes, whose session must exist
     * @param absent hosts whose sessions must not exist
     * @param json the table
     */
    record WriteTable(
            ServiceName service, DocumentKey key, long expectedRevision, HostId writer, Set<HostId> absent, String json)
            implements StoreCall {}
}
