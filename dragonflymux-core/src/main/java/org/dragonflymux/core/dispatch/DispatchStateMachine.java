package org.dragonflymux.core.dispatch;

import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;
import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.dragonflymux.core.assignment.KeyHash;
import org.dragonflymux.core.assignment.LaneReport;
import org.dragonflymux.core.assignment.Routes;
import org.dragonflymux.core.configuration.ConfigurationReplica;
import org.dragonflymux.core.document.CustomerDocument;
import org.dragonflymux.core.document.DocumentKey;
import org.dragonflymux.core.document.Lane;
import org.dragonflymux.core.document.ServiceDocument;
import org.dragonflymux.core.grant.GrantManager;
import org.dragonflymux.core.idempotency.IdempotencyKey;
import org.dragonflymux.core.idempotency.IdempotencyRegistry;
import org.dragonflymux.core.message.Effect;
import org.dragonflymux.core.message.GrantReply;
import org.dragonflymux.core.message.IdSequence;
import org.dragonflymux.core.message.Observation;
import org.dragonflymux.core.message.Outbox;
import org.dragonflymux.core.message.Outcome;
import org.dragonflymux.core.message.RefusalReason;
import org.dragonflymux.core.message.ServiceRequest;
import org.dragonflymux.core.message.TargetResult;
import org.dragonflymux.core.message.UnknownReason;
import org.dragonflymux.core.name.HostId;
import org.dragonflymux.core.name.ServiceName;
import org.dragonflymux.core.name.TargetId;
import org.dragonflymux.core.quarantine.CrashTracker;
import org.dragonflymux.core.session.LaneAuthority;

/**
 * Sends requests to the targets whose lanes the assignment tables assign to this host.
 *
 * <p>Only the dispatcher of a lane sends to its target, and only while its authority lasts. One host therefore sees all
 * requests of a target: it queues them, ramps the target up after a cold start, and remembers the requests that must
 * not run twice.
 */
public final class DispatchStateMachine {

    private static final Duration MIN_FIRST_ATTEMPT_TIMEOUT = Duration.ofMillis(300);
    private static final int FIRST_ATTEMPT_TIMEOUT_FACTOR = 10;

    /** Receives the outcome of a request that was passed to {@link DispatchStateMachine#submit}. */
    @FunctionalInterface
    public interface OutcomeHandler {

        void settled(Outcome outcome, Instant now);
    }

    private record Attempt(DispatchLane lane, QueuedRequest request, Instant sentAt) {}

    private final HostId self;
    private final ConfigurationReplica replica;
    private final RouteCache routeCache;
    private final LaneAuthority authority;
    private final CrashTracker crashTracker;
    private final IdSequence ids;
    private final Outbox outbox;
    private final IdempotencyRegistry idempotencyRegistry = IdempotencyRegistry.empty();
    private final Map<LaneKey, DispatchLane> lanes = new LinkedHashMap<>();
    private final Submissions submissions = Submissions.recordingIn(idempotencyRegistry);
    private final Map<Long, Attempt> attempts = new HashMap<>();
    private final SuspectedCrashes suspectedCrashes = SuspectedCrashes.none();
    private final Map<LaneKey, LaneReport> lastReports = new HashMap<>();

    private DispatchStateMachine(
            HostId self,
            ConfigurationReplica replica,
            RouteCache routeCache,
            LaneAuthority authority,
            CrashTracker crashTracker,
            IdSequence ids,
            Outbox outbox) {
        this.self = self;
        this.replica = replica;
        this.routeCache = routeCache;
        this.authority = authority;
        this.crashTracker = crashTracker;
        this.ids = ids;
        this.outbox = outbox;
    }

    /** Returns the state machine of a host that holds no lane yet. */
    public static DispatchStateMachine of(
            HostId self,
            ConfigurationReplica replica,
            RouteCache routeCache,
            LaneAuthority authority,
            CrashTracker crashTracker,
            IdSequence ids,
            Outbox outbox) {
        return new DispatchStateMachine(self, replica, routeCache, authority, crashTracker, ids, outbox);
    }

    /** Takes and gives up lanes of a service according to its current table and document. */
    public void refreshLanes(ServiceName service, Instant now) {
        Optional<Routes> routes = routeCache.routes(service);
        Optional<ServiceDocument> document = replica.find(DocumentKey.service(service), ServiceDocument.class);
        if (routes.isEmpty() || document.isEmpty()) {
            return;
        }
        for (Lane lane : routes.get().table().lanes()) {
            LaneKey key = new LaneKey(service, lane.target());
            DispatchLane held = lanes.get(key);
            boolean mine = self.equals(lane.dispatcher());
            if (held != null && (!mine || held.fence() != lane.fence())) {
                giveUpLane(key, held, now);
                held = null;
            }
            if (mine && held == null) {
                held = takeLane(key, document.get(), lane, now);
            }
            if (held != null) {
                held.update(routes.get(), lane, now);
                submissions.refuseAll(held.evictRefused(), RefusalReason.NOT_DISPATCHER, now);
            }
        }
        dropRemovedLanes(service, routes.get(), now);
    }

    private DispatchLane takeLane(LaneKey key, ServiceDocument document, Lane lane, Instant now) {
        return document.target(lane.target())
                .map(target -> {
                    DispatchLane taken = DispatchLane.of(document, target, lane, now);
                    lanes.put(key, taken);
                    noteHeld(key, taken, true);
                    return taken;
                })
                .orElse(null);
    }

    private void giveUpLane(LaneKey key, DispatchLane lane, Instant now) {
        lanes.remove(key);
        lastReports.remove(key);
        submissions.refuseAll(lane.evict(request -> true), RefusalReason.NOT_DISPATCHER, now);
        // The new owner of the key can run repeatable requests again; a request that must run only once keeps waiting.
        lane.repeatableRunning()
                .forEach(request -> submissions.settle(request, new Outcome.Unknown(UnknownReason.TARGET_LOST), now));
        noteHeld(key, lane, false);
    }

    private void noteHeld(LaneKey key, DispatchLane lane, boolean held) {
        outbox.note(new Observation.LaneHeld(key.service(), key.target(), lane.fence(), held));
    }

    private void dropRemovedLanes(ServiceName service, Routes routes, Instant now) {
        List<LaneKey> removed = lanes.keySet().stream()
                .filter(key -> key.service().equals(service)
                        && routes.lane(key.target()).isEmpty())
                .toList();
        removed.forEach(key -> giveUpLane(key, lanes.get(key), now));
    }

    /** Returns the services of which this host holds at least one lane. */
    public Set<ServiceName> services() {
        Set<ServiceName> services = new HashSet<>();
        lanes.keySet().forEach(key -> services.add(key.service()));
        return services;
    }

    /** Queues an admitted request on one of this host's lanes, or refuses it. */
    public void submit(ServiceRequest request, Instant deadline, Instant now, OutcomeHandler handler) {
        Optional<ServiceDocument> document =
                replica.find(DocumentKey.service(request.service()), ServiceDocument.class);
        Optional<Routes> routes = routeCache.routes(request.service());
        if (document.isEmpty() || routes.isEmpty()) {
            refuse(handler, RefusalReason.NOT_DISPATCHER, now);
            return;
        }
        long keyHash = KeyHash.of(request.key());
        int unit = routes.get().unit(keyHash);
        Optional<DispatchLane> lane =
                routes.get().owner(unit).map(owner -> lanes.get(new LaneKey(request.service(), owner.target())));
        Optional<RefusalReason> refusal = lane.isEmpty()
                ? Optional.of(RefusalReason.NOT_DISPATCHER)
                : lane.get().refusal(unit);
        if (refusal.isEmpty() && !authorized(document.get(), now)) {
            refusal = Optional.of(RefusalReason.UNREACHABLE);
        }
        if (refusal.isPresent()) {
            refuse(handler, refusal.get(), now);
            return;
        }
        admit(lane.get(), unit, queued(document.get(), request, keyHash, deadline, now), handler, now);
    }

    private QueuedRequest queued(
            ServiceDocument document, ServiceRequest request, long keyHash, Instant deadline, Instant now) {
        int weight = replica.find(DocumentKey.customer(request.customer()), CustomerDocument.class)
                .map(CustomerDocument::weight)
                .orElse(1);
        long fingerprint = fingerprint(request);
        boolean suspect = crashTracker.crashCount(fingerprint, now) > 0;
        boolean repeatable = document.repeatable(request.method());
        return new QueuedRequest(ids.next(), request, keyHash, weight, repeatable, fingerprint, suspect, deadline);
    }

    private static long fingerprint(ServiceRequest request) {
        Hasher hasher = Hashing.murmur3_128().newHasher();
        hasher.putString(request.method(), StandardCharsets.UTF_8).putByte((byte) 0);
        hasher.putString(request.path(), StandardCharsets.UTF_8).putByte((byte) 0);
        hasher.putString(request.key(), StandardCharsets.UTF_8).putByte((byte) 0);
        return hasher.putBytes(request.body()).hash().asLong();
    }

    private boolean authorized(ServiceDocument document, Instant now) {
        return now.isBefore(authority.validUntil(document.name()));
    }

    private void admit(DispatchLane lane, int unit, QueuedRequest request, OutcomeHandler handler, Instant now) {
        if (crashTracker.crashCount(request.fingerprint(), now) >= CrashTracker.QUARANTINE_THRESHOLD) {
            outbox.note(new Observation.RequestQuarantined(lane.service().name(), request.fingerprint()));
            refuse(handler, RefusalReason.QUARANTINED, now);
            return;
        }
        if (lane.wouldMissDeadline(request, now)) {
            refuse(handler, RefusalReason.DEADLINE_TOO_SHORT, now);
            return;
        }
        Optional<IdempotencyKey> key = Optional.empty();
        if (!request.repeatable()) {
            Either<RefusalReason, IdempotencyKey> parsed =
                    IdempotencyKey.parse(request.request().idempotencyKey(), now);
            if (parsed.isLeft()) {
                refuse(handler, parsed.getLeft(), now);
                return;
            }
            key = Optional.of(parsed.get());
            Optional<Outcome> known =
                    idempotencyRegistry.claim(request.request().customer(), parsed.get(), lane.ownedSince(unit), now);
            if (known.isPresent()) {
                handler.settled(known.get(), now);
                return;
            }
        }
        submissions.add(request, handler, key);
        lane.enqueue(request, now).ifPresent(dropped -> submissions.refuse(dropped, RefusalReason.QUEUE_FULL, now));
        sendQueued(lane, now);
    }

    private void sendQueued(DispatchLane lane, Instant now) {
        if (!isHeld(lane) || !authorized(lane.service(), now)) {
            return;
        }
        Optional<QueuedRequest> next = lane.next(now);
        while (next.isPresent()) {
            send(lane, next.get(), now);
            next = lane.next(now);
        }
    }

    private void send(DispatchLane lane, QueuedRequest request, Instant now) {
        if (!now.isBefore(request.deadline())) {
            submissions.refuse(request, RefusalReason.DEADLINE_TOO_SHORT, now);
            return;
        }
        long attempt = ids.next();
        submissions.attemptStarted(request);
        lane.recordSent(attempt, request);
        attempts.put(attempt, new Attempt(lane, request, now));
        outbox.add(new Effect.CallTarget(
                attempt,
                lane.target().address(),
                lane.fence(),
                request.request(),
                request.deadline(),
                attemptTimeout(lane, request, now),
                lane.service().maxAnswerBytes(),
                freshConnection(lane, request, now)));
    }

    // An open connection can break just as a request is sent; only requests that may be repeated accept that risk.
    private boolean freshConnection(DispatchLane lane, QueuedRequest request, Instant now) {
        return !request.repeatable() || submissions.attempts(request) > 1 || lane.freshConnectionsOnly(now);
    }

    // The first attempt of a repeatable request leaves time for a second one, since its connection may be unresponsive.
    private Duration attemptTimeout(DispatchLane lane, QueuedRequest request, Instant now) {
        Duration remaining = Duration.between(now, request.deadline());
        if (!request.repeatable() || submissions.attempts(request) > 1) {
            return remaining;
        }
        Duration mean = lane.window().meanTime().multipliedBy(FIRST_ATTEMPT_TIMEOUT_FACTOR);
        Duration first = mean.compareTo(MIN_FIRST_ATTEMPT_TIMEOUT) < 0 ? MIN_FIRST_ATTEMPT_TIMEOUT : mean;
        return first.compareTo(remaining) < 0 ? first : remaining;
    }

    /** Handles the result of an attempt. */
    public void attemptEnded(long attempt, TargetResult result, Instant now) {
        Attempt sent = attempts.remove(attempt);
        if (sent == null) {
            return;
        }
        // The lane may have been given up in the meantime; the caller still gets the result.
        DispatchLane lane = sent.lane();
        boolean certain = !(result instanceof TargetResult.Broken || result instanceof TargetResult.TimedOut);
        lane.recordEnded(attempt, certain);
        if (!certain) {
            submissions.attemptEndedUnknown(sent.request());
        }
        handleResult(lane, sent.request(), result, Duration.between(sent.sentAt(), now), now);
        sendQueued(lane, now);
    }

    private boolean isHeld(DispatchLane lane) {
        DispatchLane known = lanes.get(keyOf(lane));
        return known != null && known.fence() == lane.fence();
    }

    private static LaneKey keyOf(DispatchLane lane) {
        return new LaneKey(lane.service().name(), lane.id());
    }

    private void handleResult(
            DispatchLane lane, QueuedRequest request, TargetResult result, Duration elapsed, Instant now) {
        switch (result) {
            case TargetResult.Completed completed -> {
                lane.grants().recordAlive(now);
                lane.window().recordAnswer(elapsed);
                crashTracker.completed(request.fingerprint(), now);
                submissions.settle(request, completed.answer(), now);
            }
            case TargetResult.Declined declined -> handleDeclined(lane, request, declined.reason(), now);
            case TargetResult.NotSent notSent -> {
                if (notSent.refused()) {
                    lane.grants().recordRefusedConnection();
                }
                lane.grants().renewSoon(now);
                submissions.refuse(request, RefusalReason.UNREACHABLE, now);
            }
            case TargetResult.Broken _ -> handleBroken(lane, request, now);
            case TargetResult.TimedOut _ -> handleTimeout(lane, request, now);
            case TargetResult.TooLarge _ -> {
                lane.grants().recordAlive(now);
                submissions.settle(request, new Outcome.Unknown(UnknownReason.ANSWER_INCOMPLETE), now);
            }
        }
    }

    private void handleDeclined(
            DispatchLane lane, QueuedRequest request, TargetResult.DeclineReason reason, Instant now) {
        lane.grants().recordAlive(now);
        lane.grants().renewSoon(now);
        switch (reason) {
            case SHED -> {
                lane.window().shrink();
                submissions.refuse(request, RefusalReason.TARGET_SHED, now);
            }
            case EXPIRED -> submissions.refuse(request, RefusalReason.DEADLINE_TOO_SHORT, now);
            case FENCED, LEAVING -> submissions.refuse(request, RefusalReason.UNREACHABLE, now);
        }
    }

    private void handleBroken(DispatchLane lane, QueuedRequest request, Instant now) {
        lane.grants().renewSoon(now);
        suspectedCrashes.add(keyOf(lane), request, now);
        if (!request.repeatable()) {
            submissions.settle(request, new Outcome.Unknown(UnknownReason.TARGET_LOST), now);
        }
    }

    private void handleTimeout(DispatchLane lane, QueuedRequest request, Instant now) {
        boolean unresponsiveConnection = request.repeatable()
                && !lane.freshConnectionsOnly(now)
                && lane.grants().usable(now);
        if (unresponsiveConnection) {
            lane.connectionUnresponsive(now);
        } else {
            lane.window().shrink();
        }
        boolean retry = request.repeatable()
                && submissions.attempts(request) == 1
                && isHeld(lane)
                && lane.grants().usable(now);
        if (retry) {
            outbox.note(new Observation.Retried(lane.service().name()));
            requeue(lane, request, now);
        } else {
            boolean deadlinePassed = !now.isBefore(request.deadline());
            UnknownReason reason = deadlinePassed ? UnknownReason.DEADLINE_PASSED : UnknownReason.TARGET_LOST;
            submissions.settle(request, new Outcome.Unknown(reason), now);
        }
    }

    private void requeue(DispatchLane lane, QueuedRequest request, Instant now) {
        lane.enqueue(request, now)
                .ifPresent(dropped -> submissions.settle(dropped, new Outcome.Unknown(UnknownReason.TARGET_LOST), now));
    }

    /** Handles the reply to a grant. */
    public void grantReplied(ServiceName service, TargetId target, long grant, GrantReply reply, Instant now) {
        LaneKey key = new LaneKey(service, target);
        DispatchLane lane = lanes.get(key);
        if (lane == null) {
            return;
        }
        lane.grants().handleReply(grant, reply, now);
        boolean restarted = lane.grants().takeRestarted();
        if (restarted) {
            lane.window().reset();
        }
        boolean crashed = SuspectedCrashes.showsCrash(reply, restarted);
        if (crashed || SuspectedCrashes.showsAlive(reply, restarted)) {
            suspectedCrashes.take(key).forEach(request -> resolveSuspicion(lane, request, crashed, now));
        }
        sendQueued(lane, now);
    }

    private void resolveSuspicion(DispatchLane lane, QueuedRequest request, boolean crashed, Instant now) {
        if (crashed) {
            crashTracker.crashed(request.fingerprint(), now);
        }
        boolean retry = !crashed && submissions.contains(request) && isHeld(lane) && submissions.attempts(request) == 1;
        if (retry) {
            outbox.note(new Observation.Retried(lane.service().name()));
            requeue(lane, request, now);
        } else {
            submissions.settle(request, new Outcome.Unknown(UnknownReason.TARGET_LOST), now);
        }
    }

    private static void refuse(OutcomeHandler handler, RefusalReason reason, Instant now) {
        handler.settled(Outcome.Refused.of(reason), now);
    }

    /**
     * Sends due grants and queued requests, and ends requests whose deadline has passed or for which no crash evidence
     * arrived in time.
     */
    public void tick(Instant now) {
        for (DispatchLane lane : List.copyOf(lanes.values())) {
            Instant until = authority.validUntil(lane.service().name());
            lane.grants().due(ids.next(), until, now).ifPresent(grant -> outbox.add(grantEffect(lane, grant)));
            submissions.refuseAll(
                    lane.evict(request -> !now.isBefore(request.deadline())), RefusalReason.DEADLINE_TOO_SHORT, now);
            sendQueued(lane, now);
        }
        suspectedCrashes
                .takeOverdue(now)
                .forEach(request -> submissions.settle(request, new Outcome.Unknown(UnknownReason.TARGET_LOST), now));
    }

    private static Effect grantEffect(DispatchLane lane, GrantManager.Grant grant) {
        return new Effect.SendGrant(
                lane.service().name(),
                lane.id(),
                lane.target().address(),
                grant.number(),
                lane.fence(),
                grant.boot(),
                grant.validUntilMillis());
    }

    /**
     * Returns the reports on this host's lanes for the assigners.
     *
     * @param all whether to include reports that have not changed since the last call
     */
    public List<LaneReport> reports(boolean all, Instant now) {
        List<LaneReport> due = new ArrayList<>();
        lanes.forEach((key, lane) -> {
            LaneReport report = lane.report(now);
            LaneReport last = lastReports.put(key, report);
            if (all || !report.equals(last)) {
                due.add(report);
            }
        });
        return due;
    }

    /** Returns whether any request waits for or runs on a lane of this host. */
    public boolean busy() {
        return !submissions.isEmpty();
    }

    /** Returns the number of waiting and running requests of each lane, for metrics. */
    public Map<String, Integer> load() {
        Map<String, Integer> load = new LinkedHashMap<>();
        lanes.forEach(
                (key, lane) -> load.put(key.service() + "." + key.target(), lane.queuedCount() + lane.runningCount()));
        return load;
    }
}
