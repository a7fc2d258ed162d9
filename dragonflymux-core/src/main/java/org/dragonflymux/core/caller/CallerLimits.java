package org.dragonflymux.core.caller;

/**
 * Limits on what all callers of a host take together.
 *
 * @param memoryBytes memory for unfinished, queued and unread messages
 * @param connections open connections
 * @param openRequests complete requests without a response; each may need a connection to a target
 * @param targetBodyBytes bodies that were sent to one target and are not answered yet
 */
public record CallerLimits(long memoryBytes, int connections, int openRequests, long targetBodyBytes) {

    /** Memory that a connection takes without any request: the socket, its buffers' objects and its handlers. */
    public static final long CONNECTION_BYTES = 6_144;

    /** Descriptors for class files, logs and what the virtual machine opens. */
    private static final long FILE_DESCRIPTORS = 200;
    /** Descriptors for the store, other hosts, the listening sockets and the readiness address. */
    private static final long SYSTEM_DESCRIPTORS = 160;
    /** The smallest share of the descriptors that is left for files and for the system. */
    private static final int MIN_RESERVE_DIVISOR = 2;

    private static final int MIN_CONNECTIONS = 16;
    /** Idle connections take at most this part of the memory for callers. */
    private static final int CONNECTION_MEMORY_DIVISOR = 4;
    /** Callers take at most three quarters of the memory; the rest is for responses that targets are sending. */
    private static final long MEMORY_NUMERATOR = 3;

    private static final long MEMORY_DENOMINATOR = 4;
    /** At least four targets can be sent bodies at the same time. */
    private static final int TARGET_DIVISOR = 4;

    /**
     * Derives the limits from what the process has.
     *
     * @param memoryBytes the smaller of the heap and the memory for direct buffers
     * @param descriptors the number of descriptors that the process may open
     */
    public static CallerLimits of(long memoryBytes, long descriptors) {
        long memory = memoryBytes / MEMORY_DENOMINATOR * MEMORY_NUMERATOR;
        long reserve = Math.min(FILE_DESCRIPTORS + SYSTEM_DESCRIPTORS, descriptors / MIN_RESERVE_DIVISOR);
        // Half of the remaining descriptors are for callers, the other half for the targets that work for them.
        long connections = Math.min((descriptors - reserve) / 2, memory / CONNECTION_MEMORY_DIVISOR / CONNECTION_BYTES);
        int bounded = Math.clamp(connections, MIN_CONNECTIONS, Integer.MAX_VALUE);
        return new CallerLimits(memory, bounded, bounded, memory / TARGET_DIVISOR);
    }

    /**
     * Returns these limits with some replaced; 0 keeps the derived value.
     *
     * @param newMemoryBytes replaces {@link #memoryBytes}
     * @param newConnections replaces {@link #connections} and {@link #openRequests}
     * @param newTargetBodyBytes replaces {@link #targetBodyBytes}
     */
    public CallerLimits with(long newMemoryBytes, int newConnections, long newTargetBodyBytes) {
        return new CallerLimits(
                newMemoryBytes > 0 ? newMemoryBytes : memoryBytes,
                newConnections > 0 ? newConnections : connections,
                newConnections > 0 ? newConnections : openRequests,
                newTargetBodyBytes > 0 ? newTargetBodyBytes : targetBodyBytes);
    }
}
