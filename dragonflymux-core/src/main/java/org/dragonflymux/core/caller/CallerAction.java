package org.dragonflymux.core.caller;

/** What is done with a caller's connection. */
public sealed interface CallerAction {

    /** Returns the connection's number. */
    long connection();

    /** Stop reading from the connection. */
    record Pause(long connection) implements CallerAction {}

    /** Read from the connection again. */
    record Resume(long connection) implements CallerAction {}

    /**
     * Drop the unfinished request, refuse it if it was begun, and close the connection. For lack of memory, the connection is
     * closed only after requests that are running have been answered.
     */
    record Close(long connection, CloseReason reason) implements CallerAction {}
}
