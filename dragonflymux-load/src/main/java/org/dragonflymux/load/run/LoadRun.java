package org.dragonflymux.load.run;

import java.net.URI;
import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import org.dragonflymux.load.plan.LoadCustomer;
import org.dragonflymux.load.plan.LoadPlan;
import org.dragonflymux.load.plan.ScriptedChange;
import org.dragonflymux.runtime.http.RatpackExecutor;
import org.dragonflymux.runtime.http.TargetProtocol;
import ratpack.http.client.HttpClient;
import ratpack.http.client.RequestSpec;

/**
 * An open-loop load run: requests are sent at their scheduled times, regardless of how long earlier requests take.
 *
 * <p>The requests of a customer are scheduled at random times with the customer's mean rate. The duration of the run
 * and the number of requests in flight are bounded.
 */
public final class LoadRun {

    private static final int MAX_IN_FLIGHT = 4096;
    private static final int POOL_SIZE = 512;
    private static final int MAX_RESPONSE_BYTES = 64 << 20;
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);
    private static final Duration READ_TIMEOUT = Duration.ofSeconds(20);
    private static final Duration SCHEDULING_INTERVAL = Duration.ofNanos(200_000);

    private final LoadPlan plan;
    private final Clock clock;
    private final RequestFactory factory;
    private final HttpClient client;
    private final RatpackExecutor executor;
    private final RunRecord record = new RunRecord();
    private final Semaphore inFlight = new Semaphore(MAX_IN_FLIGHT);
    private final Map<String, LoadCustomer> customers = new HashMap<>();
    private final AtomicLong requestsSent = new AtomicLong();
    private final byte[] body;

    private LoadRun(LoadPlan plan, Clock clock, RatpackExecutor executor) {
        this.plan = plan;
        this.clock = clock;
        this.executor = executor;
        this.factory = new RequestFactory(plan);
        this.client = executor.client(POOL_SIZE, MAX_RESPONSE_BYTES, CONNECT_TIMEOUT);
        this.body = new byte[plan.bodyBytes()];
        plan.customers().forEach(customer -> customers.put(customer.name(), customer));
    }

    /** Runs a plan to its end and returns the measurements. */
    public static RunRecord run(LoadPlan plan, Clock clock, RatpackExecutor executor) {
        return new LoadRun(plan, clock, executor).run();
    }

    private RunRecord run() {
        Instant start = clock.instant();
        List<ScriptedChange> changes = new ArrayList<>(plan.changes());
        Duration scheduled = Duration.ZERO;
        while (scheduled.compareTo(plan.duration()) < 0) {
            waitUntil(start.plus(scheduled));
            double second = scheduled.toNanos() / 1e9;
            List<ScriptedChange> dueChanges = changes.stream()
                    .filter(change -> change.atSecond() <= second)
                    .toList();
            dueChanges.forEach(this::apply);
            changes.removeAll(dueChanges);
            for (LoadCustomer customer : List.copyOf(customers.values())) {
                sendScheduled(customer, start, scheduled);
            }
            scheduled = scheduled.plus(SCHEDULING_INTERVAL);
        }
        inFlight.acquireUninterruptibly(MAX_IN_FLIGHT);
        return record;
    }

    private void waitUntil(Instant instant) {
        Duration remaining = Duration.between(clock.instant(), instant);
        while (remaining.isPositive()) {
            LockSupport.parkNanos(remaining.toNanos());
            remaining = Duration.between(clock.instant(), instant);
        }
    }

    private void apply(ScriptedChange change) {
        switch (change) {
            case ScriptedChange.Rate rate ->
                customers.computeIfPresent(
                        rate.customer(), (_, current) -> current.withRate(current.ratePerSecond() * rate.factor()));
            case ScriptedChange.Fault fault ->
                executor.execute(
                        _ -> client.post(fault.address(), spec -> spec.getBody().text(fault.json()))
                                .then(_ -> {}),
                        _ -> {});
        }
    }

    private void sendScheduled(LoadCustomer customer, Instant start, Duration scheduled) {
        double expected = customer.ratePerSecond() * SCHEDULING_INTERVAL.toNanos() / 1e9;
        while (expected > 0) {
            if (factory.nextBoolean(Math.min(1, expected))) {
                send(customer, start, scheduled);
            }
            expected -= 1;
        }
    }

    private void send(LoadCustomer customer, Instant start, Duration scheduled) {
        RequestFactory.PlannedRequest planned = factory.next(clock.instant());
        if (!inFlight.tryAcquire()) {
            record.add(customer.name(), scheduled, Result.ERROR, Duration.ZERO);
            return;
        }
        URI entry = plan.entries()
                .get((int) (requestsSent.getAndIncrement() % plan.entries().size()));
        executor.execute(
                _ -> client.request(entry.resolve(planned.path()), spec -> configure(spec, customer, planned))
                        .onError(_ -> recordResult(customer, start, scheduled, Result.ERROR))
                        .then(response -> recordResult(
                                customer,
                                start,
                                scheduled,
                                ResponseValidator.of(response, planned, expectedCustomer(customer)))),
                _ -> recordResult(customer, start, scheduled, Result.ERROR));
    }

    private String expectedCustomer(LoadCustomer customer) {
        return plan.service().isEmpty() ? "" : customer.name();
    }

    private void configure(RequestSpec spec, LoadCustomer customer, RequestFactory.PlannedRequest planned) {
        spec.readTimeout(READ_TIMEOUT).redirects(0);
        if (!plan.service().isEmpty()) {
            spec.getHeaders().set("Authorization", "Bearer " + customer.credential());
        }
        if (planned.idempotencyKey() != null) {
            spec.post().getHeaders().set(TargetProtocol.IDEMPOTENCY_HEADER, planned.idempotencyKey());
        }
        if (body.length > 0) {
            spec.getBody().bytes(body);
        }
    }

    private void recordResult(LoadCustomer customer, Instant start, Duration scheduled, Result result) {
        inFlight.release();
        record.add(customer.name(), scheduled, result, Duration.between(start.plus(scheduled), clock.instant()));
    }
}
