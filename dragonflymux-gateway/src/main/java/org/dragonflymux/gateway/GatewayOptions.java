package org.dragonflymux.gateway;

import java.net.InetSocketAddress;
import org.dragonflymux.core.caller.CallerLimits;
import org.dragonflymux.core.gateway.GatewaySettings;
import org.dragonflymux.core.membership.FleetMember;
import org.dragonflymux.core.shard.GrantSettings;

/**
 * Options of a gateway process.
 *
 * @param self this host's membership record
 * @param gateway settings for request handling
 * @param grants settings for granting shard keys to targets
 * @param callers the address on which callers connect
 * @param readiness the address of the readiness check
 * @param peers the address for reports and rate messages from other hosts
 * @param stopTimeoutMillis the maximum duration of a shutdown
 * @param firstStart whether the whole fleet starts for the first time, so that no caller waits yet
 * @param callerLimits limits on what all callers take together
 * @param monotonicStart the time on the monotonic clock at which the process started, in milliseconds
 */
public record GatewayOptions(
        FleetMember self,
        GatewaySettings gateway,
        GrantSettings grants,
        InetSocketAddress callers,
        InetSocketAddress readiness,
        InetSocketAddress peers,
        long stopTimeoutMillis,
        boolean firstStart,
        CallerLimits callerLimits,
        long monotonicStart) {}
