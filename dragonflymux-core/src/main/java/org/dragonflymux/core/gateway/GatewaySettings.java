package org.dragonflymux.core.gateway;

import org.dragonflymux.core.name.FailureDomain;
import org.dragonflymux.core.name.HostId;

/**
 * What the gateway has to know of its host and of the promises that it keeps.
 *
 * @param host the host
 * @param incarnation its life
 * @param domain its failure domain
 * @param credentialRevocationMillis how soon after its withdrawal a credential must not work any more
 * @param retryRatio which share of a service's requests may be sent once more
 * @param extraRetries how many more, by all hosts in one window
 * @param retryWindowMillis the window
 */
public record GatewaySettings(
        HostId host,
        long incarnation,
        FailureDomain domain,
        long credentialRevocationMillis,
        double retryRatio,
        double extraRetries,
        long retryWindowMillis) {

    private static final double SAFE_SHARE = 0.76;

    /** Returns for how long credentials hold without news from the store. */
    public long maxStaleMillis() {
        return (long) (credentialRevocationMillis * SAFE_SHARE);
    }
}
