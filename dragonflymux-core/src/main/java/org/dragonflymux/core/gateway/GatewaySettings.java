package org.dragonflymux.core.gateway;

import org.dragonflymux.core.name.FailureDomain;
import org.dragonflymux.core.name.HostId;

/**
 * The gateway's identity and limits.
 *
 * @param host the host
 * @param incarnation its incarnation
 * @param domain its failure domain
 * @param credentialRevocationMillis the time after which a revoked credential must no longer be accepted
 * @param retryRatio the share of a service's requests that may be retried
 * @param extraRetries additional retries of all hosts together per window
 * @param retryWindowMillis the length of the window
 */
public record GatewaySettings(
        HostId host,
        long incarnation,
        FailureDomain domain,
        long credentialRevocationMillis,
        double retryRatio,
        double extraRetries,
        long retryWindowMillis) {

    private static final double SAFETY_FACTOR = 0.76;

    /** Returns how long credentials are trusted without updates from the store. */
    public long maxStaleMillis() {
        return (long) (credentialRevocationMillis * SAFETY_FACTOR);
    }
}
