package org.dragonflymux.scenarios.simulation;

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

/**
 * Checks the invariants of the protocol on every run of a request, every response and every replica, and records
 * violations.
 */
public final class InvariantChecker {

    /** The request header that contains the id of the call, since several calls may have the same path. */
    static final String CALL_HEADER = "Call";

    private record Run(String target, Instant startedAt, BooleanSupplier mayTakeEffect) {}

    private final List<String> violations = new ArrayList<>();
    private final Map<String, Run> lastRunByKey = new HashMap<>();
    private final Map<String, Integer> runsByIdempotencyKey = new HashMap<>();
    private final Set<String> startedCalls = new HashSet<>();
    private final Map<String, List<Instant>> startsByTarget = new HashMap<>();
    private final Map<String, List<Instant>> admissionsByCustomer = new HashMap<>();
    private int crashes;

    /**
     * Records that a target started a request.
     *
     * @param mayTakeEffect returns whether the request is still running and may take effect
     */
    void requestStarted(String target, ServiceRequest request, BooleanSupplier mayTakeEffect, Instant now) {
        startsByTarget.computeIfAbsent(target, name -> new ArrayList<>()).add(now);
        startedCalls.add(callId(request));
        String key = request.service() + "/" + request.key();
        Run last = lastRunByKey.get(key);
        if (last != null
                && !last.target().equals(target)
                && last.mayTakeEffect().getAsBoolean()) {
            violations.add("two owners: %s started on %s while running on %s".formatted(key, target, last.target()));
        }
        lastRunByKey.put(key, new Run(target, now, mayTakeEffect));
        if (request.idempotencyKey() != null) {
            int runs = runsByIdempotencyKey.merge(request.idempotencyKey(), 1, Integer::sum);
            if (runs > 1) {
                violations.add("request with an idempotency key ran twice: " + request.path());
            }
        }
    }

    /** Records that a target completed a request. */
    void requestCompleted(String target, ServiceRequest request, Instant now) {
        String key = request.service() + "/" + request.key();
        Run last = lastRunByKey.get(key);
        if (last != null && !last.target().equals(target) && now.isAfter(last.startedAt())) {
            violations.add(
                    "two owners: %s took effect on %s after it started on %s".formatted(key, target, last.target()));
        }
    }

    /** Records that a target crashed while it ran a request. */
    void targetCrashed(ServiceRequest request) {
        crashes++;
        startedCalls.add(callId(request));
    }

    private static String callId(ServiceRequest request) {
        return request.headers().stream()
                .filter(header -> header.name().equals(CALL_HEADER))
                .map(Header::value)
                .findFirst()
                .orElse("");
    }

    /** Records that a host spent a token on a customer's request. */
    void requestAdmitted(String customer, Instant now) {
        admissionsByCustomer
                .computeIfAbsent(customer, name -> new ArrayList<>())
                .add(now);
    }

    /** Checks the outcome that a caller received. */
    void checkOutcome(long call, String path, Outcome outcome) {
        if (outcome instanceof Outcome.Refused refused && startedCalls.contains(Long.toString(call))) {
            violations.add("refused as not run (%s) although it ran: %s".formatted(refused.reason(), path));
        }
        if (outcome instanceof Outcome.Answered answered) {
            String body = new String(answered.body(), java.nio.charset.StandardCharsets.UTF_8);
            if (!body.equals(path)) {
                violations.add("response to another request: sent " + path + ", received " + body);
            }
        }
    }

    /** Checks that a host's replica of a key did not go back to an earlier revision. */
    void checkRevision(String host, String key, long before, long after) {
        if (after < before) {
            violations.add("%s went back from revision %d to revision %d of %s".formatted(host, before, after, key));
        }
    }

    /** Records a violation that a scenario detected. */
    public void addViolation(String text) {
        violations.add(text);
    }

    /** Returns all violations so far. */
    public List<String> violations() {
        return List.copyOf(violations);
    }

    /** Returns the number of crashes of targets. */
    public int crashes() {
        return crashes;
    }

    /** Returns the number of requests that a target started since an instant. */
    public long startedSince(String target, Instant since) {
        return startsByTarget.getOrDefault(target, List.of()).stream()
                .filter(at -> at.isAfter(since))
                .count();
    }

    /** Returns the maximum number of requests of a customer that were admitted in any window of the given length. */
    public int maxAdmittedWithin(String customer, Duration window) {
        List<Instant> admitted = admissionsByCustomer.getOrDefault(customer, List.of());
        int maximum = 0;
        int from = 0;
        for (int to = 0; to < admitted.size(); to++) {
            while (admitted.get(from).plus(window).isBefore(admitted.get(to))) {
                from++;
            }
            maximum = Math.max(maximum, to - from + 1);
        }
        return maximum;
    }
}
