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
import org.dragonflymux.core.grant.GrantManager;
import org.dragonflymux.core.message.RefusalReason;
import org.dragonflymux.core.name.TargetId;

/** A lane at its dispatcher: the target with its queue, its running requests and its grants. */
final class DispatchLane {

    private static final int QUEUED_PER_SLOT = 32;
    private static final int MAX_REPORTED_UNITS = 16;
    private static final Duration FRESH_CONNECTION_PERIOD = Duration.ofSeconds(30);
    private static final Duration LOAD_WINDOW = Duration.ofSeconds(5);

    private final ServiceDocument service;
    private final TargetDeclaration target;
    private final GrantManager grants;
    private final FairQueue queue;
    private final ConcurrencyWindow window;
    private final Map<Long, QueuedRequest> running = new HashMap<>();
    private final List<QueuedRequest> unresolved = new ArrayList<>();
    private final Map<Integer, Instant> ownedSince = new HashMap<>();
    private final Map<Integer, Integer> arrivals = new HashMap<>();
    private Routes routes;
    private Lane lane;
    private final Instant startedAt;
    private Instant loadSince;
    private List<UnitLoad> hottest = List.of();
    private Instant latestSentDeadline;
    private Instant freshConnectionsUntil = Instant.MIN;

    private DispatchLane(ServiceDocument service, TargetDeclaration target, Lane lane, Instant now) {
        this.service = service;
        this.target = target;
        this.lane = lane;
        this.startedAt = now;
        this.loadSince = now;
        this.latestSentDeadline = now.plusMillis(service.deadlineMillis());
        this.grants = lane.state() == LaneState.LOST
                ? GrantManager.probing(service.fencing(), now)
                : GrantManager.of(service.fencing(), now);
        this.queue = FairQueue.withCapacity(target.slots() * QUEUED_PER_SLOT);
        this.window = ConcurrencyWindow.cold(target.slots());
    }

    static DispatchLane of(ServiceDocument service, TargetDeclaration target, Lane lane, Instant now) {
        return new DispatchLane(service, target, lane, now);
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

    GrantManager grants() {
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

    /**
     * Updates, from a new table, which units the lane owns and since when this host has received all their requests.
     */
    void update(Routes next, Lane nextLane, Instant now) {
        Map<Integer, Instant> before = Map.copyOf(ownedSince);
        Routes previous = routes;
        ownedSince.clear();
        for (int unit = 0; unit < next.table().owners().size(); unit++) {
            if (next.owner(unit).filter(owner -> owner.target().equals(id())).isPresent()) {
                ownedSince.put(unit, ownershipStart(unit, next, previous, before, now));
            }
        }
        routes = next;
        lane = nextLane;
    }

    private static Instant ownershipStart(
            int unit, Routes next, Routes previous, Map<Integer, Instant> before, Instant now) {
        int partitions = next.table().partitions();
        boolean newPin = unit >= partitions
                && previous != null
                && !previous.table().pins().contains(next.table().pins().get(unit - partitions));
        int origin = newPin
                ? KeyHash.partition(Long.parseUnsignedLong(next.table().pins().get(unit - partitions), 16), partitions)
                : unit;
        return before.getOrDefault(origin, now);
    }

    /**
     * Returns the time since which this host has received all requests for a unit, {@link Instant#MAX} if it is not
     * owned.
     */
    Instant ownedSince(int unit) {
        return ownedSince.getOrDefault(unit, Instant.MAX);
    }

    /** Returns the reason for which requests for a unit must be refused, if there is one. */
    Optional<RefusalReason> refusal(int unit) {
        if (lane.state() != LaneState.OPEN || !ownedSince.containsKey(unit)) {
            return Optional.of(RefusalReason.NOT_DISPATCHER);
        }
        return routes.moving(unit) ? Optional.of(RefusalReason.KEY_MOVING) : Optional.empty();
    }

    /** Returns whether a request is expected to miss its deadline. */
    boolean wouldMissDeadline(QueuedRequest request, Instant now) {
        int ahead = queue.countAhead(request.request().customer()) + running.size();
        Duration wait = window.meanTime().multipliedBy(ahead).dividedBy(Math.max(1, window.size()));
        return now.plus(wait).plus(window.meanTime()).isAfter(request.deadline());
    }

    /** Queues a request, and returns the one that was dropped if the queue was full. */
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
        boolean suspectRunning = running.values().stream().anyMatch(QueuedRequest::suspect);
        if (running.size() >= window.size() || suspectRunning || !grants.usable(now)) {
            return Optional.empty();
        }
        return queue.poll(request -> running.isEmpty() || !request.suspect());
    }

    /** Records that an open connection stopped responding although the target is alive; others may have as well. */
    void connectionUnresponsive(Instant now) {
        freshConnectionsUntil = now.plus(FRESH_CONNECTION_PERIOD);
    }

    /** Returns whether requests must be sent over new connections only. */
    boolean freshConnectionsOnly(Instant now) {
        return now.isBefore(freshConnectionsUntil);
    }

    void recordSent(long attempt, QueuedRequest request) {
        running.put(attempt, request);
        if (request.deadline().isAfter(latestSentDeadline)) {
            latestSentDeadline = request.deadline();
        }
    }

    /**
     * Records the end of an attempt.
     *
     * @param certain whether the target has certainly finished the request; otherwise the request counts as unresolved
     *     until it can no longer start
     */
    void recordEnded(long attempt, boolean certain) {
        QueuedRequest request = running.remove(attempt);
        if (request != null && !certain) {
            unresolved.add(request);
        }
    }

    /** Returns the running requests that may run again. */
    List<QueuedRequest> repeatableRunning() {
        return running.values().stream().filter(QueuedRequest::repeatable).toList();
    }

    /** Removes and returns the waiting requests that match a condition. */
    List<QueuedRequest> evict(Predicate<QueuedRequest> condition) {
        return queue.removeIf(condition);
    }

    /** Removes and returns the waiting requests that this lane may no longer send. */
    List<QueuedRequest> evictRefused() {
        return evict(request -> refusal(routes.unit(request.keyHash())).isPresent());
    }

    TargetHealth health(Instant now) {
        return grants.health(latestSentDeadline, now);
    }

    /** Returns whether no request that an earlier dispatcher sent can still start. */
    private boolean predecessorFinished(Instant now) {
        return switch (service.fencing()) {
            // The target refuses requests with an earlier fencing token.
            case CHECKED -> true;
            case DEADLINE -> !now.isBefore(startedAt.plusMillis(service.deadlineMillis()));
            case NONE -> answersSteadily(now);
        };
    }

    /** Returns whether a request without a known result can no longer start on the target. */
    private boolean canNoLongerStart(QueuedRequest request, Instant now) {
        return service.fencing() == Fencing.NONE ? answersSteadily(now) : !now.isBefore(request.deadline());
    }

    // A target without fencing starts the requests that it had received soon after it answers again.
    private boolean answersSteadily(Instant now) {
        Instant since = grants.aliveSince(now);
        return !since.equals(Instant.MAX) && !now.isBefore(since.plusMillis(service.deadlineMillis()));
    }

    /** Returns the report on this lane for the assigner. */
    LaneReport report(Instant now) {
        List<Long> closedMoves = new ArrayList<>();
        unresolved.removeIf(request -> canNoLongerStart(request, now));
        for (UnitMove move : routes.movesFrom(id())) {
            boolean unfinished = Stream.concat(running.values().stream(), unresolved.stream())
                    .anyMatch(request -> routes.unit(request.keyHash()) == move.unit());
            if (!unfinished && predecessorFinished(now)) {
                closedMoves.add(move.ticket());
            }
        }
        boolean closed = lane.state() == LaneState.CLOSING && running.isEmpty();
        return new LaneReport(service.name(), id(), fence(), health(now), closed, closedMoves, hottest);
    }
}
