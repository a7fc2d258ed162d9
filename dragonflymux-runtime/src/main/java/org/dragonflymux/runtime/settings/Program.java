package org.dragonflymux.runtime.settings;

import io.vavr.control.Either;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;

/**
 * A program with its name, purpose and settings.
 *
 * @param name the program's name
 * @param purpose what it does, in one line
 * @param settings its settings
 */
public record Program(String name, String purpose, List<Setting<?>> settings) {

    /** The exit code for wrong settings or arguments. */
    public static final int EXIT_USAGE = 2;

    private static final int HELP_WIDTH = 34;

    public Program {
        settings = List.copyOf(settings);
    }

    /**
     * Reads the settings, or answers {@code --help} and {@code --version} and returns nothing to run.
     *
     * @return the settings, or the exit code with which the program is to end
     */
    public Either<Integer, Settings> settingsOrExitCode(String[] arguments, Map<String, String> environment) {
        List<String> given = List.of(arguments);
        if (given.contains("--help")) {
            print(help());
            return Either.left(0);
        }
        if (given.contains("--version")) {
            print(name + " " + Versions.current());
            return Either.left(0);
        }
        return read(arguments, environment).mapLeft(this::report);
    }

    private int report(List<SettingError> errors) {
        errors.forEach(error -> printError(name + ": " + error));
        printError(name + ": try --help");
        return EXIT_USAGE;
    }

    /** Reads all settings, and names every wrong one. */
    public Either<List<SettingError>, Settings> read(String[] arguments, Map<String, String> environment) {
        Options options = new Options();
        settings.forEach(setting -> options.addOption(
                Option.builder().longOpt(setting.flag()).hasArg().get()));
        CommandLine line;
        try {
            line = new DefaultParser(false).parse(options, arguments);
        } catch (ParseException e) {
            return Either.left(List.of(new SettingError("command line", e.getMessage(), "only the flags of --help")));
        }
        List<SettingError> errors = new ArrayList<>();
        line.getArgList().forEach(extra -> errors.add(new SettingError("argument", extra, "only flags")));
        Map<Setting<?>, Object> values = new HashMap<>();
        for (Setting<?> setting : settings) {
            read(setting, line, environment, values, errors);
        }
        return errors.isEmpty() ? Either.right(Settings.of(values)) : Either.left(errors);
    }

    private static void read(
            Setting<?> setting,
            CommandLine line,
            Map<String, String> environment,
            Map<Setting<?>, Object> values,
            List<SettingError> errors) {
        String flag = line.getOptionValue(setting.flag());
        String text = flag != null ? flag : environment.get(setting.variable());
        String where = flag != null ? "--" + setting.flag() : setting.variable();
        String used = text != null ? text : setting.defaultText().orElse(null);
        if (used == null) {
            errors.add(new SettingError(
                    "--" + setting.flag() + " (" + setting.variable() + ")",
                    null,
                    setting.type().expected()));
            return;
        }
        try {
            values.put(setting, setting.type().parser().apply(used));
        } catch (IllegalArgumentException e) {
            errors.add(new SettingError(where, used, setting.type().expected()));
        }
    }

    /** Returns the help text. */
    public String help() {
        StringBuilder help = new StringBuilder();
        help.append("usage: ").append(name).append(" [flags]\n").append(purpose).append("\n\n");
        for (Setting<?> setting : settings) {
            String standard = setting.defaultText()
                    .map(text -> text.isEmpty() ? "" : " [default " + text + "]")
                    .orElse(" [required]");
            help.append(
                    ("  --%-" + HELP_WIDTH + "s %s%s%n").formatted(setting.flag(), setting.description(), standard));
            help.append(("    %-" + HELP_WIDTH + "s %s%n")
                    .formatted(setting.variable(), setting.type().expected()));
        }
        return help.append("  --help, --version\n").toString();
    }

    /** Prints a line or text for the user. */
    public static void print(String text) {
        write(new PrintWriter(System.out, true, StandardCharsets.UTF_8), text);
    }

    /** Prints a line about an error. */
    public static void printError(String text) {
        write(new PrintWriter(System.err, true, StandardCharsets.UTF_8), text);
    }

    private static void write(PrintWriter writer, String text) {
        writer.println(text);
        writer.flush();
    }
}
