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
 * @param drainMillis for how long a target that is leaving may still get requests
 * @param retryRatio the share of a service's requests that may be retried
 * @param extraRetries additional retries of all hosts together per window
 * @param retryWindowMillis the length of the window
 * @param crossDomainMillisPerKibibyte the latency that a caller must gain for each KiB sent to another failure domain
 */
public record GatewaySettings(
        HostId host,
        long incarnation,
        FailureDomain domain,
        long credentialRevocationMillis,
        long drainMillis,
        double retryRatio,
        double extraRetries,
        long retryWindowMillis,
        double crossDomainMillisPerKibibyte) {

    /** The default price of traffic between failure domains, in milliseconds of a caller's latency for each KiB. */
    public static final double DEFAULT_CROSS_DOMAIN_MILLIS_PER_KIBIBYTE = 2;

    private static final double SAFETY_FACTOR = 0.76;
    /** Leaves time for requests that are on their way to a leaving target when its grace ends. */
    private static final double LEAVING_GRACE_SHARE = 0.5;

    /** Creates settings with the default price of traffic between failure domains. */
    public GatewaySettings(
            HostId host,
            long incarnation,
            FailureDomain domain,
            long credentialRevocationMillis,
            long drainMillis,
            double retryRatio,
            double extraRetries,
            long retryWindowMillis) {
        this(
                host,
                incarnation,
                domain,
                credentialRevocationMillis,
                drainMillis,
                retryRatio,
                extraRetries,
                retryWindowMillis,
                DEFAULT_CROSS_DOMAIN_MILLIS_PER_KIBIBYTE);
    }

    /** Returns how long credentials are trusted without updates from the store. */
    public long maxStaleMillis() {
        return (long) (credentialRevocationMillis * SAFETY_FACTOR);
    }

    /** Returns how long the owner of a key gets requests after it announced that it is leaving. */
    long leavingGraceMillis() {
        return (long) (drainMillis * LEAVING_GRACE_SHARE);
    }
}
