package org.dragonflymux.gateway.control.simulation;

import java.util.HashMap;
import java.util.Map;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.LongPredicate;
import org.dragonflymux.core.balance.TargetEntry;
import org.dragonflymux.core.name.TargetId;
import org.dragonflymux.core.shard.GrantEffect;
import org.dragonflymux.core.shard.GrantResult;
import org.dragonflymux.gateway.control.GrantClient;

/**
 * The client of one process of a host. Like the real one it has connections for grants only, and keeps each as long as the process
 * at its other end takes them.
 */
final class SimulatedGrantClient implements GrantClient {

    private final String host;
    private final SimulatedTargets targets;
    private final Consumer<Runnable> delivery;
    /** The incarnation at the other end of each connection that is kept. */
    private Map<Endpoint, Long> proven = new HashMap<>();

    /** A target with the incarnation that this host knows. */
    private record Endpoint(TargetId target, long incarnation) {}

    /**
     * Creates a client without connections.
     *
     * @param delivery runs what handles an answer
     */
    SimulatedGrantClient(String host, SimulatedTargets targets, Consumer<Runnable> delivery) {
        this.host = host;
        this.targets = targets;
        this.delivery = delivery;
    }

    @Override
    public void grant(
            TargetEntry to,
            GrantEffect.Grant grant,
            long timeoutMillis,
            BooleanSupplier termConfirmed,
            Consumer<GrantResult> result) {
        Endpoint endpoint = new Endpoint(to.id(), to.incarnation());
        BooleanSupplier mayConnect = grant.connection() == GrantEffect.Connection.ANY ? termConfirmed : () -> false;
        Long process = proven.get(endpoint);
        if (process != null && !targets.runs(to.id(), process)) {
            proven.remove(endpoint);
            process = null;
        }
        if (process == null && !mayConnect.getAsBoolean()) {
            delivery.accept(() -> result.accept(new GrantResult.NotSent()));
            return;
        }
        Attempt attempt = new Attempt(endpoint, process, mayConnect, proven);
        targets.grant(host, to, grant, timeoutMillis, attempt, outcome -> {
            attempt.ended(outcome);
            delivery.accept(() -> result.accept(outcome));
        });
    }

    @Override
    public void release(TargetEntry to, GrantEffect.Release release, long timeoutMillis, Consumer<GrantResult> result) {
        targets.release(host, to, release, timeoutMillis, outcome -> delivery.accept(() -> result.accept(outcome)));
    }

    @Override
    public void termEnded() {
        proven = new HashMap<>();
    }

    /** One grant on its connection, which is a new one unless the process at the other end is known. */
    private static final class Attempt implements LongPredicate {

        private final Endpoint endpoint;
        private final Long process;
        private final BooleanSupplier mayConnect;
        private final Map<Endpoint, Long> connections;
        private long reached;

        private Attempt(Endpoint endpoint, Long process, BooleanSupplier mayConnect, Map<Endpoint, Long> connections) {
            this.endpoint = endpoint;
            this.process = process;
            this.mayConnect = mayConnect;
            this.connections = connections;
        }

        /** Returns whether the grant is written, now that a connection to an incarnation is there. */
        @Override
        public boolean test(long incarnation) {
            reached = incarnation;
            return process == null ? mayConnect.getAsBoolean() : process == incarnation;
        }

        private void ended(GrantResult outcome) {
            if (outcome instanceof GrantResult.Done) {
                connections.put(endpoint, reached);
            } else {
                connections.remove(endpoint);
            }
        }
    }
}
