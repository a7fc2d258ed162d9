package org.dragonflymux.entry;

import java.time.Clock;
import java.time.Instant;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.dragonflymux.core.host.EntryHost;
import org.dragonflymux.core.message.Effect;
import org.dragonflymux.core.message.Event;

/** Runs an {@link EntryHost} on a single thread, which handles submitted events and passes on the resulting effects. */
public final class HostLoop implements AutoCloseable {

    private static final Logger LOG = LogManager.getLogger(HostLoop.class);

    private final EntryHost host;
    private final Clock clock;
    private final ScheduledExecutorService thread =
            Executors.newSingleThreadScheduledExecutor(task -> new Thread(task, "host-loop"));
    private Consumer<Effect> effectHandler = effect -> {};

    private HostLoop(EntryHost host, Clock clock) {
        this.host = host;
        this.clock = clock;
    }

    /** Returns a loop that is not started yet. */
    public static HostLoop of(EntryHost host, Clock clock) {
        return new HostLoop(host, clock);
    }

    /** Starts the periodic timer events. All effects are passed to the handler on the loop's thread. */
    public void start(Consumer<Effect> handler) {
        effectHandler = handler;
        long tickMillis = EntryHost.TICK.toMillis();
        thread.scheduleWithFixedDelay(() -> handle(new Event.Tick()), 0, tickMillis, TimeUnit.MILLISECONDS);
    }

    /** Queues an event for the host. Events submitted after {@link #close} are ignored. */
    public void submit(Event event) {
        try {
            thread.execute(() -> handle(event));
        } catch (RejectedExecutionException e) {
            LOG.debug("ignored an event that was submitted after the host loop was closed", e);
        }
    }

    private void handle(Event event) {
        try {
            Instant now = clock.instant();
            List<Effect> effects = host.on(event, now);
            effects.forEach(effectHandler);
        } catch (RuntimeException e) {
            LOG.error("failed to handle event {}", event.getClass().getSimpleName(), e);
        }
    }

    /** Runs a query on the host's thread, and waits for the result. */
    public <T> T ask(Callable<T> query) throws InterruptedException, ExecutionException {
        return thread.submit(query).get();
    }

    /** Returns the host, which only queries run by {@link #ask} may access. */
    public EntryHost host() {
        return host;
    }

    /** Returns the clock that supplies the host with the time. */
    public Clock clock() {
        return clock;
    }

    @Override
    public void close() {
        thread.shutdownNow();
    }
}
