package org.dragonflymux.core.desired;

import java.util.List;

/**
 * Requests of one host name whose path begins with a prefix, and how they are to be treated.
 *
 * @param name the operators' name of the route
 * @param pathPrefix begins and ends with a slash
 * @param repeatable whether a request may run more than once
 * @param largeAnswers whether answers are large, so that traffic between failure domains matters
 * @param timeoutMillis the longest time that a caller is kept waiting
 * @param objectiveMillis the latency objective
 * @param priority the rank, 0 is the most urgent
 * @param services where requests may go, in proportion to the weights
 * @param maxAttempts the most targets to which one request may be sent
 * @param open whether requests need no credential
 */
public record Route(
        String name,
        String pathPrefix,
        boolean repeatable,
        boolean largeAnswers,
        long timeoutMillis,
        long objectiveMillis,
        int priority,
        List<WeightedService> services,
        int maxAttempts,
        boolean open) {

    /** Creates a route whose services can't be changed afterwards. */
    public Route {
        services = List.copyOf(services);
    }
}
