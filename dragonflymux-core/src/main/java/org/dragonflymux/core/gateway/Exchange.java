package org.dragonflymux.core.gateway;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.dragonflymux.core.desired.CustomerSpec;
import org.dragonflymux.core.desired.Route;
import org.dragonflymux.core.desired.ServiceSpec;
import org.dragonflymux.core.name.TargetId;
import org.dragonflymux.core.quota.Token;

/** The state of a request from its admission to its final answer. */
final class Exchange {

    final ArrivedRequest request;
    final Route route;
    final ServiceSpec service;
    final Optional<CustomerSpec> customer;
    final int priority;
    final long arrivedAt;
    final long deadline;
    final Set<TargetId> tried = new HashSet<>();
    final List<Attempt> running = new ArrayList<>();
    int attempts;
    boolean mayHaveRun;
    boolean waiting;
    boolean awaitsToken;
    Optional<Token> token = Optional.empty();
    boolean done;
    long retryAt = Long.MIN_VALUE;

    Exchange(
            ArrivedRequest request,
            Route route,
            ServiceSpec service,
            Optional<CustomerSpec> customer,
            long arrivedAt,
            long deadline) {
        this.request = request;
        this.route = route;
        this.service = service;
        this.customer = customer;
        this.priority = customer.map(c -> c.priority().orElse(route.priority())).orElse(route.priority());
        this.arrivedAt = arrivedAt;
        this.deadline = deadline;
    }

    int shardKey() {
        return request.shardKey().orElse(-1);
    }

    boolean mayRetry() {
        return attempts < route.maxAttempts() && (route.repeatable() || !mayHaveRun);
    }
}
