package org.dragonflymux.ctl.command;

import io.vavr.control.Either;
import java.util.List;
import org.dragonflymux.ctl.CtlError;
import org.dragonflymux.ctl.output.Report;
import org.dragonflymux.ctl.store.DocumentStore;

/** One command of dragonflyctl. */
public interface Command {

    /** Returns the words that name the command. */
    String name();

    /** Returns its arguments, as help shows them. */
    List<String> arguments();

    /** Returns what it does, in one line. */
    String purpose();

    /** Tells whether the command reads or writes the store. */
    default boolean online() {
        return true;
    }

    /**
     * Runs the command.
     *
     * @param arguments as many as {@link #arguments} names
     * @param store the documents; null for a command that is not {@link #online}
     */
    Either<CtlError, Report> run(List<String> arguments, DocumentStore store);
}
