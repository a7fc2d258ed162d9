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
 * One run of load, open-loop: requests are sent when they are due, however long earlier ones take.
 *
 * <p>Requests of a customer are due at random with the customer's mean rate. The run is bounded in time and in requests
 * under way.
 */
public final class LoadRun {

    private static final int MAX_UNDER_WAY = 4096;
    private static final int POOL_SIZE = 512;
    private static final int MAX_ANSWER_BYTES = 64 << 20;
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);
    private static final Duration READ_TIMEOUT = Duration.ofSeconds(20);
    private static final Duration SLOT = Duration.ofNanos(200_000);

    private final LoadPlan plan;
    private final Clock clock;
    private final RequestFactory factory;
    private final HttpClient client;
    private final RatpackExecutor executor;
    private final RunRecord record = new RunRecord();
    private final Semaphore underWay = new Semaphore(MAX_UNDER_WAY);
    private final Map<String, LoadCustomer> customers = new HashMap<>();
    private final AtomicLong sent = new AtomicLong();
    private final byte[] body;

    private LoadRun(LoadPlan plan, Clock clock, RatpackExecutor executor) {
        this.plan = plan;
        this.clock = clock;
        this.executor = executor;
        this.factory = new RequestFactory(plan);
        this.client = executor.client(POOL_SIZE, MAX_ANSWER_BYTES, CONNECT_TIMEOUT);
        this.body = new byte[plan.bodyBytes()];
        plan.customers().forEach(customer -> customers.put(customer.name(), customer));
    }

    /** Runs a plan to its end and returns what was measured. */
    public static RunRecord run(LoadPlan plan, Clock clock, RatpackExecutor executor) {
        return new LoadRun(plan, clock, executor).run();
    }

    private RunRecord run() {
        Instant start = clock.instant();
        List<ScriptedChange> changes = new ArrayList<>(plan.changes());
        Duration due = Duration.ZERO;
        while (due.compareTo(plan.duration()) < 0) {
            waitUntil(start.plus(due));
            double second = due.toNanos() / 1e9;
            List<ScriptedChange> now = changes.stream()
                    .filter(change -> change.atSecond() <= second)
                    .toList();
            now.forEach(this::change);
            changes.removeAll(now);
            for (LoadCustomer customer : List.copyOf(customers.values())) {
                sendDue(customer, start, due);
            }
            due = due.plus(SLOT);
        }
        underWay.acquireUninterruptibly(MAX_UNDER_WAY);
        return record;
    }

    private void waitUntil(Instant instant) {
        Duration left = Duration.between(clock.instant(), instant);
        while (left.isPositive()) {
            LockSupport.parkNanos(left.toNanos());
            left = Duration.between(clock.instant(), instant);
        }
    }

    private void change(ScriptedChange change) {
        switch (change) {
            case ScriptedChange.Rate rate ->
                customers.computeIfPresent(
                        rate.customer(), (_, known) -> known.at(known.ratePerSecond() * rate.factor()));
            case ScriptedChange.Fault fault ->
                executor.execute(
                        _ -> client.post(fault.address(), spec -> spec.getBody().text(fault.json()))
                                .then(_ -> {}),
                        _ -> {});
        }
    }

    private void sendDue(LoadCustomer customer, Instant start, Duration due) {
        double expected = customer.ratePerSecond() * SLOT.toNanos() / 1e9;
        while (expected > 0) {
            if (factory.chance(Math.min(1, expected))) {
                send(customer, start, due);
            }
            expected -= 1;
        }
    }

    private void send(LoadCustomer customer, Instant start, Duration due) {
        RequestFactory.Planned planned = factory.next(clock.instant());
        if (!underWay.tryAcquire()) {
            record.add(customer.name(), due, Result.ERROR, Duration.ZERO);
            return;
        }
        URI entry = plan.entries()
                .get((int) (sent.getAndIncrement() % plan.entries().size()));
        executor.execute(
                _ -> client.request(entry.resolve(planned.path()), spec -> fill(spec, customer, planned))
                        .onError(_ -> end(customer, start, due, Result.ERROR))
                        .then(response ->
                                end(customer, start, due, AnswerCheck.of(response, planned, customerSeen(customer)))),
                _ -> end(customer, start, due, Result.ERROR));
    }

    private String customerSeen(LoadCustomer customer) {
        return plan.service().isEmpty() ? "" : customer.name();
    }

    private void fill(RequestSpec spec, LoadCustomer customer, RequestFactory.Planned planned) {
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

    private void end(LoadCustomer customer, Instant start, Duration due, Result result) {
        underWay.release();
        record.add(customer.name(), due, result, Duration.between(start.plus(due), clock.instant()));
    }
}
