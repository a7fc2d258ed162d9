package org.dragonflymux.core.message;

/** The result of one attempt to run a request on a target. */
public sealed interface TargetResult {

    /** The target's complete response was received. */
    record Completed(Outcome.Answered answer) implements TargetResult {}

    /** The target declined the request without running it. */
    record Declined(DeclineReason reason) implements TargetResult {}

    /** No connection could be established, and nothing was sent. */
    record NotSent(boolean refused) implements TargetResult {}

    /** The connection broke after the request was sent. */
    record Broken() implements TargetResult {}

    /** No complete response was received within the attempt's timeout. */
    record TimedOut() implements TargetResult {}

    /** The response is larger than the service allows. */
    record TooLarge() implements TargetResult {}

    /** Why a target declined. */
    enum DeclineReason {
        /** The fencing token is not that of the target's current grant, or the grant has expired. */
        FENCED,
        /** The target is overloaded. */
        SHED,
        /** The deadline had passed before the target started the request. */
        EXPIRED,
        /** The target is shutting down. */
        LEAVING
    }
}
