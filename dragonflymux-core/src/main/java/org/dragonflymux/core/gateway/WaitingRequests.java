package org.dragonflymux.core.gateway;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.stream.Stream;
import org.dragonflymux.core.balance.TargetDirectory;
import org.dragonflymux.core.balance.TargetSelector;
import org.dragonflymux.core.balance.TargetState;
import org.dragonflymux.core.name.ServiceName;
import org.dragonflymux.core.name.TargetId;
import org.dragonflymux.core.shard.Assignment;
import org.dragonflymux.core.shard.ShardTable;

/** The requests that wait at this host for a target, and their expected waiting times. */
final class WaitingRequests {

    /** When to retry requests for the keys of an owner that is lost or has left: the keys may have moved by then. */
    private static final long MILLIS_UNTIL_MOVED = 500;

    private final TargetDirectory directory;
    private final TargetSelector targetSelector;
    private final FleetView fleet;
    private final long leavingGraceMillis;
    private final Map<ServiceName, List<Exchange>> waiting = new HashMap<>();
    private final Map<ServiceName, ShardTable> tables = new HashMap<>();

    /**
     * Creates an empty queue.
     *
     * @param leavingGraceMillis for how long the owner of a key gets requests after it announced that it is leaving
     */
    WaitingRequests(
            TargetDirectory directory, TargetSelector targetSelector, FleetView fleet, long leavingGraceMillis) {
        this.directory = directory;
        this.targetSelector = targetSelector;
        this.fleet = fleet;
        this.leavingGraceMillis = leavingGraceMillis;
    }

    /** Replaces the table of the owners of a service's keys. */
    void replaceTable(ServiceName service, ShardTable table) {
        tables.put(service, table);
    }

    /** Removes a request if it is waiting. */
    void remove(Exchange exchange) {
        if (exchange.waiting) {
            forService(exchange.service.name()).remove(exchange);
            exchange.waiting = false;
        }
    }

    /** Returns the services for which requests are or were waiting. */
    List<ServiceName> services() {
        return List.copyOf(waiting.keySet());
    }

    /** Returns whether any request waits. */
    boolean any() {
        return waiting.values().stream().anyMatch(list -> !list.isEmpty());
    }

    /** Returns how many requests wait for each service. */
    Map<ServiceName, Integer> countByService() {
        Map<ServiceName, Integer> result = new HashMap<>();
        waiting.forEach((service, list) -> result.put(service, list.size()));
        return result;
    }

    /** Returns how many requests wait for each service, by priority class. Class 0, the most urgent, is left out. */
    Map<WaitingClass, Integer> countByClass() {
        Map<WaitingClass, Integer> result = new HashMap<>();
        for (List<Exchange> list : waiting.values()) {
            for (Exchange exchange : list) {
                WaitingClass itsClass = classOf(exchange);
                if (itsClass.priorityClass() > 0) {
                    result.merge(itsClass, 1, Integer::sum);
                }
            }
        }
        return result;
    }

    private static WaitingClass classOf(Exchange exchange) {
        return WaitingClass.of(exchange.service.name(), exchange.priority);
    }

    /** Returns how many requests wait for each target that owns their keys. */
    Map<TargetId, Integer> countByOwner() {
        Map<TargetId, Integer> result = new HashMap<>();
        for (List<Exchange> list : waiting.values()) {
            for (Exchange exchange : list) {
                if (exchange.service.sharded()) {
                    assignmentOf(exchange).ifPresent(assignment -> result.merge(assignment.owner(), 1, Integer::sum));
                }
            }
        }
        return result;
    }

    /**
     * Returns the expected time until a target starts to work on a request, in milliseconds. Of the waiting requests, only
     * those that are at least as urgent count, here and at other hosts.
     */
    double expectedWaitMillis(Exchange exchange, long now) {
        ServiceName service = exchange.service.name();
        if (exchange.service.sharded()) {
            Optional<TargetState> owner =
                    assignmentOf(exchange).flatMap(assignment -> directory.target(assignment.owner()));
            return owner.map(target -> expectedWaitAtOwnerMillis(exchange, target, now))
                    .orElse(0.0);
        }
        double defaultMillis = directory.meanServiceMillis(service);
        double completionsPerMilli = 0;
        double freeSlots = 0;
        for (TargetState target : directory.forService(service)) {
            if (targetSelector.usable(target, now)) {
                completionsPerMilli +=
                        target.entry().slots() / (target.serviceMillis(defaultMillis) * target.slowdown(now));
                freeSlots += target.entry().slots() - target.totalInFlight();
            }
        }
        double ahead = requestsAhead(exchange).count() + fleet.waitingAtPeers(classOf(exchange)) + 1 - freeSlots;
        return ahead <= 0 ? 0 : completionsPerMilli == 0 ? Double.MAX_VALUE : ahead / completionsPerMilli;
    }

    private double expectedWaitAtOwnerMillis(Exchange exchange, TargetState target, long now) {
        double defaultMillis = directory.meanServiceMillis(exchange.service.name());
        long ahead = requestsAhead(exchange)
                .filter(other -> assignmentOf(other)
                        .filter(assignment ->
                                assignment.owner().equals(target.entry().id()))
                        .isPresent())
                .count();
        // What waits for one target is reported without classes, so what waits for its service bounds it.
        int aheadAtPeers = Math.min(target.waitingAtPeers(), fleet.waitingAtPeers(classOf(exchange)));
        double requestsBeyondSlots = ahead
                + aheadAtPeers
                + target.totalInFlight()
                + 1
                - target.entry().slots();
        return requestsBeyondSlots <= 0 ? 0 : target.estimatedMillisFor(requestsBeyondSlots, defaultMillis, now);
    }

    private Stream<Exchange> requestsAhead(Exchange exchange) {
        return forService(exchange.service.name()).stream().filter(other -> other.priority <= exchange.priority);
    }

    /** Returns the mutable list of requests that wait for a service; callers remove the requests that they send. */
    List<Exchange> forService(ServiceName service) {
        return waiting.getOrDefault(service, List.of());
    }

    /** Returns the assignment of a request's key, if there is one. */
    Optional<Assignment> assignmentOf(Exchange exchange) {
        ShardTable table = tables.get(exchange.service.name());
        return table == null ? Optional.empty() : table.assignmentOf(exchange.shardKey());
    }

    /** Returns the owner of a request's key if a request may be sent to it now. */
    Optional<TargetState> availableOwner(Exchange exchange, int maxQueued, long now) {
        return assignmentOf(exchange)
                .filter(assignment -> assignment.move().isEmpty())
                .flatMap(assignment -> directory
                        .target(assignment.owner())
                        .filter(target -> target.entry().incarnation() == assignment.incarnation()))
                .filter(target -> targetSelector.usableOwner(target, leavingGraceMillis, now))
                .filter(target -> target.hasRoom(maxQueued));
    }

    /**
     * Returns when to retry a request that can't be served now: the owner of its key is missing, is held back or has left,
     * and no other target may run it until the key has moved. Empty if the request may be served.
     */
    OptionalLong millisUntilOwnerReturns(Exchange exchange, long now) {
        if (!exchange.service.sharded()) {
            return OptionalLong.empty();
        }
        Optional<Assignment> assignment = assignmentOf(exchange);
        if (assignment.isEmpty()) {
            return OptionalLong.empty();
        }
        Optional<TargetState> owner = directory.target(assignment.get().owner());
        boolean left =
                owner.isEmpty() || now - leavingGraceMillis >= owner.get().leavingSince();
        if (left) {
            return OptionalLong.of(MILLIS_UNTIL_MOVED);
        }
        long heldBackMillis = owner.get().heldBackUntil() - now;
        return heldBackMillis <= 0
                ? OptionalLong.empty()
                : OptionalLong.of(Math.max(heldBackMillis, MILLIS_UNTIL_MOVED));
    }

    /** Adds a request to those that wait for its service. */
    void add(Exchange exchange) {
        exchange.waiting = true;
        waiting.computeIfAbsent(exchange.service.name(), _ -> new ArrayList<>()).add(exchange);
    }
}
