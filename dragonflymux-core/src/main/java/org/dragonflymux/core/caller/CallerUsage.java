package org.dragonflymux.core.caller;

/**
 * What one caller's connection currently takes.
 *
 * @param phase the part of a request that is being received
 * @param phaseSince when this part began, or when reading was last resumed if that is later
 * @param lastReadAt when bytes last arrived
 * @param lastWriteAt when the caller last took bytes of a response, or was first offered them
 * @param unfinishedBytes memory for the request that is being received, and for bytes that are not decoded yet
 * @param queuedBytes memory for complete requests without a response, and for responses that wait behind these
 * @param unreadBytes memory for responses that were written and that the caller has not taken yet
 * @param openRequests complete requests without a response
 * @param reading whether bytes that arrive are read
 */
public record CallerUsage(
        Phase phase,
        long phaseSince,
        long lastReadAt,
        long lastWriteAt,
        long unfinishedBytes,
        long queuedBytes,
        long unreadBytes,
        int openRequests,
        boolean reading) {

    /** The part of a request that is being received. */
    public enum Phase {
        /** No request has been begun. */
        IDLE,
        /** A header section. */
        HEADER,
        /** A body. */
        BODY
    }

    /** Returns the usage of a connection that was just accepted. */
    public static CallerUsage accepted(long now) {
        return new CallerUsage(Phase.IDLE, now, now, now, 0, 0, 0, 0, true);
    }

    /** Returns all memory that the connection takes for requests and responses. */
    public long totalBytes() {
        return unfinishedBytes + queuedBytes + unreadBytes;
    }

    /**
     * Returns the memory that becomes free without ending a request that may be running. Unread responses can only be dropped
     * by closing the connection, so they don't count while a request is open.
     */
    public long reclaimableBytes() {
        return openRequests > 0 ? unfinishedBytes : unfinishedBytes + unreadBytes;
    }

    /** Returns what is left after the reclaimable memory was freed. */
    CallerUsage withoutReclaimable() {
        long unread = openRequests > 0 ? unreadBytes : 0;
        return new CallerUsage(
                phase, phaseSince, lastReadAt, lastWriteAt, 0, queuedBytes, unread, openRequests, reading);
    }

    /** Returns since when the caller has kept others from using what it takes. A caller that reads its responses is not idle. */
    public long heldSince() {
        if (unreadBytes > 0) {
            return lastWriteAt;
        }
        return phase == Phase.IDLE ? Math.min(lastReadAt, lastWriteAt) : phaseSince;
    }
}
