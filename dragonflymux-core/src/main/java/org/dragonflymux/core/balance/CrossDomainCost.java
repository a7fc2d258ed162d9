package org.dragonflymux.core.balance;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.stream.Collectors;
import org.dragonflymux.core.desired.Route;

/**
 * What it costs to send a request to another failure domain, as latency that a caller must gain by it. Traffic between
 * failure domains is slower and has a price per byte, so the cost grows with the bytes that requests of a route and their
 * answers have had.
 */
public final class CrossDomainCost {

    /** The longer way there and back, and what a connection to another domain costs. */
    private static final double FIXED_MILLIS = 6;
    /** The size assumed for large answers until some were measured. */
    private static final double DEFAULT_LARGE_BYTES = 60 * 1024.0;

    /** The weight of the latest size; higher for the first ones, so that they count alike. */
    private static final double SIZE_SMOOTHING = 0.1;

    private static final double BYTES_PER_KIBIBYTE = 1024;

    private final double millisPerKibibyte;
    private final Map<RouteKey, MeanSize> sizes = new HashMap<>();

    /** What stays the same when operators change other properties of a route. */
    private record RouteKey(String name, String pathPrefix) {

        static RouteKey of(Route route) {
            return new RouteKey(route.name(), route.pathPrefix());
        }
    }

    private record MeanSize(double bytes, int samples) {

        MeanSize with(long latest) {
            double weight = Math.max(SIZE_SMOOTHING, 1.0 / (samples + 1));
            return new MeanSize(bytes + weight * (latest - bytes), samples + 1);
        }
    }

    private CrossDomainCost(double millisPerKibibyte) {
        this.millisPerKibibyte = millisPerKibibyte;
    }

    /**
     * Creates the cost of routes of which nothing has been measured.
     *
     * @param millisPerKibibyte the latency, in milliseconds, that a caller must gain for each KiB between failure domains
     */
    public static CrossDomainCost of(double millisPerKibibyte) {
        return new CrossDomainCost(millisPerKibibyte);
    }

    /** Records the bytes of a request's body and of the body of its successful answer. */
    public void recordTransfer(Route route, long bytes) {
        sizes.put(RouteKey.of(route), size(route).with(bytes));
    }

    /** Drops what was measured for routes that no longer exist. */
    public void retainRoutes(Collection<Route> routes) {
        sizes.keySet().retainAll(routes.stream().map(RouteKey::of).collect(Collectors.toSet()));
    }

    private MeanSize size(Route route) {
        MeanSize assumed = route.largeAnswers() ? new MeanSize(DEFAULT_LARGE_BYTES, 1) : new MeanSize(0, 0);
        return sizes.getOrDefault(RouteKey.of(route), assumed);
    }

    /** Returns the latency that a request of the route must gain by leaving its failure domain, in milliseconds. */
    public double millis(Route route) {
        return FIXED_MILLIS + size(route).bytes() / BYTES_PER_KIBIBYTE * millisPerKibibyte;
    }
}
