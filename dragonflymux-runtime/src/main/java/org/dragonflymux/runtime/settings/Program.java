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

    /** The exit code for invalid settings or arguments. */
    public static final int EXIT_USAGE = 2;

    private static final int HELP_COLUMN_WIDTH = 34;

    public Program {
        settings = List.copyOf(settings);
    }

    /**
     * Reads the settings, or handles {@code --help} and {@code --version}. Prints all errors.
     *
     * @return the settings, or the exit code with which the program must end
     */
    public Either<Integer, Settings> settingsOrExitCode(String[] arguments, Map<String, String> environment) {
        List<String> flags = List.of(arguments);
        if (flags.contains("--help")) {
            print(help());
            return Either.left(0);
        }
        if (flags.contains("--version")) {
            print(name + " " + Versions.current());
            return Either.left(0);
        }
        return read(arguments, environment).mapLeft(this::reportErrors);
    }

    private int reportErrors(List<SettingError> errors) {
        errors.forEach(error -> printError(name + ": " + error));
        printError(name + ": try --help");
        return EXIT_USAGE;
    }

    /** Reads and validates all settings; returns either all values or all errors. */
    public Either<List<SettingError>, Settings> read(String[] arguments, Map<String, String> environment) {
        Options options = new Options();
        settings.forEach(setting -> options.addOption(
                Option.builder().longOpt(setting.flag()).hasArg().get()));
        CommandLine line;
        try {
            line = new DefaultParser(false).parse(options, arguments);
        } catch (ParseException e) {
            return Either.left(
                    List.of(new SettingError("command line", e.getMessage(), "only the flags that --help lists")));
        }
        List<SettingError> errors = new ArrayList<>();
        line.getArgList().forEach(extra -> errors.add(new SettingError("argument", extra, "only flags")));
        Map<Setting<?>, Object> values = new HashMap<>();
        for (Setting<?> setting : settings) {
            readSetting(setting, line, environment, values, errors);
        }
        return errors.isEmpty() ? Either.right(Settings.of(values)) : Either.left(errors);
    }

    private static void readSetting(
            Setting<?> setting,
            CommandLine line,
            Map<String, String> environment,
            Map<Setting<?>, Object> values,
            List<SettingError> errors) {
        String flag = line.getOptionValue(setting.flag());
        String text = flag != null ? flag : environment.get(setting.variable());
        String source = flag != null ? "--" + setting.flag() : setting.variable();
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
            errors.add(new SettingError(source, used, setting.type().expected()));
        }
    }

    /** Returns the help text. */
    public String help() {
        StringBuilder help = new StringBuilder();
        help.append("usage: ").append(name).append(" [flags]\n").append(purpose).append("\n\n");
        for (Setting<?> setting : settings) {
            String defaultNote = setting.defaultText()
                    .map(text -> text.isEmpty() ? "" : " [default " + text + "]")
                    .orElse(" [required]");
            help.append(("  --%-" + HELP_COLUMN_WIDTH + "s %s%s%n")
                    .formatted(setting.flag(), setting.description(), defaultNote));
            help.append(("    %-" + HELP_COLUMN_WIDTH + "s %s%n")
                    .formatted(setting.variable(), setting.type().expected()));
        }
        return help.append("  --help, --version\n").toString();
    }

    /** Prints a text and a line break on standard output. */
    public static void print(String text) {
        write(new PrintWriter(System.out, true, StandardCharsets.UTF_8), text);
    }

    /** Prints an error message and a line break on standard error. */
    public static void printError(String text) {
        write(new PrintWriter(System.err, true, StandardCharsets.UTF_8), text);
    }

    private static void write(PrintWriter writer, String text) {
        writer.println(text);
        writer.flush();
    }
}
