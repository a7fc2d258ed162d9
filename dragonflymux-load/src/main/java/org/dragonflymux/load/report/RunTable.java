package org.dragonflymux.load.report;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.Locale;
import org.dragonflymux.load.run.Result;
import org.dragonflymux.load.run.RunRecord;

/** Formats the statistics of a run as a table or as JSON. */
public final class RunTable {

    private static final String ROW = "%-16s %8s %8s %9s %9s %9s %9s %8s %8s %8s %6s%n";

    private RunTable() {}

    /** Returns a table with a row per customer and one for all customers. */
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
        record.byCustomer().forEach((name, statistics) -> table.append(row(name, statistics, duration)));
        return table.append(row("all", record.all(), duration)).toString();
    }

    private static String row(String name, RunRecord.Statistics statistics, Duration duration) {
        double seconds = duration.toMillis() / 1000.0;
        return ROW.formatted(
                name,
                decimal(statistics.total() / seconds),
                decimal(statistics.count(Result.SUCCEEDED) / seconds),
                decimal(statistics.latencyMillis(50)),
                decimal(statistics.latencyMillis(99)),
                decimal(statistics.latencyMillis(99.9)),
                decimal(statistics.latencyMillis(100)),
                statistics.count(Result.REFUSED_RATE),
                statistics.count(Result.REFUSED),
                statistics.count(Result.UNKNOWN),
                statistics.count(Result.ERROR) + statistics.count(Result.WRONG));
    }

    private static String decimal(double value) {
        return String.format(Locale.ROOT, "%.2f", value);
    }

    /** Returns the statistics as JSON. */
    public static String json(RunRecord record) {
        ObjectNode root = new ObjectMapper().createObjectNode();
        putStatistics(root.putObject("all"), record.all());
        ObjectNode customers = root.putObject("customers");
        record.byCustomer().forEach((name, statistics) -> putStatistics(customers.putObject(name), statistics));
        ObjectNode seconds = root.putObject("seconds");
        record.bySecond()
                .forEach((second, statistics) -> putStatistics(seconds.putObject(Long.toString(second)), statistics));
        return root.toPrettyString();
    }

    private static void putStatistics(ObjectNode node, RunRecord.Statistics statistics) {
        node.put("p50-millis", statistics.latencyMillis(50))
                .put("p99-millis", statistics.latencyMillis(99))
                .put("p999-millis", statistics.latencyMillis(99.9))
                .put("max-millis", statistics.latencyMillis(100));
        for (Result result : Result.values()) {
            node.put(result.name().toLowerCase(Locale.ROOT).replace('_', '-'), statistics.count(result));
        }
    }
}
