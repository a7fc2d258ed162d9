package org.dragonflymux.ctl.command;

import io.vavr.control.Either;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.dragonflymux.ctl.CtlError;
import org.dragonflymux.ctl.explain.RequestTimeline;
import org.dragonflymux.ctl.output.Report;

/** Commands that read the logs of hosts. */
final class LogCommands {

    private LogCommands() {}

    static List<Command> all() {
        return List.of(SimpleCommand.offline(
                "explain",
                List.of("ID"),
                "show from logs on standard input what happened to a request, and why",
                (arguments, store) -> explain(arguments.getFirst(), System.in)));
    }

    static Either<CtlError, Report> explain(String requestId, InputStream logs) {
        try (BufferedReader reader = new BufferedReader(new InputStreamReader(logs, StandardCharsets.UTF_8))) {
            Report report =
                    RequestTimeline.of(reader.lines().toList(), requestId).report();
            return report.rows().isEmpty() ? Either.left(new CtlError.NotInLogs(requestId)) : Either.right(report);
        } catch (IOException | UncheckedIOException unreadable) {
            return Either.left(new CtlError.UnreadableFile("standard input"));
        }
    }
}
