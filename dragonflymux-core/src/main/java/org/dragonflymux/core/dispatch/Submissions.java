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
 * The requests that a dispatcher has accepted and not answered yet.
 *
 * <p>Each request gets exactly one outcome. It is never reported as "not run" once one of its attempts has ended
 * without a known result.
 */
final class Submissions {

    private record Submission(
            OutcomeHandler handler, Optional<IdempotencyKey> idempotencyKey, int attempts, boolean mayHaveRun) {}

    private final IdempotencyRegistry idempotencyRegistry;
    private final Map<Long, Submission> open = new HashMap<>();

    private Submissions(IdempotencyRegistry idempotencyRegistry) {
        this.idempotencyRegistry = idempotencyRegistry;
    }

    /**
     * Returns an empty set of submissions.
     *
     * @param idempotencyRegistry records the outcomes of requests that must run only once
     */
    static Submissions recordingIn(IdempotencyRegistry idempotencyRegistry) {
        return new Submissions(idempotencyRegistry);
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

    /** Returns the number of attempts to run a request, 0 if it already has an outcome. */
    int attempts(QueuedRequest request) {
        Submission submission = open.get(request.id());
        return submission == null ? 0 : submission.attempts();
    }

    void attemptStarted(QueuedRequest request) {
        open.computeIfPresent(
                request.id(),
                (_, submission) -> new Submission(
                        submission.handler(),
                        submission.idempotencyKey(),
                        submission.attempts() + 1,
                        submission.mayHaveRun()));
    }

    /** Records that an attempt ended without a known result, so that the request may have run. */
    void attemptEndedUnknown(QueuedRequest request) {
        open.computeIfPresent(
                request.id(),
                (_, submission) ->
                        new Submission(submission.handler(), submission.idempotencyKey(), submission.attempts(), true));
    }

    /** Sets the outcome of a request, unless it already has one. */
    void settle(QueuedRequest request, Outcome outcome, Instant now) {
        Submission submission = open.remove(request.id());
        if (submission == null) {
            return;
        }
        submission.idempotencyKey().ifPresent(key -> recordOutcome(request, key, outcome));
        submission.handler().settled(outcome, now);
    }

    private void recordOutcome(QueuedRequest request, IdempotencyKey key, Outcome outcome) {
        if (outcome instanceof Outcome.Refused) {
            idempotencyRegistry.release(request.request().customer(), key);
        } else {
            idempotencyRegistry.recordOutcome(request.request().customer(), key, outcome);
        }
    }

    /** Refuses a request; if an attempt ended without a known result, the outcome is unknown instead. */
    void refuse(QueuedRequest request, RefusalReason reason, Instant now) {
        Submission submission = open.get(request.id());
        boolean mayHaveRun = submission != null && submission.mayHaveRun();
        settle(request, mayHaveRun ? new Outcome.Unknown(UnknownReason.TARGET_LOST) : Outcome.Refused.of(reason), now);
    }

    void refuseAll(Collection<QueuedRequest> requests, RefusalReason reason, Instant now) {
        requests.forEach(request -> refuse(request, reason, now));
    }
}
