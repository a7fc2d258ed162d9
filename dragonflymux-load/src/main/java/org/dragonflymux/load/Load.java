package org.dragonflymux.load;

import io.vavr.control.Either;
import java.io.IOException;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.function.Function;
import org.dragonflymux.load.plan.LoadCustomer;
import org.dragonflymux.load.plan.LoadPlan;
import org.dragonflymux.load.plan.ScriptedChange;
import org.dragonflymux.load.report.RunPlot;
import org.dragonflymux.load.report.RunTable;
import org.dragonflymux.load.run.LoadRun;
import org.dragonflymux.load.run.Result;
import org.dragonflymux.load.run.RunRecord;
import org.dragonflymux.runtime.http.RatpackExecutor;
import org.dragonflymux.runtime.settings.Program;
import org.dragonflymux.runtime.settings.Setting;
import org.dragonflymux.runtime.settings.SettingType;
import org.dragonflymux.runtime.settings.Settings;
import org.dragonflymux.runtime.time.MonotonicClock;

/** The program {@code dragonfly-load}: an open-loop load generator that validates the responses. */
public final class Load {

    private static final int EXIT_WRONG_RESPONSES = 3;
    private static final int CLIENT_THREADS = 2;

    private static final Setting<List<URI>> ENTRIES = Setting.required(
            "entries",
            "addresses of entry hosts, used in round-robin order",
            commaSeparated("addresses separated by commas, for example http://127.0.0.1:17501", URI::create));
    private static final Setting<String> SERVICE = Setting.optional(
            "service",
            "",
            "service; if empty, requests are sent directly to a target",
            SettingType.of("a text", text -> text));
    private static final Setting<List<LoadCustomer>> CUSTOMERS = Setting.required(
            "customers",
            "customers with their credentials and requests per second",
            commaSeparated("name=credential@rate,…", LoadCustomer::parse));
    private static final Setting<Integer> SECONDS =
            Setting.optional("seconds", "10", "duration of the run in seconds", SettingType.number(1, 3600));
    private static final Setting<Integer> WARM_UP_SECONDS = Setting.optional(
            "warm-up-seconds", "0", "duration of an unmeasured warm-up run in seconds", SettingType.number(0, 600));
    private static final Setting<Integer> KEYS =
            Setting.optional("keys", "1000", "number of keys", SettingType.number(1, 100_000_000));
    private static final Setting<Double> ZIPF_EXPONENT = Setting.optional(
            "zipf", "0.9", "exponent of the Zipf distribution of keys", SettingType.of("0 to 5", Double::parseDouble));
    private static final Setting<Integer> NON_IDEMPOTENT_PERCENT = Setting.optional(
            "order-percent",
            "0",
            "percentage of non-idempotent requests, which have an idempotency key",
            SettingType.number(0, 100));
    private static final Setting<Integer> BODY_BYTES =
            Setting.optional("body-bytes", "0", "size of a request body in bytes", SettingType.number(0, 1 << 20));
    private static final Setting<Integer> MIN_RESPONSE_BYTES = Setting.optional(
            "answer-bytes", "0", "minimum size of a response body in bytes", SettingType.number(0, 64 << 20));
    private static final Setting<List<ScriptedChange>> CHANGES = Setting.optional(
            "changes",
            "",
            "changes during the run, separated by ';'",
            SettingType.of("SECOND:rate:CUSTOMER:FACTOR or SECOND:fault:ADDRESS JSON", Load::parseChanges));
    private static final Setting<Integer> SEED = Setting.optional(
            "seed", "1", "seed of the random number generator", SettingType.number(0, Integer.MAX_VALUE));
    private static final Setting<String> FOLDER = Setting.optional(
            "folder",
            "",
            "folder for JSON and plots; if empty, none are written",
            SettingType.of("a folder", text -> text));

    private static final Program PROGRAM = new Program(
            "dragonfly-load",
            "Sends open-loop load to entry hosts or to a target, and validates the responses.",
            List.of(
                    ENTRIES,
                    SERVICE,
                    CUSTOMERS,
                    SECONDS,
                    WARM_UP_SECONDS,
                    KEYS,
                    ZIPF_EXPONENT,
                    NON_IDEMPOTENT_PERCENT,
                    BODY_BYTES,
                    MIN_RESPONSE_BYTES,
                    CHANGES,
                    SEED,
                    FOLDER));

    private Load() {}

    private static <T> SettingType<List<T>> commaSeparated(String expected, Function<String, T> parser) {
        return SettingType.of(
                expected, text -> Arrays.stream(text.split(",")).map(parser).toList());
    }

    private static List<ScriptedChange> parseChanges(String text) {
        return text.isEmpty()
                ? List.of()
                : Arrays.stream(text.split(";")).map(ScriptedChange::parse).toList();
    }

    /** Runs the program. */
    public static void main(String[] arguments) throws IOException {
        Either<Integer, Settings> settings = PROGRAM.settingsOrExitCode(arguments, System.getenv());
        System.exit(settings.isLeft() ? settings.getLeft() : run(settings.get()));
    }

    private static int run(Settings settings) throws IOException {
        try (RatpackExecutor executor = RatpackExecutor.withThreads(CLIENT_THREADS)) {
            MonotonicClock clock = MonotonicClock.start();
            if (settings.value(WARM_UP_SECONDS) > 0) {
                LoadRun.run(plan(settings, settings.value(WARM_UP_SECONDS), List.of()), clock, executor);
            }
            LoadPlan plan = plan(settings, settings.value(SECONDS), settings.value(CHANGES));
            RunRecord record = LoadRun.run(plan, clock, executor);
            Program.print(RunTable.table(record, plan.duration()));
            writeFiles(record, settings.value(FOLDER));
            return record.all().count(Result.WRONG) == 0 ? 0 : EXIT_WRONG_RESPONSES;
        }
    }

    private static LoadPlan plan(Settings settings, int seconds, List<ScriptedChange> changes) {
        return new LoadPlan(
                settings.value(ENTRIES),
                settings.value(SERVICE),
                settings.value(CUSTOMERS),
                Duration.ofSeconds(seconds),
                settings.value(KEYS),
                settings.value(ZIPF_EXPONENT),
                settings.value(NON_IDEMPOTENT_PERCENT),
                settings.value(BODY_BYTES),
                settings.value(MIN_RESPONSE_BYTES),
                changes,
                settings.value(SEED));
    }

    private static void writeFiles(RunRecord record, String folder) throws IOException {
        if (!folder.isEmpty()) {
            Path path = Files.createDirectories(Path.of(folder));
            Files.writeString(path.resolve("run.json"), RunTable.json(record));
            RunPlot.write(record, path);
        }
    }
}
