package org.dragonflymux.load.plan;

import java.net.URI;
import java.time.Duration;
import java.util.List;

/**
 * A run of load.
 *
 * @param entries the entry hosts, used in turn
 * @param service the service, or empty to send to a target directly
 * @param customers who sends
 * @param duration for how long
 * @param keys how many keys there are
 * @param zipfExponent how uneven their popularity is, 0 for even
 * @param orderPercent how many of 100 requests may not be repeated
 * @param bodyBytes the size of a request's body
 * @param answerBytes the least size of an answer
 * @param changes what happens in mid-run
 * @param seed where random choices start
 */
public record LoadPlan(
        List<URI> entries,
        String service,
        List<LoadCustomer> customers,
        Duration duration,
        int keys,
        double zipfExponent,
        int orderPercent,
        int bodyBytes,
        int answerBytes,
        List<ScriptedChange> changes,
        long seed) {

    public LoadPlan {
        entries = List.copyOf(entries);
        customers = List.copyOf(customers);
        changes = List.copyOf(changes);
    }
}
