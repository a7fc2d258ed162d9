package org.dragonflymux.core.caller;

/** What is done with a caller's connection. */
public sealed interface CallerAction {

    /** Returns the connection's number. */
    long connection();

    /** Stop reading from the connection. */
    record Pause(long connection) implements CallerAction {}

    /** Read from the connection again. */
    record Resume(long connection) implements CallerAction {}

    /** Drop the unfinished request, refuse it if it was begun, and close the connection. */
    record Close(long connection, CloseReason reason) implements CallerAction {}
}
