package org.dragonflymux.core.desired;

import org.dragonflymux.core.name.ServiceName;

/**
 * The share of a route's requests that goes to a service.
 *
 * @param service the service
 * @param weight the share, relative to the route's other weights
 */
public record WeightedService(ServiceName service, double weight) {}
