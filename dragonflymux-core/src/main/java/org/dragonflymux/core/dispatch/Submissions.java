package org.dragonflymux.core.dispatch;

import java.time.Instant;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.dragonflymux.core.dispatch.DispatchStateMachine.OutcomeHandler;
import org.dragonflymux.core.idempotency.IdempotencyKey;
import org.dragonflymux.core.idempotency.IdempotencyRegistry;
import org.dragonflymux.core.message.Outcome;
import org.dragonflymux.core.message.RefusalReason;
import org.dragonflymux.core.message.UnknownReason;

/**
 * The requests that a dispatcher has taken in and not answered yet.
 *
 * <p>Each gets exactly one outcome, and none that says "not run" once an attempt ended without a known result.
 */
final class Submissions {

    private record Submission(
            OutcomeHandler handler, Optional<IdempotencyKey> idempotencyKey, int attempts, boolean mayHaveRun) {}

    private final IdempotencyRegistry memory;
    private final Map<Long, Submission> open = new HashMap<>();

    private Submissions(IdempotencyRegistry memory) {
        this.memory = memory;
    }

    /**
     * Returns an empty set of submissions.
     *
     * @param memory told how requests that must run once ended
     */
    static Submissions rememberedIn(IdempotencyRegistry memory) {
        return new Submissions(memory);
    }

    void add(QueuedRequest request, OutcomeHandler handler, Optional<IdempotencyKey> idempotencyKey) {
        open.put(request.id(), new Submission(handler, idempotencyKey, 0, false));
    }

    boolean contains(QueuedRequest request) {
        return open.containsKey(request.id());
    }

    boolean isEmpty() {
        return open.isEmpty();
    }

    /** Returns how many attempts were made to run a request, 0 for one that has its outcome. */
    int attempts(QueuedRequest request) {
        Submission submission = open.get(request.id());
        return submission == null ? 0 : submission.attempts();
    }

    void attemptStarted(QueuedRequest request) {
        open.computeIfPresent(
                request.id(),
                (_, known) -> new Submission(
                        known.handler(), known.idempotencyKey(), known.attempts() + 1, known.mayHaveRun()));
    }

    /** Notes that an attempt ended and the request may have run. */
    void attemptLost(QueuedRequest request) {
        open.computeIfPresent(
                request.id(),
                (_, known) -> new Submission(known.handler(), known.idempotencyKey(), known.attempts(), true));
    }

    /** Gives a request its outcome; a request that has one keeps it. */
    void settle(QueuedRequest request, Outcome outcome, Instant now) {
        Submission submission = open.remove(request.id());
        if (submission == null) {
            return;
        }
        submission.idempotencyKey().ifPresent(key -> remember(request, key, outcome));
        submission.handler().settled(outcome, now);
    }

    private void remember(QueuedRequest request, IdempotencyKey key, Outcome outcome) {
        if (outcome instanceof Outcome.Refused) {
            memory.release(request.request().customer(), key);
        } else {
            memory.recordOutcome(request.request().customer(), key, outcome);
        }
    }

    /** Refuses a request, truthfully: after an attempt whose end is not known, the outcome is unknown. */
    void refuse(QueuedRequest request, RefusalReason reason, Instant now) {
        Submission submission = open.get(request.id());
        boolean mayHaveRun = submission != null && submission.mayHaveRun();
        settle(request, mayHaveRun ? new Outcome.Unknown(UnknownReason.TARGET_LOST) : Outcome.Refused.of(reason), now);
    }

    void refuseAll(Collection<QueuedRequest> requests, RefusalReason reason, Instant now) {
        requests.forEach(request -> refuse(request, reason, now));
    }
}
