package org.dragonflymux.core.membership;

import org.dragonflymux.core.name.FailureDomain;
import org.dragonflymux.core.name.HostId;

/**
 * One incarnation of a host, as registered in the store.
 *
 * @param host the host
 * @param incarnation the time at which the host process started; a later time denotes a newer incarnation of the host
 * @param domain its failure domain
 * @param peerAddress the IP address and port on which it receives reports of other hosts
 */
public record FleetMember(HostId host, long incarnation, FailureDomain domain, String peerAddress) {

    public boolean sameIncarnation(FleetMember other) {
        return host.equals(other.host) && incarnation == other.incarnation;
    }
}
