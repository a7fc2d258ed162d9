package org.dragonflymux.core.message;

/** The result of sending a grant to a target. */
public sealed interface GrantReply {

    /**
     * The target responded.
     *
     * @param accepted whether the target now enforces the grant's fencing token
     * @param boot the boot id of the target process, which differs after each restart
     * @param clockMillis the target's own clock, in milliseconds since it started
     * @param leaving whether the target asks not to be sent new requests
     */
    record Answered(boolean accepted, String boot, long clockMillis, boolean leaving) implements GrantReply {}

    /** The connection was refused: no process listens at the target's address. */
    record ConnectionRefused() implements GrantReply {}

    /** No response arrived within the time limit. */
    record TimedOut() implements GrantReply {}
}
