package org.dragonflymux.ctl.command;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** The registry of all commands. */
public final class Commands {

    private static final List<Command> ALL = all();

    private Commands() {}

    /** Returns all commands, in the order of the help text. */
    public static List<Command> all() {
        List<Command> commands = new ArrayList<>(DocumentCommands.all());
        commands.addAll(FleetCommands.all());
        commands.addAll(CredentialCommands.all());
        commands.addAll(LogCommands.all());
        return List.copyOf(commands);
    }

    /** Finds the command whose name is a prefix of the arguments. */
    public static Optional<Command> find(List<String> arguments) {
        return ALL.stream()
                .filter(command -> String.join(" ", arguments).concat(" ").startsWith(command.name() + " "))
                .findFirst();
    }
}
