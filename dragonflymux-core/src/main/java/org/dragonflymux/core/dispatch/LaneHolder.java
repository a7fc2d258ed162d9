package org.dragonflymux.core.dispatch;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.stream.Stream;
import org.dragonflymux.core.assignment.KeyHash;
import org.dragonflymux.core.assignment.LaneReport;
import org.dragonflymux.core.assignment.Routes;
import org.dragonflymux.core.assignment.TargetHealth;
import org.dragonflymux.core.assignment.UnitLoad;
import org.dragonflymux.core.document.Fencing;
import org.dragonflymux.core.document.Lane;
import org.dragonflymux.core.document.LaneState;
import org.dragonflymux.core.document.ServiceDocument;
import org.dragonflymux.core.document.TargetDeclaration;
import org.dragonflymux.core.document.UnitMove;
import org.dragonflymux.core.grant.GrantKeeper;
import org.dragonflymux.core.message.RefusalReason;
import org.dragonflymux.core.name.TargetId;

/** A target and all that waits for it or runs on it, at the one host that sends to it. */
final class LaneHolder {

    private static final int QUEUED_PER_SLOT = 32;
    private static final int MAX_REPORTED_UNITS = 16;
    private static final Duration FRESH_CONNECTIONS = Duration.ofSeconds(30);
    private static final Duration LOAD_WINDOW = Duration.ofSeconds(5);

    private final ServiceDocument service;
    private final TargetDeclaration target;
    private final GrantKeeper grants;
    private final FairQueue queue;
    private final ConcurrencyWindow window;
    private final Map<Long, QueuedRequest> running = new HashMap<>();
    private final List<QueuedRequest> lingering = new ArrayList<>();
    private final Map<Integer, Instant> heldSince = new HashMap<>();
    private final Map<Integer, Integer> arrivals = new HashMap<>();
    private Routes routes;
    private Lane lane;
    private final Instant startedAt;
    private Instant loadSince;
    private List<UnitLoad> hottest = List.of();
    private Instant latestSentDeadline;
    private Instant freshConnectionsUntil = Instant.MIN;

    private LaneHolder(ServiceDocument service, TargetDeclaration target, Lane lane, Instant now) {
        this.service = service;
        this.target = target;
        this.lane = lane;
        this.startedAt = now;
        this.loadSince = now;
        this.latestSentDeadline = now.plusMillis(service.deadlineMillis());
        this.grants = lane.state() == LaneState.LOST
                ? GrantKeeper.probing(service.fencing(), now)
                : GrantKeeper.of(service.fencing(), now);
        this.queue = FairQueue.withCapacity(target.slots() * QUEUED_PER_SLOT);
        this.window = ConcurrencyWindow.cold(target.slots());
    }

    static LaneHolder of(ServiceDocument service, TargetDeclaration target, Lane lane, Instant now) {
        return new LaneHolder(service, target, lane, now);
    }

    ServiceDocument service() {
        return service;
    }

    TargetDeclaration target() {
        return target;
    }

    TargetId id() {
        return target.id();
    }

    long fence() {
        return lane.fence();
    }

    GrantKeeper grants() {
        return grants;
    }

    ConcurrencyWindow window() {
        return window;
    }

    int runningCount() {
        return running.size();
    }

    int queuedCount() {
        return queue.size();
    }

    /** Follows the table: which units the lane owns, and since when it has seen all their requests. */
    void follow(Routes next, Lane nextLane, Instant now) {
        Map<Integer, Instant> before = Map.copyOf(heldSince);
        Routes previous = routes;
        heldSince.clear();
        for (int unit = 0; unit < next.table().owners().size(); unit++) {
            if (next.owner(unit).filter(owner -> owner.target().equals(id())).isPresent()) {
                heldSince.put(unit, since(unit, next, previous, before, now));
            }
        }
        routes = next;
        lane = nextLane;
    }

    private static Instant since(int unit, Routes next, Routes previous, Map<Integer, Instant> before, Instant now) {
        int partitions = next.table().partitions();
        boolean newPin = unit >= partitions
                && previous != null
                && !previous.table().pins().contains(next.table().pins().get(unit - partitions));
        int origin = newPin
                ? KeyHash.partition(Long.parseUnsignedLong(next.table().pins().get(unit - partitions), 16), partitions)
                : unit;
        return before.getOrDefault(origin, now);
    }

    /** Returns since when this host has seen all requests for a unit. */
    Instant heldSince(int unit) {
        return heldSince.getOrDefault(unit, Instant.MAX);
    }

    /** Tells whether requests for a unit may be taken in. */
    Optional<RefusalReason> refusal(int unit) {
        if (lane.state() != LaneState.OPEN || !heldSince.containsKey(unit)) {
            return Optional.of(RefusalReason.NOT_DISPATCHER);
        }
        return routes.moving(unit) ? Optional.of(RefusalReason.KEY_MOVING) : Optional.empty();
    }

    /** Tells whether a request of a customer would wait past its deadline. */
    boolean wouldMiss(QueuedRequest request, Instant now) {
        int ahead = queue.ahead(request.request().customer()) + running.size();
        Duration wait = window.meanTime().multipliedBy(ahead).dividedBy(Math.max(1, window.size()));
        return now.plus(wait).plus(window.meanTime()).isAfter(request.deadline());
    }

    /** Queues a request; returns the one that gives way when the queue is full. */
    Optional<QueuedRequest> enqueue(QueuedRequest request, Instant now) {
        countArrival(request, now);
        return queue.add(request);
    }

    private void countArrival(QueuedRequest request, Instant now) {
        arrivals.merge(routes.unit(request.keyHash()), 1, Integer::sum);
        Duration elapsed = Duration.between(loadSince, now);
        if (elapsed.compareTo(LOAD_WINDOW) >= 0) {
            double seconds = elapsed.toMillis() / 1000.0;
            hottest = arrivals.entrySet().stream()
                    .map(entry -> new UnitLoad(entry.getKey(), entry.getValue() / seconds))
                    .sorted(Comparator.comparingDouble(UnitLoad::requestsPerSecond)
                            .reversed())
                    .limit(MAX_REPORTED_UNITS)
                    .toList();
            arrivals.clear();
            loadSince = now;
        }
    }

    /** Removes and returns the next request that may be sent now. */
    Optional<QueuedRequest> next(Instant now) {
        boolean aloneRunning = running.values().stream().anyMatch(QueuedRequest::suspect);
        if (running.size() >= window.size() || aloneRunning || !grants.usable(now)) {
            return Optional.empty();
        }
        return queue.poll(request -> running.isEmpty() || !request.suspect());
    }

    /** Notes that an open connection went silent although the target lives: others may have, too. */
    void connectionWentSilent(Instant now) {
        freshConnectionsUntil = now.plus(FRESH_CONNECTIONS);
    }

    /** Tells whether requests are to be sent over new connections only. */
    boolean freshConnectionsOnly(Instant now) {
        return now.isBefore(freshConnectionsUntil);
    }

    void started(long attempt, QueuedRequest request) {
        running.put(attempt, request);
        if (request.deadline().isAfter(latestSentDeadline)) {
            latestSentDeadline = request.deadline();
        }
    }

    /**
     * Takes in that an attempt ended.
     *
     * @param certain whether the target surely is done with it; else it counts as running until its deadline
     */
    void ended(long attempt, boolean certain) {
        QueuedRequest request = running.remove(attempt);
        if (request != null && !certain) {
            lingering.add(request);
        }
    }

    /** Returns the requests that run now and may run again. */
    List<QueuedRequest> repeatableRunning() {
        return running.values().stream().filter(QueuedRequest::repeatable).toList();
    }

    /** Removes and returns the waiting requests that match. */
    List<QueuedRequest> evict(Predicate<QueuedRequest> condition) {
        return queue.removeIf(condition);
    }

    /** Removes and returns the waiting requests that this lane may no longer send. */
    List<QueuedRequest> evictForeign() {
        return evict(request -> refusal(routes.unit(request.keyHash())).isPresent());
    }

    TargetHealth health(Instant now) {
        return grants.health(latestSentDeadline, now);
    }

    /** Tells whether nothing that an earlier dispatcher sent can still start. */
    private boolean predecessorDone(Instant now) {
        return switch (service.fencing()) {
            // The target refuses what comes under an earlier token.
            case CHECKED -> true;
            case DEADLINE -> !now.isBefore(startedAt.plusMillis(service.deadlineMillis()));
            case NONE -> answersSteadily(now);
        };
    }

    /** Tells whether a request whose end is not known can no longer start. */
    private boolean done(QueuedRequest request, Instant now) {
        return service.fencing() == Fencing.NONE ? answersSteadily(now) : !now.isBefore(request.deadline());
    }

    // A target that checks nothing starts what it had received soon after it answers again.
    private boolean answersSteadily(Instant now) {
        Instant since = grants.aliveSince(now);
        return !since.equals(Instant.MAX) && !now.isBefore(since.plusMillis(service.deadlineMillis()));
    }

    /** Returns what the assigner is to know. */
    LaneReport report(Instant now) {
        List<Long> closedMoves = new ArrayList<>();
        lingering.removeIf(request -> done(request, now));
        for (UnitMove move : routes.movesFrom(id())) {
            boolean busy = Stream.concat(running.values().stream(), lingering.stream())
                    .anyMatch(request -> routes.unit(request.keyHash()) == move.unit());
            if (!busy && predecessorDone(now)) {
                closedMoves.add(move.ticket());
            }
        }
        boolean closed = lane.state() == LaneState.CLOSING && running.isEmpty();
        return new LaneReport(service.name(), id(), fence(), health(now), closed, closedMoves, hottest);
    }
}
