package org.dragonflymux.scenarios.bench;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BooleanSupplier;
import org.dragonflymux.core.message.Header;
import org.dragonflymux.core.message.Outcome;
import org.dragonflymux.core.message.ServiceRequest;

/** Watches everything that runs and every answer for breaches of what must always hold. */
public final class Checkers {

    /** The header by which a target tells one call from another with the same path. */
    static final String CALL_HEADER = "Call";

    private record Run(String target, Instant from, BooleanSupplier mayTakeEffect) {}

    private final List<String> breaches = new ArrayList<>();
    private final Map<String, Run> lastRunByKey = new HashMap<>();
    private final Map<String, Integer> runsByIdempotencyKey = new HashMap<>();
    private final Set<String> callsRun = new HashSet<>();
    private final Map<String, List<Instant>> startsByTarget = new HashMap<>();
    private final Map<String, List<Instant>> admissionsByCustomer = new HashMap<>();
    private int crashes;

    /**
     * A target began to run a request.
     *
     * @param mayTakeEffect tells whether the run goes on and may still take effect
     */
    void started(String target, ServiceRequest request, BooleanSupplier mayTakeEffect, Instant now) {
        startsByTarget.computeIfAbsent(target, name -> new ArrayList<>()).add(now);
        callsRun.add(call(request));
        String key = request.service() + "/" + request.key();
        Run last = lastRunByKey.get(key);
        if (last != null
                && !last.target().equals(target)
                && last.mayTakeEffect().getAsBoolean()) {
            breaches.add("two owners: %s runs on %s while it runs on %s".formatted(key, target, last.target()));
        }
        lastRunByKey.put(key, new Run(target, now, mayTakeEffect));
        if (request.idempotencyKey() != null) {
            int runs = runsByIdempotencyKey.merge(request.idempotencyKey(), 1, Integer::sum);
            if (runs > 1) {
                breaches.add("second run of " + request.path());
            }
        }
    }

    /** A target ran a request to its end. */
    void finished(String target, ServiceRequest request, Instant now) {
        String key = request.service() + "/" + request.key();
        Run last = lastRunByKey.get(key);
        if (last != null && !last.target().equals(target) && now.isAfter(last.from())) {
            breaches.add("two owners: %s took effect on %s after it began on %s".formatted(key, target, last.target()));
        }
    }

    /** A target crashed under a request. */
    void crashed(ServiceRequest request) {
        crashes++;
        callsRun.add(call(request));
    }

    private static String call(ServiceRequest request) {
        return request.headers().stream()
                .filter(header -> header.name().equals(CALL_HEADER))
                .map(Header::value)
                .findFirst()
                .orElse("");
    }

    /** A host spent a token on a customer's request. */
    void admitted(String customer, Instant now) {
        admissionsByCustomer
                .computeIfAbsent(customer, name -> new ArrayList<>())
                .add(now);
    }

    /** A caller was answered. */
    void answered(long call, String path, Outcome outcome) {
        if (outcome instanceof Outcome.Refused refused && callsRun.contains(Long.toString(call))) {
            breaches.add("false 'not run' (%s) of %s".formatted(refused.reason(), path));
        }
        if (outcome instanceof Outcome.Answered answered) {
            String body = new String(answered.body(), java.nio.charset.StandardCharsets.UTF_8);
            if (!body.equals(path)) {
                breaches.add("foreign answer: asked " + path + ", got " + body);
            }
        }
    }

    /** A host's copy of a key went from one revision to another. */
    void revision(String host, String key, long before, long after) {
        if (after < before) {
            breaches.add("%s went back from revision %d to %d of %s".formatted(host, before, after, key));
        }
    }

    /** Notes a breach that a scenario found. */
    public void breach(String text) {
        breaches.add(text);
    }

    /** Returns all breaches so far. */
    public List<String> breaches() {
        return List.copyOf(breaches);
    }

    /** Returns how many targets crashed. */
    public int crashes() {
        return crashes;
    }

    /** Returns how many requests started on a target since an instant. */
    public long startsSince(String target, Instant since) {
        return startsByTarget.getOrDefault(target, List.of()).stream()
                .filter(at -> at.isAfter(since))
                .count();
    }

    /** Returns the most requests of a customer that were admitted within any window of a length. */
    public int mostWithin(String customer, Duration window) {
        List<Instant> admitted = admissionsByCustomer.getOrDefault(customer, List.of());
        int most = 0;
        int from = 0;
        for (int to = 0; to < admitted.size(); to++) {
            while (admitted.get(from).plus(window).isBefore(admitted.get(to))) {
                from++;
            }
            most = Math.max(most, to - from + 1);
        }
        return most;
    }
}
