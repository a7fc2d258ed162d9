package org.dragonflymux.core.desired;

import java.util.List;

/**
 * How requests for one host name and path prefix are handled.
 *
 * @param name the name given by operators
 * @param pathPrefix begins and ends with a slash
 * @param repeatable whether a request may run more than once
 * @param largeAnswers whether answers are large, which makes traffic between failure domains expensive
 * @param timeoutMillis maximum time until the caller gets an answer
 * @param objectiveMillis the latency objective
 * @param priority 0 is the most urgent
 * @param services the services that share the requests in proportion to their weights
 * @param maxAttempts maximum number of attempts per request
 * @param open whether requests are accepted without a credential
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

    /** Creates an immutable route. */
    public Route {
        services = List.copyOf(services);
    }
}
