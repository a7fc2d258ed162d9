package org.dragonflymux.core.document;

import com.fasterxml.jackson.annotation.JsonIgnore;
import org.dragonflymux.core.name.FailureDomain;
import org.dragonflymux.core.name.HostId;

/**
 * A live entry host; the store drops the record when the host's lease lapses.
 *
 * @param host the entry host
 * @param domain its failure domain
 * @param peerAddress where it listens for other entry hosts
 * @param incarnation a number that differs between two runs of the same host
 * @param leaving whether the host is shutting down
 */
public record HostRecord(HostId host, FailureDomain domain, String peerAddress, long incarnation, boolean leaving)
        implements Document {

    @Override
    @JsonIgnore
    public DocumentKey key() {
        return DocumentKey.session(host);
    }

    /** Returns this record, marked as shutting down. */
    public HostRecord asLeaving() {
        return new HostRecord(host, domain, peerAddress, incarnation, true);
    }
}
