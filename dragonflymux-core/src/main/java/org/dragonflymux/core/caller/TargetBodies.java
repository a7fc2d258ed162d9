package org.dragonflymux.core.caller;

import java.util.HashMap;
import java.util.Map;

/** The bodies that were sent to each target and are not answered yet, and whether another one may follow. */
public final class TargetBodies {

    private final long maxBytes;
    private final Map<String, Long> bytesByTarget = new HashMap<>();
    private final Map<Long, Sent> sentByAttempt = new HashMap<>();

    private record Sent(String target, long bytes) {}

    private TargetBodies(long maxBytes) {
        this.maxBytes = maxBytes;
    }

    /** Creates an account without bodies; one target may hold so many bytes of them. */
    public static TargetBodies upTo(long maxBytes) {
        return new TargetBodies(maxBytes);
    }

    /**
     * Counts the body of an attempt if it is within the limit. Requests without a body always are, and so is a single body.
     *
     * @param maxBodyBytes the maximum size of one body; the limit is not below it
     * @return whether the attempt may be sent
     */
    public boolean started(long attempt, String target, long bytes, long maxBodyBytes) {
        if (bytes == 0) {
            return true;
        }
        long held = bytesByTarget.getOrDefault(target, 0L);
        if (held > 0 && held + bytes > Math.max(maxBytes, maxBodyBytes)) {
            return false;
        }
        bytesByTarget.put(target, held + bytes);
        sentByAttempt.put(attempt, new Sent(target, bytes));
        return true;
    }

    /** Ends an attempt, however it ended. */
    public void ended(long attempt) {
        Sent sent = sentByAttempt.remove(attempt);
        if (sent != null) {
            bytesByTarget.computeIfPresent(
                    sent.target(), (_, held) -> held > sent.bytes() ? held - sent.bytes() : null);
        }
    }

    /** Returns the bytes of bodies that a target has not answered. */
    public long heldBy(String target) {
        return bytesByTarget.getOrDefault(target, 0L);
    }
}
