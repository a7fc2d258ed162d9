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

/** The program {@code dragonfly-load}: open-loop load with checked answers. */
public final class Load {

    private static final int EXIT_WRONG_ANSWERS = 3;
    private static final int CLIENT_THREADS = 2;

    private static final Setting<List<URI>> ENTRIES = Setting.required(
            "entries",
            "addresses of entry hosts, used in turn",
            list("addresses as http://127.0.0.1:17501", URI::create));
    private static final Setting<String> SERVICE = Setting.optional(
            "service", "", "the service; empty to send to a target directly", SettingType.of("a text", text -> text));
    private static final Setting<List<LoadCustomer>> CUSTOMERS = Setting.required(
            "customers",
            "who sends, with credential and requests a second",
            list("name=credential@rate,…", LoadCustomer::parse));
    private static final Setting<Integer> SECONDS =
            Setting.optional("seconds", "10", "length of the run, in seconds", SettingType.number(1, 3600));
    private static final Setting<Integer> WARM_UP = Setting.optional(
            "warm-up-seconds", "0", "length of an unmeasured run before, in seconds", SettingType.number(0, 600));
    private static final Setting<Integer> KEYS =
            Setting.optional("keys", "1000", "number of keys", SettingType.number(1, 100_000_000));
    private static final Setting<Double> ZIPF = Setting.optional(
            "zipf", "0.9", "exponent of the keys' popularity", SettingType.of("0 to 5", Double::parseDouble));
    private static final Setting<Integer> ORDERS = Setting.optional(
            "order-percent", "0", "requests of 100 that may not be repeated", SettingType.number(0, 100));
    private static final Setting<Integer> BODY =
            Setting.optional("body-bytes", "0", "size of a request's body", SettingType.number(0, 1 << 20));
    private static final Setting<Integer> ANSWER =
            Setting.optional("answer-bytes", "0", "least size of an answer", SettingType.number(0, 64 << 20));
    private static final Setting<List<ScriptedChange>> CHANGES = Setting.optional(
            "changes",
            "",
            "what happens in mid-run, separated by ';'",
            SettingType.of("SECOND:rate:CUSTOMER:FACTOR or SECOND:fault:ADDRESS JSON", Load::changes));
    private static final Setting<Integer> SEED =
            Setting.optional("seed", "1", "where random choices start", SettingType.number(0, Integer.MAX_VALUE));
    private static final Setting<String> FOLDER = Setting.optional(
            "folder", "", "where to write JSON and plots; empty for none", SettingType.of("a folder", text -> text));

    private static final Program PROGRAM = new Program(
            "dragonfly-load",
            "Sends open-loop load to entry hosts or to a target, and checks the answers.",
            List.of(
                    ENTRIES, SERVICE, CUSTOMERS, SECONDS, WARM_UP, KEYS, ZIPF, ORDERS, BODY, ANSWER, CHANGES, SEED,
                    FOLDER));

    private Load() {}

    private static <T> SettingType<List<T>> list(String expected, Function<String, T> parser) {
        return SettingType.of(
                expected, text -> Arrays.stream(text.split(",")).map(parser).toList());
    }

    private static List<ScriptedChange> changes(String text) {
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
            if (settings.value(WARM_UP) > 0) {
                LoadRun.run(plan(settings, settings.value(WARM_UP), List.of()), clock, executor);
            }
            LoadPlan plan = plan(settings, settings.value(SECONDS), settings.value(CHANGES));
            RunRecord record = LoadRun.run(plan, clock, executor);
            Program.print(RunTable.table(record, plan.duration()));
            write(record, settings.value(FOLDER));
            return record.all().count(Result.WRONG) == 0 ? 0 : EXIT_WRONG_ANSWERS;
        }
    }

    private static LoadPlan plan(Settings settings, int seconds, List<ScriptedChange> changes) {
        return new LoadPlan(
                settings.value(ENTRIES),
                settings.value(SERVICE),
                settings.value(CUSTOMERS),
                Duration.ofSeconds(seconds),
                settings.value(KEYS),
                settings.value(ZIPF),
                settings.value(ORDERS),
                settings.value(BODY),
                settings.value(ANSWER),
                changes,
                settings.value(SEED));
    }

    private static void write(RunRecord record, String folder) throws IOException {
        if (!folder.isEmpty()) {
            Path path = Files.createDirectories(Path.of(folder));
            Files.writeString(path.resolve("run.json"), RunTable.json(record));
            RunPlot.write(record, path);
        }
    }
}
