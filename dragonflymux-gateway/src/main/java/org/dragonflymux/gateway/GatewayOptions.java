package org.dragonflymux.gateway;

import java.net.InetSocketAddress;
import org.dragonflymux.core.gateway.GatewaySettings;
import org.dragonflymux.core.membership.FleetMember;
import org.dragonflymux.core.shard.GrantSettings;

/**
 * What a gateway process has to know at its start.
 *
 * @param self the host's record
 * @param gateway settings of the decisions about requests
 * @param grants settings of the decisions about keys
 * @param callers where callers connect
 * @param readiness where readiness is asked for
 * @param peers where other hosts' reports arrive
 * @param stopMillis how long a stop may take
 * @param monotonicStart the monotonic clock when the process began, in milliseconds
 */
public record GatewayOptions(
        FleetMember self,
        GatewaySettings gateway,
        GrantSettings grants,
        InetSocketAddress callers,
        InetSocketAddress readiness,
        InetSocketAddress peers,
        long stopMillis,
        long monotonicStart) {}
