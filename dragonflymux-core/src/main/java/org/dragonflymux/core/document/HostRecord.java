package org.dragonflymux.core.document;

import com.fasterxml.jackson.annotation.JsonIgnore;
import org.dragonflymux.core.name.FailureDomain;
import org.dragonflymux.core.name.HostId;

/**
 * A live entry host. The store deletes the record when the host's lease expires.
 *
 * @param domain the failure domain of the host
 * @param peerAddress the address at which the host listens for other entry hosts
 * @param incarnation a number that differs between any two runs of the same host
 * @param leaving whether the host is shutting down
 */
public record HostRecord(HostId host, FailureDomain domain, String peerAddress, long incarnation, boolean leaving)
        implements Document {

    @Override
    @JsonIgnore
    public DocumentKey key() {
        return DocumentKey.session(host);
    }

    /** Returns a copy of this record that is marked as shutting down. */
    public HostRecord asLeaving() {
        return new HostRecord(host, domain, peerAddress, incarnation, true);
    }
}
