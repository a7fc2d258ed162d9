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

/** Runs an {@link EntryHost} on one thread: events in from all shells, effects out to the one that carries them out. */
public final class HostLoop implements AutoCloseable {

    private static final Logger LOG = LogManager.getLogger(HostLoop.class);

    private final EntryHost host;
    private final Clock clock;
    private final ScheduledExecutorService thread =
            Executors.newSingleThreadScheduledExecutor(task -> new Thread(task, "host-loop"));
    private Consumer<Effect> shell = effect -> {};

    private HostLoop(EntryHost host, Clock clock) {
        this.host = host;
        this.clock = clock;
    }

    /** Returns a loop that does not run yet. */
    public static HostLoop of(EntryHost host, Clock clock) {
        return new HostLoop(host, clock);
    }

    /** Starts the loop. */
    public void start(Consumer<Effect> effects) {
        shell = effects;
        long tick = EntryHost.TICK.toMillis();
        thread.scheduleWithFixedDelay(() -> handle(new Event.Tick()), 0, tick, TimeUnit.MILLISECONDS);
    }

    /** Hands an event to the host. */
    public void submit(Event event) {
        try {
            thread.execute(() -> handle(event));
        } catch (RejectedExecutionException e) {
            LOG.debug("an event came after the end", e);
        }
    }

    private void handle(Event event) {
        try {
            Instant now = clock.instant();
            List<Effect> effects = host.on(event, now);
            effects.forEach(shell);
        } catch (RuntimeException e) {
            LOG.error("an event could not be handled: {}", event.getClass().getSimpleName(), e);
        }
    }

    /** Asks the host something on its own thread. */
    public <T> T ask(Callable<T> question) throws InterruptedException, ExecutionException {
        return thread.submit(question).get();
    }

    /** Returns the host, for questions asked with {@link #ask}. */
    public EntryHost host() {
        return host;
    }

    /** Returns the clock by which the host acts. */
    public Clock clock() {
        return clock;
    }

    @Override
    public void close() {
        thread.shutdownNow();
    }
}
