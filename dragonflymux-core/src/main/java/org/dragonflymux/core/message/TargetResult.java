package org.dragonflymux.core.message;

/** What became of one attempt to run a request on a target. */
public sealed interface TargetResult {

    /** The target's whole answer arrived. */
    record Completed(Outcome.Answered answer) implements TargetResult {}

    /** The target refused without running the request. */
    record Declined(DeclineReason reason) implements TargetResult {}

    /** No connection could be made; nothing was sent. */
    record NotSent(boolean refused) implements TargetResult {}

    /** The connection broke after the request was sent. */
    record Broken() implements TargetResult {}

    /** No whole answer came within the attempt's time. */
    record TimedOut() implements TargetResult {}

    /** The answer is larger than the service allows. */
    record TooLarge() implements TargetResult {}

    /** Why a target declined. */
    enum DeclineReason {
        /** The fencing token is not that of the target's present grant, or the grant lapsed. */
        FENCED,
        /** The target sheds load. */
        SHED,
        /** The deadline had passed when the target got to the request. */
        EXPIRED,
        /** The target is shutting down. */
        LEAVING
    }
}
