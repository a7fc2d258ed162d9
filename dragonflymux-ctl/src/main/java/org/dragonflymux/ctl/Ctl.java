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

/** The command-line program {@code dragonflyctl}. */
public final class Ctl {

    private enum Output {
        TABLE,
        JSON
    }

    private static final Setting<URI> STORE =
            Setting.optional("store", "http://127.0.0.1:2379", "address of the store", SettingType.HTTP_URI);
    private static final Setting<Output> OUTPUT = Setting.optional(
            "output",
            "table",
            "output format",
            SettingType.of("table or json", text -> Output.valueOf(text.toUpperCase(java.util.Locale.ROOT))));

    static final Program PROGRAM = new Program(
            "dragonflyctl",
            "Manages services, customers and failure domains through documents in the store.",
            List.of(STORE, OUTPUT));

    private Ctl() {}

    public static void main(String[] arguments) {
        System.exit(run(arguments, System.getenv()));
    }

    static int run(String[] arguments, Map<String, String> environment) {
        List<String> flags = new ArrayList<>();
        List<String> positionals = new ArrayList<>();
        separateFlags(arguments, flags, positionals);
        if (positionals.isEmpty() && (flags.isEmpty() || flags.contains("--help"))) {
            Program.print(help());
            return flags.isEmpty() ? Program.EXIT_USAGE : 0;
        }
        Either<Integer, Settings> settings = PROGRAM.settingsOrExitCode(flags.toArray(String[]::new), environment);
        if (settings.isLeft()) {
            return settings.getLeft();
        }
        return execute(positionals, settings.get());
    }

    private static void separateFlags(String[] arguments, List<String> flags, List<String> positionals) {
        for (int i = 0; i < arguments.length; i++) {
            boolean flag = arguments[i].startsWith("--");
            (flag ? flags : positionals).add(arguments[i]);
            boolean takesValue = flag
                    && !arguments[i].contains("=")
                    && !List.of("--help", "--version").contains(arguments[i]);
            if (takesValue && i + 1 < arguments.length) {
                flags.add(arguments[++i]);
            }
        }
    }

    private static int execute(List<String> positionals, Settings settings) {
        Optional<Command> command = Commands.find(positionals);
        if (command.isEmpty()) {
            return fail(new CtlError.Usage("unknown command: " + String.join(" ", positionals) + "; try --help"));
        }
        int nameLength = command.get().name().split(" ").length;
        List<String> arguments = positionals.subList(nameLength, positionals.size());
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
