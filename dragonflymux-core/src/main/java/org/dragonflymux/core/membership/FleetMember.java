package org.dragonflymux.core.membership;

import org.dragonflymux.core.name.FailureDomain;
import org.dragonflymux.core.name.HostId;

/**
 * One life of a host, as it is registered in the store.
 *
 * @param host the host
 * @param incarnation the time of its start; a later one under the same name is another life
 * @param domain its failure domain
 * @param peerAddress where it takes reports of other hosts, an IP number with a port
 */
public record FleetMember(HostId host, long incarnation, FailureDomain domain, String peerAddress) {

    /** Returns whether both are the same life of the same host. */
    public boolean sameIncarnation(FleetMember other) {
        return host.equals(other.host) && incarnation == other.incarnation;
    }
}
