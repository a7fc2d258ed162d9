package org.dragonflymux.ctl.command;

import io.vavr.control.Either;
import java.util.List;
import org.dragonflymux.ctl.CtlError;
import org.dragonflymux.ctl.output.Report;
import org.dragonflymux.ctl.store.DocumentStore;

/** A command of dragonflyctl. */
public interface Command {

    /** Returns the words that name the command. */
    String name();

    /** Returns the names of its arguments as shown in the help text. */
    List<String> arguments();

    /** Returns a one-line description for the help text. */
    String purpose();

    /** Returns whether the command accesses the store. */
    default boolean online() {
        return true;
    }

    /**
     * Runs the command.
     *
     * @param arguments the values of the arguments, as many as {@link #arguments} has names
     * @param store the store of documents; null if the command is not {@link #online}
     */
    Either<CtlError, Report> run(List<String> arguments, DocumentStore store);
}
