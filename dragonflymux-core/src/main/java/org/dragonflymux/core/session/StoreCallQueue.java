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

/** Sends calls to the store and hands each reply to whoever asked. */
public final class StoreCallQueue {

    /** For how long a last answer shows that the store can be reached. */
    public static final Duration REACHABILITY_WINDOW = Duration.ofMillis(1000);

    /** Takes in the reply to one call. */
    @FunctionalInterface
    public interface ReplyHandler {

        /**
         * Takes in a reply.
         *
         * @param askedAt when the call was made
         */
        void replied(StoreReply reply, Instant askedAt, Instant now);
    }

    private record Open(Instant askedAt, ReplyHandler handler) {}

    private final IdSequence numbers;
    private final Outbox outbox;
    private final Map<Long, Open> open = new HashMap<>();
    private Instant lastAnswer = Instant.MIN;
    private boolean reachable;

    private StoreCallQueue(IdSequence numbers, Outbox outbox) {
        this.numbers = numbers;
        this.outbox = outbox;
    }

    /** Returns a desk that has made no call. */
    public static StoreCallQueue of(IdSequence numbers, Outbox outbox) {
        return new StoreCallQueue(numbers, outbox);
    }

    /**
     * Calls the store.
     *
     * @return the call's number
     */
    public long call(StoreCall body, Instant now, ReplyHandler handler) {
        long call = numbers.next();
        open.put(call, new Open(now, handler));
        outbox.add(new Effect.CallStore(call, body));
        return call;
    }

    /** Hands on a reply; a second reply to the same call is ignored. */
    public void replied(long call, StoreReply reply, Instant now) {
        Open asked = open.remove(call);
        if (asked == null) {
            return;
        }
        if (!(reply instanceof StoreReply.Unavailable)) {
            lastAnswer = now;
        }
        noteReachable(now);
        asked.handler().replied(reply, asked.askedAt(), now);
    }

    private void noteReachable(Instant now) {
        if (reachable != reachable(now)) {
            reachable = !reachable;
            outbox.note(new Observation.StoreReachable(reachable));
        }
    }

    /** Tells whether the store answered lately. */
    public boolean reachable(Instant now) {
        return !lastAnswer.equals(Instant.MIN) && now.isBefore(lastAnswer.plus(REACHABILITY_WINDOW));
    }
}
