package org.dragonflymux.ctl;

import io.vavr.control.Either;
import java.net.URI;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.dragonflymux.ctl.command.Command;
import org.dragonflymux.ctl.command.Commands;
import org.dragonflymux.ctl.output.Report;
import org.dragonflymux.ctl.store.DocumentStore;
import org.dragonflymux.runtime.settings.Program;
import org.dragonflymux.runtime.settings.Setting;
import org.dragonflymux.runtime.settings.SettingType;
import org.dragonflymux.runtime.settings.Settings;

/** The program {@code dragonflyctl}. */
public final class Ctl {

    private enum Output {
        TABLE,
        JSON
    }

    private static final Setting<URI> STORE =
            Setting.optional("store", "http://127.0.0.1:2379", "the platform's store", SettingType.HTTP_URI);
    private static final Setting<Output> OUTPUT = Setting.optional(
            "output",
            "table",
            "how to print",
            SettingType.of("table or json", text -> Output.valueOf(text.toUpperCase(java.util.Locale.ROOT))));

    /** The program with all its settings. */
    static final Program PROGRAM =
            new Program("dragonflyctl", "Runs services by their documents.", List.of(STORE, OUTPUT));

    private Ctl() {}

    /** Runs the program. */
    public static void main(String[] arguments) {
        System.exit(run(arguments, System.getenv()));
    }

    static int run(String[] arguments, Map<String, String> environment) {
        List<String> flags = new ArrayList<>();
        List<String> words = new ArrayList<>();
        split(arguments, flags, words);
        if (words.isEmpty() && (flags.isEmpty() || flags.contains("--help"))) {
            Program.print(help());
            return flags.isEmpty() ? Program.EXIT_USAGE : 0;
        }
        Either<Integer, Settings> settings = PROGRAM.settingsOrExitCode(flags.toArray(String[]::new), environment);
        if (settings.isLeft()) {
            return settings.getLeft();
        }
        return execute(words, settings.get());
    }

    private static void split(String[] arguments, List<String> flags, List<String> words) {
        for (int i = 0; i < arguments.length; i++) {
            boolean flag = arguments[i].startsWith("--");
            (flag ? flags : words).add(arguments[i]);
            boolean takesValue = flag
                    && !arguments[i].contains("=")
                    && !List.of("--help", "--version").contains(arguments[i]);
            if (takesValue && i + 1 < arguments.length) {
                flags.add(arguments[++i]);
            }
        }
    }

    private static int execute(List<String> words, Settings settings) {
        Optional<Command> command = Commands.find(words);
        if (command.isEmpty()) {
            return fail(new CtlError.Usage("no such command: " + String.join(" ", words) + "; try --help"));
        }
        int nameWords = command.get().name().split(" ").length;
        List<String> arguments = words.subList(nameWords, words.size());
        if (arguments.size() != command.get().arguments().size()) {
            return fail(new CtlError.Usage("usage: dragonflyctl " + usage(command.get())));
        }
        Either<CtlError, Report> result = runCommand(command.get(), arguments, settings);
        result.forEach(report -> Program.print(settings.value(OUTPUT) == Output.JSON ? report.json() : report.table()));
        return result.fold(Ctl::fail, report -> 0);
    }

    private static Either<CtlError, Report> runCommand(Command command, List<String> arguments, Settings settings) {
        if (!command.online()) {
            return command.run(arguments, null);
        }
        try (DocumentStore store = DocumentStore.at(settings.value(STORE))) {
            return command.run(arguments, store);
        }
    }

    private static int fail(CtlError error) {
        Arrays.stream(error.message().split("\n")).forEach(line -> Program.printError("dragonflyctl: " + line));
        return error.exitCode();
    }

    private static String usage(Command command) {
        return command.name() + " " + String.join(" ", command.arguments());
    }

    private static String help() {
        StringBuilder help = new StringBuilder(PROGRAM.help()).append("\ncommands:\n");
        Commands.all().forEach(command -> help.append("  %-38s %s%n".formatted(usage(command), command.purpose())));
        return help.toString();
    }
}
