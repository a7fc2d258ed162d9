package org.dragonflymux.core.desired;

import org.dragonflymux.core.name.ServiceName;

/**
 * A service and the capacity limits of its targets.
 *
 * @param name the service
 * @param healthPath the path of the targets' health check
 * @param maxConnections maximum number of connections to a target from all hosts together
 * @param coldMillis for how long a target is cold after its start
 * @param coldPerSecond maximum rate of requests to a cold target, per second, from all hosts together
 * @param sharded whether each request has a shard key that is owned by one target
 */
public record ServiceSpec(
        ServiceName name,
        String healthPath,
        int maxConnections,
        long coldMillis,
        double coldPerSecond,
        boolean sharded) {}
