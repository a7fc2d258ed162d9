package org.dragonflymux.load.report;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.Locale;
import org.dragonflymux.load.run.Result;
import org.dragonflymux.load.run.RunRecord;

/** A run's figures as a table for people and as JSON for machines. */
public final class RunTable {

    private static final String ROW = "%-16s %8s %8s %9s %9s %9s %9s %8s %8s %8s %6s%n";

    private RunTable() {}

    /** Returns the table. */
    public static String table(RunRecord record, Duration duration) {
        StringBuilder table = new StringBuilder();
        table.append(ROW.formatted(
                "customer",
                "sent/s",
                "ok/s",
                "p50 ms",
                "p99 ms",
                "p99.9 ms",
                "max ms",
                "rate",
                "refused",
                "unknown",
                "bad"));
        record.byCustomer().forEach((name, figures) -> table.append(row(name, figures, duration)));
        return table.append(row("all", record.all(), duration)).toString();
    }

    private static String row(String name, RunRecord.Figures figures, Duration duration) {
        double seconds = duration.toMillis() / 1000.0;
        return ROW.formatted(
                name,
                decimal(figures.total() / seconds),
                decimal(figures.count(Result.SUCCEEDED) / seconds),
                decimal(figures.millisAt(50)),
                decimal(figures.millisAt(99)),
                decimal(figures.millisAt(99.9)),
                decimal(figures.millisAt(100)),
                figures.count(Result.REFUSED_RATE),
                figures.count(Result.REFUSED),
                figures.count(Result.UNKNOWN),
                figures.count(Result.ERROR) + figures.count(Result.WRONG));
    }

    private static String decimal(double value) {
        return String.format(Locale.ROOT, "%.2f", value);
    }

    /** Returns the figures as JSON. */
    public static String json(RunRecord record) {
        ObjectNode root = new ObjectMapper().createObjectNode();
        fill(root.putObject("all"), record.all());
        ObjectNode customers = root.putObject("customers");
        record.byCustomer().forEach((name, figures) -> fill(customers.putObject(name), figures));
        ObjectNode seconds = root.putObject("seconds");
        record.bySecond().forEach((second, figures) -> fill(seconds.putObject(Long.toString(second)), figures));
        return root.toPrettyString();
    }

    private static void fill(ObjectNode node, RunRecord.Figures figures) {
        node.put("p50-millis", figures.millisAt(50))
                .put("p99-millis", figures.millisAt(99))
                .put("p999-millis", figures.millisAt(99.9))
                .put("max-millis", figures.millisAt(100));
        for (Result result : Result.values()) {
            node.put(result.name().toLowerCase(Locale.ROOT).replace('_', '-'), figures.count(result));
        }
    }
}
