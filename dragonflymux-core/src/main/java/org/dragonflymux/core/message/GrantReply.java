package org.dragonflymux.core.message;

/** What became of a grant that was sent to a target. */
public sealed interface GrantReply {

    /**
     * The target answered.
     *
     * @param accepted whether the target now works under the grant's fencing token
     * @param boot differs between two runs of the target
     * @param clockMillis the target's own clock, in milliseconds since it started
     * @param leaving whether the target asks for no new work
     */
    record Answered(boolean accepted, String boot, long clockMillis, boolean leaving) implements GrantReply {}

    /** The target's host refused the connection: no process listens there. */
    record ConnectionRefused() implements GrantReply {}

    /** No answer came in time. */
    record TimedOut() implements GrantReply {}
}
