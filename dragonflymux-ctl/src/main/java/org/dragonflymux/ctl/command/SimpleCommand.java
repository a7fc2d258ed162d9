package org.dragonflymux.ctl.command;

import io.vavr.control.Either;
import java.util.List;
import java.util.function.BiFunction;
import org.dragonflymux.core.name.InvalidNameException;
import org.dragonflymux.ctl.CtlError;
import org.dragonflymux.ctl.output.Report;
import org.dragonflymux.ctl.store.DocumentStore;

/** A command defined by its description and a function. */
record SimpleCommand(
        String name,
        List<String> arguments,
        String purpose,
        boolean online,
        BiFunction<List<String>, DocumentStore, Either<CtlError, Report>> body)
        implements Command {

    static SimpleCommand of(
            String name,
            List<String> arguments,
            String purpose,
            BiFunction<List<String>, DocumentStore, Either<CtlError, Report>> body) {
        return new SimpleCommand(name, arguments, purpose, true, body);
    }

    static SimpleCommand offline(
            String name,
            List<String> arguments,
            String purpose,
            BiFunction<List<String>, DocumentStore, Either<CtlError, Report>> body) {
        return new SimpleCommand(name, arguments, purpose, false, body);
    }

    @Override
    public Either<CtlError, Report> run(List<String> values, DocumentStore store) {
        try {
            return body.apply(values, store);
        } catch (InvalidNameException e) {
            return Either.left(new CtlError.Usage(e.getMessage()));
        } catch (NumberFormatException e) {
            return Either.left(new CtlError.Usage("not a number: " + e.getMessage()));
        }
    }
}
