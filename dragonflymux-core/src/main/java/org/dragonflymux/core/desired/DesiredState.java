package org.dragonflymux.core.desired;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;
import org.dragonflymux.core.name.ServiceName;

/**
 * One version of the configuration that operators have set.
 *
 * @param version increases with each change
 * @param routesByHost routes by host name, the longest prefix first
 * @param services services by name
 * @param customersByCredential customers by their credentials
 * @param credentialsRequired whether routes that aren't open need a credential
 * @param limits size and time limits of callers' requests
 */
public record DesiredState(
        long version,
        Map<String, List<Route>> routesByHost,
        Map<ServiceName, ServiceSpec> services,
        Map<String, CustomerSpec> customersByCredential,
        boolean credentialsRequired,
        RequestLimits limits) {

    private static final Comparator<Route> LONGEST_PREFIX_FIRST = Comparator.comparingInt(
                    (Route route) -> route.pathPrefix().length())
            .reversed();

    /** Creates an immutable state. */
    public DesiredState {
        routesByHost = routesByHost.entrySet().stream()
                .collect(Collectors.toUnmodifiableMap(Map.Entry::getKey, entry -> sorted(entry.getValue())));
        services = Map.copyOf(services);
        customersByCredential = Map.copyOf(customersByCredential);
    }

    private static List<Route> sorted(List<Route> routes) {
        return routes.stream().sorted(LONGEST_PREFIX_FIRST).toList();
    }

    /**
     * Returns the route of a request: the matching one with the longest path prefix among those of its host name.
     *
     * @param host the host name without a port
     * @param path the path without a query
     */
    public Optional<Route> route(String host, String path) {
        for (Route route : routesByHost.getOrDefault(host, List.of())) {
            if (path.startsWith(route.pathPrefix())) {
                return Optional.of(route);
            }
        }
        return Optional.empty();
    }

    /** Returns the customer that holds a credential. */
    public Optional<CustomerSpec> customer(String credential) {
        return Optional.ofNullable(customersByCredential.get(credential));
    }
}
