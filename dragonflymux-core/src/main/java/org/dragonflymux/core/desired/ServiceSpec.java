package org.dragonflymux.core.desired;

import org.dragonflymux.core.name.ServiceName;

/**
 * A service and what its targets bear.
 *
 * @param name the service
 * @param healthPath the path of the targets' health check
 * @param maxConnections how many connections a target accepts from all hosts together
 * @param coldMillis for how long a target is cold after its start
 * @param coldPerSecond how many requests a second a cold target bears from all hosts together
 * @param sharded whether each request has a key that one target owns
 */
public record ServiceSpec(
        ServiceName name,
        String healthPath,
        int maxConnections,
        long coldMillis,
        double coldPerSecond,
        boolean sharded) {}
