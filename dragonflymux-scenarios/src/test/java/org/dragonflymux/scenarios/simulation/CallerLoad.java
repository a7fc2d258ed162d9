package org.dragonflymux.scenarios.simulation;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;

/** Generates requests for keys in turn, through hosts in turn. */
public final class CallerLoad {

    private record SentRequest(String key, Instant sentAt, Fleet.Call call) {}

    private final Fleet fleet;
    private final String customer;
    private final int keys;
    private final List<SentRequest> sent = new ArrayList<>();
    private List<String> hosts;
    private int next;

    private CallerLoad(Fleet fleet, String customer, int keys, List<String> hosts) {
        this.fleet = fleet;
        this.customer = customer;
        this.keys = keys;
        this.hosts = hosts;
    }

    /** Returns a generator of a customer's requests for a number of keys, through the given hosts. */
    public static CallerLoad of(Fleet fleet, String customer, int keys, List<String> hosts) {
        return new CallerLoad(fleet, customer, keys, hosts);
    }

    /** Replaces the hosts that requests are sent to, as the platform's load balancer does. */
    public void useHosts(List<String> newHosts) {
        hosts = newHosts;
    }

    /** Advances the virtual time and sends requests at a constant rate. */
    public void run(Duration duration, int perSecond) {
        Duration interval = Duration.ofNanos(1_000_000_000L / perSecond);
        long count = duration.dividedBy(interval);
        for (long i = 0; i < count; i++) {
            send("GET", null);
            fleet.advance(interval);
        }
    }

    /** Sends one request. */
    public Fleet.Call send(String method, String idempotencyKey) {
        String key = "k" + next % keys;
        String host = hosts.get(next % hosts.size());
        next++;
        Fleet.Call call = fleet.request(host, customer, method, key, idempotencyKey);
        sent.add(new SentRequest(key, fleet.now(), call));
        return call;
    }

    /** Describes the requests sent in a period that did not succeed within a time limit. */
    public List<String> unservedBetween(Instant from, Instant to, Duration timeLimit) {
        return sent.stream()
                .filter(request ->
                        !request.sentAt().isBefore(from) && request.sentAt().isBefore(to))
                .filter(request ->
                        !request.call().succeeded() || request.call().elapsed().compareTo(timeLimit) > 0)
                .map(request -> request.key() + "@"
                        + Duration.between(from, request.sentAt()).toMillis() + "ms:"
                        + request.call().outcome())
                .toList();
    }

    /** Returns the share of requests sent since an instant that succeeded, from 0 to 1. */
    public double successRatioSince(Instant from) {
        List<SentRequest> since = sent.stream()
                .filter(request -> !request.sentAt().isBefore(from))
                .toList();
        long succeeded =
                since.stream().filter(request -> request.call().succeeded()).count();
        return since.isEmpty() ? 0 : (double) succeeded / since.size();
    }
}
