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
import org.dragonflymux.core.grant.GrantKeeper;
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
import org.dragonflymux.core.session.RoleAuthority;

/**
 * The duty of sending requests to the targets that assignment tables give to this host.
 *
 * <p>Only the dispatcher of a lane sends to its target, and only while its authority lasts. Thus one host sees a target's
 * whole queue, ramps it up after a cold start, and remembers what must not run twice.
 */
public final class DispatchStateMachine {

    private static final Duration MIN_FIRST_ATTEMPT = Duration.ofMillis(300);
    private static final int FIRST_ATTEMPT_FACTOR = 10;

    /** Takes in the outcome of a request that was handed to {@link DispatchStateMachine#submit}. */
    @FunctionalInterface
    public interface OutcomeHandler {

        /** Takes in the outcome. */
        void settled(Outcome outcome, Instant now);
    }

    private record Attempt(LaneHolder holder, QueuedRequest request, Instant sentAt) {}

    private final HostId self;
    private final ConfigurationReplica replica;
    private final RouteCache routes;
    private final RoleAuthority authority;
    private final CrashTracker crashGuard;
    private final IdSequence numbers;
    private final Outbox outbox;
    private final IdempotencyRegistry memory = IdempotencyRegistry.empty();
    private final Map<LaneKey, LaneHolder> lanes = new LinkedHashMap<>();
    private final Submissions submissions = Submissions.rememberedIn(memory);
    private final Map<Long, Attempt> attempts = new HashMap<>();
    private final CrashEvidence crashEvidence = CrashEvidence.none();
    private final Map<LaneKey, LaneReport> lastReports = new HashMap<>();

    private DispatchStateMachine(
            HostId self,
            ConfigurationReplica replica,
            RouteCache routes,
            RoleAuthority authority,
            CrashTracker crashGuard,
            IdSequence numbers,
            Outbox outbox) {
        this.self = self;
        this.replica = replica;
        this.routes = routes;
        this.authority = authority;
        this.crashGuard = crashGuard;
        this.numbers = numbers;
        this.outbox = outbox;
    }

    /** Returns the duty of a host that holds no lane yet. */
    public static DispatchStateMachine of(
            HostId self,
            ConfigurationReplica replica,
            RouteCache routes,
            RoleAuthority authority,
            CrashTracker crashGuard,
            IdSequence numbers,
            Outbox outbox) {
        return new DispatchStateMachine(self, replica, routes, authority, crashGuard, numbers, outbox);
    }

    /** Follows a changed table or service document. */
    public void refreshLanes(ServiceName service, Instant now) {
        Optional<Routes> table = routes.routes(service);
        Optional<ServiceDocument> document = replica.find(DocumentKey.service(service), ServiceDocument.class);
        if (table.isEmpty() || document.isEmpty()) {
            return;
        }
        for (Lane lane : table.get().table().lanes()) {
            LaneKey key = new LaneKey(service, lane.target());
            LaneHolder held = lanes.get(key);
            boolean mine = self.equals(lane.dispatcher());
            if (held != null && (!mine || held.fence() != lane.fence())) {
                giveUp(key, held, now);
                held = null;
            }
            if (mine && held == null) {
                held = take(key, document.get(), lane, now);
            }
            if (held != null) {
                held.follow(table.get(), lane, now);
                submissions.refuseAll(held.evictForeign(), RefusalReason.NOT_DISPATCHER, now);
            }
        }
        dropRemovedLanes(service, table.get(), now);
    }

    private LaneHolder take(LaneKey key, ServiceDocument document, Lane lane, Instant now) {
        return document.target(lane.target())
                .map(target -> {
                    LaneHolder holder = LaneHolder.of(document, target, lane, now);
                    lanes.put(key, holder);
                    noteHeld(key, holder, true);
                    return holder;
                })
                .orElse(null);
    }

    private void giveUp(LaneKey key, LaneHolder holder, Instant now) {
        lanes.remove(key);
        lastReports.remove(key);
        submissions.refuseAll(holder.evict(request -> true), RefusalReason.NOT_DISPATCHER, now);
        // Whoever owns the key now can run it again; only what must run once waits for its own end.
        holder.repeatableRunning()
                .forEach(request -> submissions.settle(request, new Outcome.Unknown(UnknownReason.TARGET_LOST), now));
        noteHeld(key, holder, false);
    }

    private void noteHeld(LaneKey key, LaneHolder holder, boolean held) {
        outbox.note(new Observation.LaneHeld(key.service(), key.target(), holder.fence(), held));
    }

    private void dropRemovedLanes(ServiceName service, Routes table, Instant now) {
        List<LaneKey> removed = lanes.keySet().stream()
                .filter(key -> key.service().equals(service)
                        && table.lane(key.target()).isEmpty())
                .toList();
        removed.forEach(key -> giveUp(key, lanes.get(key), now));
    }

    /** Returns the services of whose lanes this host holds some. */
    public Set<ServiceName> services() {
        Set<ServiceName> services = new HashSet<>();
        lanes.keySet().forEach(key -> services.add(key.service()));
        return services;
    }

    /** Takes in an admitted request for one of this host's lanes. */
    public void submit(ServiceRequest request, Instant deadline, Instant now, OutcomeHandler handler) {
        Optional<ServiceDocument> document =
                replica.find(DocumentKey.service(request.service()), ServiceDocument.class);
        Optional<Routes> table = routes.routes(request.service());
        if (document.isEmpty() || table.isEmpty()) {
            refuse(handler, RefusalReason.NOT_DISPATCHER, now);
            return;
        }
        long keyHash = KeyHash.of(request.key());
        int unit = table.get().unit(keyHash);
        Optional<LaneHolder> holder =
                table.get().owner(unit).map(lane -> lanes.get(new LaneKey(request.service(), lane.target())));
        Optional<RefusalReason> refusal = holder.isEmpty()
                ? Optional.of(RefusalReason.NOT_DISPATCHER)
                : holder.get().refusal(unit);
        if (refusal.isEmpty() && !authorized(document.get(), now)) {
            refusal = Optional.of(RefusalReason.UNREACHABLE);
        }
        if (refusal.isPresent()) {
            refuse(handler, refusal.get(), now);
            return;
        }
        admit(holder.get(), unit, queued(document.get(), request, keyHash, deadline, now), handler, now);
    }

    private QueuedRequest queued(
            ServiceDocument document, ServiceRequest request, long keyHash, Instant deadline, Instant now) {
        int weight = replica.find(DocumentKey.customer(request.customer()), CustomerDocument.class)
                .map(CustomerDocument::weight)
                .orElse(1);
        long fingerprint = fingerprint(request);
        boolean suspect = crashGuard.crashCount(fingerprint, now) > 0;
        boolean repeatable = document.repeatable(request.method());
        return new QueuedRequest(numbers.next(), request, keyHash, weight, repeatable, fingerprint, suspect, deadline);
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

    private void admit(LaneHolder holder, int unit, QueuedRequest request, OutcomeHandler handler, Instant now) {
        if (crashGuard.crashCount(request.fingerprint(), now) >= CrashTracker.QUARANTINE_THRESHOLD) {
            outbox.note(new Observation.RequestQuarantined(holder.service().name(), request.fingerprint()));
            refuse(handler, RefusalReason.QUARANTINED, now);
            return;
        }
        if (holder.wouldMiss(request, now)) {
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
                    memory.claim(request.request().customer(), parsed.get(), holder.heldSince(unit), now);
            if (known.isPresent()) {
                handler.settled(known.get(), now);
                return;
            }
        }
        submissions.add(request, handler, key);
        holder.enqueue(request, now).ifPresent(dropped -> submissions.refuse(dropped, RefusalReason.QUEUE_FULL, now));
        pump(holder, now);
    }

    private void pump(LaneHolder holder, Instant now) {
        if (!held(holder) || !authorized(holder.service(), now)) {
            return;
        }
        Optional<QueuedRequest> next = holder.next(now);
        while (next.isPresent()) {
            send(holder, next.get(), now);
            next = holder.next(now);
        }
    }

    private void send(LaneHolder holder, QueuedRequest request, Instant now) {
        if (!now.isBefore(request.deadline())) {
            submissions.refuse(request, RefusalReason.DEADLINE_TOO_SHORT, now);
            return;
        }
        long attempt = numbers.next();
        submissions.attemptStarted(request);
        holder.started(attempt, request);
        attempts.put(attempt, new Attempt(holder, request, now));
        outbox.add(new Effect.CallTarget(
                attempt,
                holder.target().address(),
                holder.fence(),
                request.request(),
                request.deadline(),
                attemptTimeout(holder, request, now),
                holder.service().maxAnswerBytes(),
                freshConnection(holder, request, now)));
    }

    // An open connection may be lost in the very moment of sending; only a request that may be repeated takes the risk.
    private boolean freshConnection(LaneHolder holder, QueuedRequest request, Instant now) {
        return !request.repeatable() || submissions.attempts(request) > 1 || holder.freshConnectionsOnly(now);
    }

    // A repeatable request leaves time for a second attempt, since its connection may have gone silent.
    private Duration attemptTimeout(LaneHolder holder, QueuedRequest request, Instant now) {
        Duration remaining = Duration.between(now, request.deadline());
        if (!request.repeatable() || submissions.attempts(request) > 1) {
            return remaining;
        }
        Duration usual = holder.window().meanTime().multipliedBy(FIRST_ATTEMPT_FACTOR);
        Duration first = usual.compareTo(MIN_FIRST_ATTEMPT) < 0 ? MIN_FIRST_ATTEMPT : usual;
        return first.compareTo(remaining) < 0 ? first : remaining;
    }

    /** Takes in the end of an attempt. */
    public void attemptEnded(long attempt, TargetResult result, Instant now) {
        Attempt sent = attempts.remove(attempt);
        if (sent == null) {
            return;
        }
        // The lane may have been given up meanwhile; whoever asked still gets the truth.
        LaneHolder holder = sent.holder();
        boolean certain = !(result instanceof TargetResult.Broken || result instanceof TargetResult.TimedOut);
        holder.ended(attempt, certain);
        if (!certain) {
            submissions.attemptLost(sent.request());
        }
        ended(holder, sent.request(), result, Duration.between(sent.sentAt(), now), now);
        pump(holder, now);
    }

    private boolean held(LaneHolder holder) {
        LaneHolder known = lanes.get(keyOf(holder));
        return known != null && known.fence() == holder.fence();
    }

    private static LaneKey keyOf(LaneHolder holder) {
        return new LaneKey(holder.service().name(), holder.id());
    }

    private void ended(LaneHolder holder, QueuedRequest request, TargetResult result, Duration elapsed, Instant now) {
        switch (result) {
            case TargetResult.Completed completed -> {
                holder.grants().alive(now);
                holder.window().answered(elapsed);
                crashGuard.completed(request.fingerprint(), now);
                submissions.settle(request, completed.answer(), now);
            }
            case TargetResult.Declined declined -> declined(holder, request, declined.reason(), now);
            case TargetResult.NotSent notSent -> {
                if (notSent.refused()) {
                    holder.grants().refused();
                }
                holder.grants().hurry(now);
                submissions.refuse(request, RefusalReason.UNREACHABLE, now);
            }
            case TargetResult.Broken _ -> broken(holder, request, now);
            case TargetResult.TimedOut _ -> timedOut(holder, request, now);
            case TargetResult.TooLarge _ -> {
                holder.grants().alive(now);
                submissions.settle(request, new Outcome.Unknown(UnknownReason.ANSWER_INCOMPLETE), now);
            }
        }
    }

    private void declined(LaneHolder holder, QueuedRequest request, TargetResult.DeclineReason reason, Instant now) {
        holder.grants().alive(now);
        holder.grants().hurry(now);
        switch (reason) {
            case SHED -> {
                holder.window().shrink();
                submissions.refuse(request, RefusalReason.TARGET_SHED, now);
            }
            case EXPIRED -> submissions.refuse(request, RefusalReason.DEADLINE_TOO_SHORT, now);
            case FENCED, LEAVING -> submissions.refuse(request, RefusalReason.UNREACHABLE, now);
        }
    }

    private void broken(LaneHolder holder, QueuedRequest request, Instant now) {
        holder.grants().hurry(now);
        crashEvidence.broken(keyOf(holder), request, now);
        if (!request.repeatable()) {
            submissions.settle(request, new Outcome.Unknown(UnknownReason.TARGET_LOST), now);
        }
    }

    private void timedOut(LaneHolder holder, QueuedRequest request, Instant now) {
        boolean silentConnection = request.repeatable()
                && !holder.freshConnectionsOnly(now)
                && holder.grants().usable(now);
        if (silentConnection) {
            holder.connectionWentSilent(now);
        } else {
            holder.window().shrink();
        }
        boolean again = request.repeatable()
                && submissions.attempts(request) == 1
                && held(holder)
                && holder.grants().usable(now);
        if (again) {
            outbox.note(new Observation.Retried(holder.service().name()));
            requeue(holder, request, now);
        } else {
            boolean passed = !now.isBefore(request.deadline());
            UnknownReason reason = passed ? UnknownReason.DEADLINE_PASSED : UnknownReason.TARGET_LOST;
            submissions.settle(request, new Outcome.Unknown(reason), now);
        }
    }

    private void requeue(LaneHolder holder, QueuedRequest request, Instant now) {
        holder.enqueue(request, now)
                .ifPresent(dropped -> submissions.settle(dropped, new Outcome.Unknown(UnknownReason.TARGET_LOST), now));
    }

    /** Takes in the reply to a grant. */
    public void grantReplied(ServiceName service, TargetId target, long grant, GrantReply reply, Instant now) {
        LaneKey key = new LaneKey(service, target);
        LaneHolder holder = lanes.get(key);
        if (holder == null) {
            return;
        }
        holder.grants().replied(grant, reply, now);
        boolean restarted = holder.grants().takeRestarted();
        if (restarted) {
            holder.window().restart();
        }
        boolean crashed = CrashEvidence.showsCrash(reply, restarted);
        if (crashed || CrashEvidence.showsLife(reply, restarted)) {
            crashEvidence.take(key).forEach(request -> resolve(holder, request, crashed, now));
        }
        pump(holder, now);
    }

    private void resolve(LaneHolder holder, QueuedRequest request, boolean crashed, Instant now) {
        if (crashed) {
            crashGuard.crashed(request.fingerprint(), now);
        }
        boolean again = !crashed && submissions.contains(request) && held(holder) && submissions.attempts(request) == 1;
        if (again) {
            outbox.note(new Observation.Retried(holder.service().name()));
            requeue(holder, request, now);
        } else {
            submissions.settle(request, new Outcome.Unknown(UnknownReason.TARGET_LOST), now);
        }
    }

    private static void refuse(OutcomeHandler handler, RefusalReason reason, Instant now) {
        handler.settled(Outcome.Refused.of(reason), now);
    }

    /** Sends grants that are due, drops requests whose deadline passed, and settles what has waited for evidence. */
    public void tick(Instant now) {
        for (LaneHolder holder : List.copyOf(lanes.values())) {
            Instant until = authority.validUntil(holder.service().name());
            holder.grants().due(numbers.next(), until, now).ifPresent(grant -> outbox.add(grantEffect(holder, grant)));
            submissions.refuseAll(
                    holder.evict(request -> !now.isBefore(request.deadline())), RefusalReason.DEADLINE_TOO_SHORT, now);
            pump(holder, now);
        }
        crashEvidence
                .takeOverdue(now)
                .forEach(request -> submissions.settle(request, new Outcome.Unknown(UnknownReason.TARGET_LOST), now));
    }

    private static Effect grantEffect(LaneHolder holder, GrantKeeper.Grant grant) {
        return new Effect.SendGrant(
                holder.service().name(),
                holder.id(),
                holder.target().address(),
                grant.number(),
                holder.fence(),
                grant.boot(),
                grant.validUntilMillis());
    }

    /**
     * Returns the reports on this host's lanes that the assigners are to get.
     *
     * @param all whether unchanged reports are wanted too
     */
    public List<LaneReport> reports(boolean all, Instant now) {
        List<LaneReport> due = new ArrayList<>();
        lanes.forEach((key, holder) -> {
            LaneReport report = holder.report(now);
            LaneReport last = lastReports.put(key, report);
            if (all || !report.equals(last)) {
                due.add(report);
            }
        });
        return due;
    }

    /** Tells whether any request waits for or runs on a lane of this host. */
    public boolean busy() {
        return !submissions.isEmpty();
    }

    /** Returns how many requests wait and run on each lane, for metrics. */
    public Map<String, Integer> load() {
        Map<String, Integer> load = new LinkedHashMap<>();
        lanes.forEach((key, holder) ->
                load.put(key.service() + "." + key.target(), holder.queuedCount() + holder.runningCount()));
        return load;
    }
}
