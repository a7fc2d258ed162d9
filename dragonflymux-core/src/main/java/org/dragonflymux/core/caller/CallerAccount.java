package org.dragonflymux.core.caller;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.dragonflymux.core.caller.CallerUsage.Phase;
import org.dragonflymux.core.desired.RequestLimits;

/**
 * The memory and connections that callers of a host take, and what is done when they become scarce.
 *
 * <p>Above the level for large connections, these are no longer read; if that lasts, those that hold the most for the longest
 * are closed. What lies between that level and the limit is left to small connections. Above the limit, connections are closed
 * at once. A connection with complete requests is not closed for memory, as they may be running; it only gives up its
 * unfinished request.
 */
public final class CallerAccount {

    /** A connection that takes at most this much is small. Ordinary requests without a large body are below it. */
    public static final long SMALL_BYTES = 65_536;

    /** How long large connections are not read before some of them are closed; uploads that end sooner free the memory. */
    private static final long MAX_PAUSE_MILLIS = 500;
    /** Counted in addition to the age of what a connection holds, so that the size counts for new ones as well. */
    private static final long BASE_AGE_MILLIS = 100;
    /**
     * After a longer gap between ticks, timeouts are not enforced until the next one, as what callers sent in the meantime
     * may be unread.
     */
    private static final long MAX_TICK_GAP_MILLIS = 2_500;

    /** This part of the open requests is left to connections that have none. */
    private static final int FIRST_REQUESTS_DIVISOR = 4;

    private static final long NEVER = -1;

    private final CallerLimits limits;
    private final Map<Long, Entry> entries = new HashMap<>();
    private long totalBytes;
    private long overSince = NEVER;
    private long lastTickAt = NEVER;
    private int openRequests;
    private int paused;

    private static final class Entry {
        private final long id;
        private CallerUsage usage;
        private boolean paused;
        private boolean closing;

        private Entry(long id, CallerUsage usage) {
            this.id = id;
            this.usage = usage;
        }

        /** Returns whether not reading the connection limits what it takes. */
        private boolean receivesMuch() {
            return usage.unfinishedBytes() > SMALL_BYTES;
        }

        private boolean holdsMuch() {
            return usage.reclaimableBytes() > SMALL_BYTES;
        }

        private double score(long now) {
            return (double) usage.reclaimableBytes() * (Math.max(0, now - usage.heldSince()) + BASE_AGE_MILLIS);
        }
    }

    private CallerAccount(CallerLimits limits) {
        this.limits = limits;
    }

    /** Creates an account without connections. */
    public static CallerAccount of(CallerLimits limits) {
        return new CallerAccount(limits);
    }

    /** Returns the limits. */
    public CallerLimits limits() {
        return limits;
    }

    /** Returns the memory that all connections take. */
    public long totalBytes() {
        return totalBytes;
    }

    /** Returns the number of open connections. */
    public int connections() {
        return entries.size();
    }

    /**
     * Returns whether the host may take another request. The last quarter of the limit is left to connections without one, so
     * that callers that send requests ahead don't exclude others.
     *
     * @param connection the connection that it arrived on
     * @param openOnConnection earlier requests without a response on this connection
     */
    public boolean acceptsRequest(long connection, int openOnConnection) {
        Entry entry = entries.get(connection);
        int open = openRequests - (entry == null ? 0 : entry.usage.openRequests()) + openOnConnection;
        int limit = limits.openRequests();
        return open < (openOnConnection > 0 ? limit - limit / FIRST_REQUESTS_DIVISOR : limit);
    }

    /** Handles a new connection. Beyond the limit, the one that has waited the longest for its caller is closed. */
    public List<CallerAction> opened(long connection, long now) {
        entries.put(connection, new Entry(connection, CallerUsage.accepted(now)));
        totalBytes += CallerLimits.CONNECTION_BYTES;
        List<CallerAction> actions = new ArrayList<>();
        if (entries.size() > limits.connections()) {
            Entry victim = entries.values().stream()
                    .filter(entry -> !entry.closing && entry.id != connection && entry.usage.openRequests() == 0)
                    .min(Comparator.<Entry, Boolean>comparing(entry -> entry.usage.unreadBytes() > 0)
                            .thenComparingLong(entry -> entry.usage.heldSince())
                            .thenComparingLong(entry -> entry.id))
                    .orElse(entries.get(connection));
            close(victim, CloseReason.CONNECTIONS, actions);
        }
        return actions;
    }

    /** Handles a change of what a connection takes. */
    public List<CallerAction> used(long connection, CallerUsage usage, RequestLimits requestLimits, long now) {
        Entry entry = entries.get(connection);
        if (entry == null) {
            return List.of();
        }
        totalBytes += usage.totalBytes() - entry.usage.totalBytes();
        openRequests += usage.openRequests() - entry.usage.openRequests();
        entry.usage = usage;
        if (totalBytes <= largeLevel(requestLimits) && overSince == NEVER) {
            return List.of();
        }
        List<CallerAction> actions = new ArrayList<>();
        if (!entry.receivesMuch()) {
            resume(entry, actions);
        } else if (overSince != NEVER && totalBytes > largeLevel(requestLimits)) {
            pause(entry, actions);
        }
        relieve(requestLimits, now, actions);
        return actions;
    }

    /** Handles the end of a connection. */
    public List<CallerAction> closed(long connection, RequestLimits requestLimits, long now) {
        Entry entry = entries.remove(connection);
        if (entry == null) {
            return List.of();
        }
        totalBytes -= entry.usage.totalBytes() + CallerLimits.CONNECTION_BYTES;
        openRequests -= entry.usage.openRequests();
        if (entry.paused) {
            paused--;
        }
        List<CallerAction> actions = new ArrayList<>();
        relieve(requestLimits, now, actions);
        return actions;
    }

    /** Ends connections that exceed a timeout, and large ones if memory has been short for a while. */
    public List<CallerAction> tick(RequestLimits requestLimits, long now) {
        boolean onTime = lastTickAt != NEVER && now - lastTickAt <= MAX_TICK_GAP_MILLIS;
        lastTickAt = now;
        List<CallerAction> actions = new ArrayList<>();
        if (onTime) {
            for (Entry entry : entries.values()) {
                enforceTimeouts(entry, requestLimits, now, actions);
            }
        }
        relieve(requestLimits, now, actions);
        return actions;
    }

    private void enforceTimeouts(Entry entry, RequestLimits requestLimits, long now, List<CallerAction> actions) {
        CallerUsage usage = entry.usage;
        if (usage.unreadBytes() > 0 && now - usage.lastWriteAt() > requestLimits.idleTimeoutMillis()) {
            close(entry, CloseReason.UNREAD_RESPONSES, actions);
        } else if (entry.closing) {
            return;
        } else if (usage.reading()
                && usage.phase() == Phase.HEADER
                && now - usage.phaseSince() > requestLimits.headerTimeoutMillis()) {
            close(entry, CloseReason.HEADER_TIMEOUT, actions);
        } else if (usage.reading()
                && usage.phase() == Phase.BODY
                && now - Math.max(usage.lastReadAt(), usage.phaseSince()) > requestLimits.idleTimeoutMillis()) {
            close(entry, CloseReason.BODY_TIMEOUT, actions);
        }
    }

    /**
     * Returns the level above which large connections are not read. It leaves a quarter of the limit to small ones, or less if
     * one request of the maximum size needs it.
     */
    long largeLevel(RequestLimits requestLimits) {
        long oneRequest = requestLimits.maxBodyBytes() + 2 * SMALL_BYTES;
        long most = limits.memoryBytes() / 16 * 15;
        return Math.min(most, Math.max(limits.memoryBytes() / 4 * 3, oneRequest));
    }

    private void relieve(RequestLimits requestLimits, long now, List<CallerAction> actions) {
        long level = largeLevel(requestLimits);
        // At the limit, unfinished requests give way even if that does not suffice, as memory would run out.
        closeUntil(limits.memoryBytes(), _ -> true, now, actions);
        if (totalBytes > level && overSince == NEVER) {
            overSince = now;
            entries.values().stream().filter(Entry::receivesMuch).forEach(entry -> pause(entry, actions));
        }
        long resumesAt = resumeLevel(level);
        if (overSince != NEVER && now - overSince >= MAX_PAUSE_MILLIS) {
            overSince = now;
            if (totalBytes - reclaimable(Entry::holdsMuch) <= level) {
                closeUntil(resumeLevel(level), Entry::holdsMuch, now, actions);
            }
            // What is left above this is held by requests that may be running; it does not keep others from being read.
            resumesAt = level;
        }
        if (totalBytes <= resumesAt) {
            overSince = NEVER;
            resumeAll(actions);
        }
    }

    /** Returns the level at which large connections are read again; lower than the one at which reading stops. */
    private static long resumeLevel(long level) {
        return level / 8 * 7;
    }

    private long reclaimable(Predicate<Entry> eligible) {
        return entries.values().stream()
                .filter(entry -> !entry.closing && eligible.test(entry))
                .mapToLong(entry -> entry.usage.reclaimableBytes())
                .sum();
    }

    private void closeUntil(long level, Predicate<Entry> eligible, long now, List<CallerAction> actions) {
        while (totalBytes > level) {
            Entry victim = entries.values().stream()
                    .filter(entry -> !entry.closing && entry.usage.reclaimableBytes() > 0 && eligible.test(entry))
                    .max(Comparator.<Entry>comparingDouble(entry -> entry.score(now))
                            .thenComparingLong(entry -> entry.id))
                    .orElse(null);
            if (victim == null) {
                return;
            }
            close(victim, CloseReason.MEMORY, actions);
        }
    }

    private void close(Entry entry, CloseReason reason, List<CallerAction> actions) {
        // Earlier requests count until they are answered or the connection has ended.
        totalBytes -= entry.usage.reclaimableBytes();
        entry.usage = entry.usage.withoutReclaimable();
        // A connection that only gave up its unfinished request may be closed later for responses that are not read.
        entry.closing = reason != CloseReason.MEMORY || entry.usage.openRequests() == 0;
        if (entry.paused) {
            entry.paused = false;
            paused--;
        }
        actions.add(new CallerAction.Close(entry.id, reason));
    }

    private void pause(Entry entry, List<CallerAction> actions) {
        if (!entry.paused && !entry.closing) {
            entry.paused = true;
            paused++;
            actions.add(new CallerAction.Pause(entry.id));
        }
    }

    private void resume(Entry entry, List<CallerAction> actions) {
        if (entry.paused) {
            entry.paused = false;
            paused--;
            actions.add(new CallerAction.Resume(entry.id));
        }
    }

    private void resumeAll(List<CallerAction> actions) {
        if (paused == 0) {
            return;
        }
        for (Entry entry : entries.values()) {
            if (entry.paused) {
                entry.paused = false;
                actions.add(new CallerAction.Resume(entry.id));
            }
        }
        paused = 0;
    }
}
