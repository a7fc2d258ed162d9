package org.dragonflymux.core.gateway;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;
import org.dragonflymux.core.balance.TargetDirectory;
import org.dragonflymux.core.balance.TargetSelector;
import org.dragonflymux.core.balance.TargetState;
import org.dragonflymux.core.name.ServiceName;
import org.dragonflymux.core.name.TargetId;
import org.dragonflymux.core.shard.Assignment;
import org.dragonflymux.core.shard.ShardTable;

/** The requests that wait at this host for a target, and how long they are expected to. */
final class WaitingRequests {

    private final TargetDirectory directory;
    private final TargetSelector choice;
    private final FleetView fleet;
    private final Map<ServiceName, List<Exchange>> waiting = new HashMap<>();
    private final Map<ServiceName, ShardTable> tables = new HashMap<>();

    WaitingRequests(TargetDirectory directory, TargetSelector choice, FleetView fleet) {
        this.directory = directory;
        this.choice = choice;
        this.fleet = fleet;
    }

    /** Takes in who owns a service's keys. */
    void table(ServiceName service, ShardTable table) {
        tables.put(service, table);
    }

    /** Takes a request out, if it waits. */
    void remove(Exchange exchange) {
        if (exchange.waiting) {
            of(exchange.service.name()).remove(exchange);
            exchange.waiting = false;
        }
    }

    /** Returns the services that requests have waited for. */
    List<ServiceName> services() {
        return List.copyOf(waiting.keySet());
    }

    /** Returns how many requests wait for each service. */
    Map<ServiceName, Integer> countByService() {
        Map<ServiceName, Integer> result = new HashMap<>();
        waiting.forEach((service, list) -> result.put(service, list.size()));
        return result;
    }

    /** Returns how many requests wait for each owner of their keys. */
    Map<TargetId, Integer> countByOwner() {
        Map<TargetId, Integer> result = new HashMap<>();
        for (List<Exchange> list : waiting.values()) {
            for (Exchange exchange : list) {
                if (exchange.service.sharded()) {
                    owner(exchange).ifPresent(assignment -> result.merge(assignment.owner(), 1, Integer::sum));
                }
            }
        }
        return result;
    }

    /** Returns how long a request would wait until a target begins to work on it, in milliseconds. */
    double expectedMillis(Exchange exchange, long now) {
        ServiceName service = exchange.service.name();
        if (exchange.service.sharded()) {
            Optional<TargetState> owner = owner(exchange).flatMap(a -> directory.target(a.owner()));
            return owner.map(target -> expectedWaitAtOwner(exchange, target, now))
                    .orElse(0.0);
        }
        double guess = directory.meanServiceMillis(service);
        double perMilli = 0;
        double room = 0;
        for (TargetState target : directory.of(service)) {
            if (choice.usable(target, now)) {
                perMilli += target.entry().slots() / (target.serviceMillis(guess) * target.slowdown(now));
                room += target.entry().slots() - target.totalInFlight();
            }
        }
        double ahead = ahead(exchange).count() + fleet.waiting(service) + 1 - room;
        return ahead <= 0 ? 0 : perMilli == 0 ? Double.MAX_VALUE : ahead / perMilli;
    }

    private double expectedWaitAtOwner(Exchange exchange, TargetState target, long now) {
        double guess = directory.meanServiceMillis(exchange.service.name());
        long ahead = ahead(exchange)
                .filter(other -> owner(other)
                        .filter(a -> a.owner().equals(target.entry().id()))
                        .isPresent())
                .count();
        double full = ahead
                + target.waitingAtPeers()
                + target.totalInFlight()
                + 1
                - target.entry().slots();
        return full <= 0 ? 0 : target.estimatedMillisFor(full, guess, now);
    }

    private Stream<Exchange> ahead(Exchange exchange) {
        return of(exchange.service.name()).stream().filter(other -> other.priority <= exchange.priority);
    }

    /** Returns the requests that wait for a service, to be taken out of by whoever sends them. */
    List<Exchange> of(ServiceName service) {
        return waiting.getOrDefault(service, List.of());
    }

    /** Returns who owns a request's key, if anyone. */
    Optional<Assignment> owner(Exchange exchange) {
        ShardTable table = tables.get(exchange.service.name());
        return table == null ? Optional.empty() : table.assignmentOf(exchange.shardKey());
    }

    /** Returns whether a request's only target can't be reached: its keys move on when its grants have run out. */
    boolean ownerLost(Exchange exchange, long now) {
        return exchange.service.sharded()
                && owner(exchange)
                        .filter(assignment -> directory
                                .target(assignment.owner())
                                .map(target -> target.heldDown(now))
                                .orElse(true))
                        .isPresent();
    }

    /** Has a request wait for its turn. */
    void add(Exchange exchange) {
        exchange.waiting = true;
        waiting.computeIfAbsent(exchange.service.name(), _ -> new ArrayList<>()).add(exchange);
    }
}
