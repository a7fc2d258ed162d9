package org.dragonflymux.core.desired;

import org.dragonflymux.core.name.ServiceName;

/**
 * A service's part of a route's requests.
 *
 * @param service the service
 * @param weight the part, relative to the weights beside it
 */
public record WeightedService(ServiceName service, double weight) {}
