package org.dragonflymux.gateway.http;

/**
 * Limits on the memory for responses that are being received. A target that sends without end reaches one of them.
 *
 * @param maxResponseBytes the maximum size of one response
 * @param maxTotalBytes the maximum size of all unfinished responses of a host together
 */
public record ResponseLimits(int maxResponseBytes, long maxTotalBytes) {

    private static final int HEAP_SHARE_DIVISOR = 4;

    /** Returns limits under which unfinished responses take at most a quarter of the memory that the JVM may use. */
    public static ResponseLimits ofHeap(int maxResponseBytes) {
        return new ResponseLimits(maxResponseBytes, Runtime.getRuntime().maxMemory() / HEAP_SHARE_DIVISOR);
    }
}
