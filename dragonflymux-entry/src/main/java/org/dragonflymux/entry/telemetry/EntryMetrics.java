package org.dragonflymux.entry.telemetry;

import com.codahale.metrics.MetricRegistry;
import io.prometheus.client.CollectorRegistry;
import io.prometheus.client.dropwizard.DropwizardExports;
import io.prometheus.client.exporter.common.TextFormat;
import java.io.IOException;
import java.io.StringWriter;
import java.time.Duration;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.dragonflymux.core.message.Outcome;
import org.dragonflymux.core.name.ServiceName;

/** The metrics of an entry host: counters, and latency and outcomes per service and customer, limited in number. */
public final class EntryMetrics {

    private static final int MAX_NAMES = 200;
    private static final String OTHERS = "others";

    private final MetricRegistry registry = new MetricRegistry();
    private final CollectorRegistry collectors = new CollectorRegistry();
    private final Set<String> names = ConcurrentHashMap.newKeySet();

    private EntryMetrics() {
        new DropwizardExports(registry).register(collectors);
    }

    /** Returns empty metrics. */
    public static EntryMetrics create() {
        return new EntryMetrics();
    }

    /** Records the outcome and the duration of a caller's request. */
    public void recordAnswer(ServiceName service, Optional<String> customer, Outcome outcome, Duration elapsed) {
        registry.timer("latency.service." + limitedName(service.value())).update(elapsed);
        registry.counter("outcome.service." + limitedName(service.value()) + "." + outcomeName(outcome))
                .inc();
        customer.ifPresent(name -> {
            registry.timer("latency.customer." + limitedName(name)).update(elapsed);
            registry.counter("outcome.customer." + limitedName(name) + "." + outcomeName(outcome))
                    .inc();
        });
    }

    // Service names come from callers' paths and are unbounded. All names above the limit share one name.
    private String limitedName(String name) {
        if (names.contains(name) || names.size() < MAX_NAMES && names.add(name)) {
            return name;
        }
        return OTHERS;
    }

    private static String outcomeName(Outcome outcome) {
        return switch (outcome) {
            case Outcome.Answered _ -> "ran";
            case Outcome.AlreadyRan _ -> "ran_before";
            case Outcome.Refused refused -> "not_run." + refused.reason().name().toLowerCase(Locale.ROOT);
            case Outcome.Unknown unknown -> "unknown." + unknown.reason().name().toLowerCase(Locale.ROOT);
        };
    }

    /** Increments a counter. */
    public void count(String name) {
        registry.counter(name).inc();
    }

    /** Adds an amount to a counter. */
    public void count(String name, long amount) {
        registry.counter(name).inc(amount);
    }

    /** Returns all metrics in the Prometheus text format. */
    public String text() throws IOException {
        StringWriter writer = new StringWriter();
        TextFormat.write004(writer, collectors.metricFamilySamples());
        return writer.toString();
    }
}
