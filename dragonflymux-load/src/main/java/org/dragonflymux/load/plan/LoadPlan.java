package org.dragonflymux.load.plan;

import java.net.URI;
import java.time.Duration;
import java.util.List;

/**
 * The parameters of a load run.
 *
 * @param entries the entry hosts, used in round-robin order
 * @param service the service, or empty to send requests directly to a target
 * @param customers the customers that send requests
 * @param duration the duration of the run
 * @param keys the number of keys
 * @param zipfExponent the exponent of the Zipf distribution of keys, 0 for a uniform distribution
 * @param nonIdempotentPercent the percentage of non-idempotent requests
 * @param bodyBytes the size of a request body
 * @param minResponseBytes the minimum size of a response body
 * @param changes the scripted changes during the run
 * @param seed the seed of the random number generator
 */
public record LoadPlan(
        List<URI> entries,
        String service,
        List<LoadCustomer> customers,
        Duration duration,
        int keys,
        double zipfExponent,
        int nonIdempotentPercent,
        int bodyBytes,
        int minResponseBytes,
        List<ScriptedChange> changes,
        long seed) {

    public LoadPlan {
        entries = List.copyOf(entries);
        customers = List.copyOf(customers);
        changes = List.copyOf(changes);
    }
}
