package org.dragonflymux.core.session;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import org.dragonflymux.core.message.Effect;
import org.dragonflymux.core.message.IdSequence;
import org.dragonflymux.core.message.Observation;
import org.dragonflymux.core.message.Outbox;
import org.dragonflymux.core.message.StoreCall;
import org.dragonflymux.core.message.StoreReply;

/** Sends calls to the store and passes each reply to the handler of its call. */
public final class StoreCallTracker {

    /** The time since the last reply within which the store counts as reachable. */
    public static final Duration REACHABILITY_WINDOW = Duration.ofMillis(1000);

    /** Handles the reply to one call. */
    @FunctionalInterface
    public interface ReplyHandler {

        /**
         * Handles a reply.
         *
         * @param requestedAt when the call was made
         */
        void replied(StoreReply reply, Instant requestedAt, Instant now);
    }

    private record PendingCall(Instant requestedAt, ReplyHandler handler) {}

    private final IdSequence ids;
    private final Outbox outbox;
    private final Map<Long, PendingCall> pending = new HashMap<>();
    private Instant lastReplyAt = Instant.MIN;
    private boolean reachable;

    private StoreCallTracker(IdSequence ids, Outbox outbox) {
        this.ids = ids;
        this.outbox = outbox;
    }

    /** Returns a tracker without pending calls. */
    public static StoreCallTracker of(IdSequence ids, Outbox outbox) {
        return new StoreCallTracker(ids, outbox);
    }

    /**
     * Calls the store.
     *
     * @return the id of the call
     */
    public long call(StoreCall body, Instant now, ReplyHandler handler) {
        long call = ids.next();
        pending.put(call, new PendingCall(now, handler));
        outbox.add(new Effect.CallStore(call, body));
        return call;
    }

    /** Passes a reply to the handler of its call; further replies to the same call are ignored. */
    public void replied(long call, StoreReply reply, Instant now) {
        PendingCall answered = pending.remove(call);
        if (answered == null) {
            return;
        }
        if (!(reply instanceof StoreReply.Unavailable)) {
            lastReplyAt = now;
        }
        observeReachability(now);
        answered.handler().replied(reply, answered.requestedAt(), now);
    }

    private void observeReachability(Instant now) {
        if (reachable != reachable(now)) {
            reachable = !reachable;
            outbox.note(new Observation.StoreReachable(reachable));
        }
    }

    /** Returns whether the store replied within {@link #REACHABILITY_WINDOW}. */
    public boolean reachable(Instant now) {
        return !lastReplyAt.equals(Instant.MIN) && now.isBefore(lastReplyAt.plus(REACHABILITY_WINDOW));
    }
}
