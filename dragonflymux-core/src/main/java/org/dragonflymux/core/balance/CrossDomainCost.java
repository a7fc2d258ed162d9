package org.dragonflymux.core.balance;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
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

    private static final double SIZE_SMOOTHING = 0.1;
    private static final double BYTES_PER_KIBIBYTE = 1024;

    private final double millisPerKibibyte;
    private final Map<Route, Double> meanBytes = new HashMap<>();

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

    /** Records the bytes of a request's body and of its answer's body. */
    public void recordTransfer(Route route, long bytes) {
        meanBytes.merge(route, (double) bytes, (before, latest) -> before + SIZE_SMOOTHING * (latest - before));
    }

    /** Drops what was measured for routes that no longer exist. */
    public void retainRoutes(Set<Route> routes) {
        meanBytes.keySet().retainAll(routes);
    }

    /** Returns the latency that a request of the route must gain by leaving its failure domain, in milliseconds. */
    public double millis(Route route) {
        double bytes = meanBytes.getOrDefault(route, route.largeAnswers() ? DEFAULT_LARGE_BYTES : 0);
        return FIXED_MILLIS + bytes / BYTES_PER_KIBIBYTE * millisPerKibibyte;
    }
}
