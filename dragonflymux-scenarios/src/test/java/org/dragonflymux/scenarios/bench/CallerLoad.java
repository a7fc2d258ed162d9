package org.dragonflymux.scenarios.bench;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;

/** Callers that ask for one key after another, through one host after another. */
public final class CallerLoad {

    private record Asked(String key, Instant at, Fleet.Call call) {}

    private final Fleet fleet;
    private final String customer;
    private final int keys;
    private final List<Asked> asked = new ArrayList<>();
    private List<String> hosts;
    private int next;

    private CallerLoad(Fleet fleet, String customer, int keys, List<String> hosts) {
        this.fleet = fleet;
        this.customer = customer;
        this.keys = keys;
        this.hosts = hosts;
    }

    /** Returns callers of a customer for a number of keys, through the given hosts. */
    public static CallerLoad of(Fleet fleet, String customer, int keys, List<String> hosts) {
        return new CallerLoad(fleet, customer, keys, hosts);
    }

    /** Uses other hosts from now on, as the platform's balancer does. */
    public void through(List<String> changed) {
        hosts = changed;
    }

    /** Sends requests at a steady rate while time passes. */
    public void run(Duration duration, int perSecond) {
        Duration gap = Duration.ofNanos(1_000_000_000L / perSecond);
        long count = duration.dividedBy(gap);
        for (long i = 0; i < count; i++) {
            ask("GET", null);
            fleet.advance(gap);
        }
    }

    /** Sends one request. */
    public Fleet.Call ask(String method, String idempotencyKey) {
        String key = "k" + next % keys;
        String host = hosts.get(next % hosts.size());
        next++;
        Fleet.Call call = fleet.request(host, customer, method, key, idempotencyKey);
        asked.add(new Asked(key, fleet.now(), call));
        return call;
    }

    /** Returns the keys of requests asked in a span of time that did not get their answer quickly. */
    public List<String> unservedBetween(Instant from, Instant to, Duration quickly) {
        return asked.stream()
                .filter(each -> !each.at().isBefore(from) && each.at().isBefore(to))
                .filter(each ->
                        !each.call().succeeded() || each.call().elapsed().compareTo(quickly) > 0)
                .map(each ->
                        each.key() + "@" + Duration.between(from, each.at()).toMillis() + "ms:"
                                + each.call().outcome())
                .toList();
    }

    /** Returns the share of requests asked since an instant that got their answer, from 0 to 1. */
    public double servedSince(Instant from) {
        List<Asked> since =
                asked.stream().filter(each -> !each.at().isBefore(from)).toList();
        long served = since.stream().filter(each -> each.call().succeeded()).count();
        return since.isEmpty() ? 0 : (double) served / since.size();
    }
}
