package org.dragonflymux.core.gateway;

/** How an attempt at a target ended. */
public sealed interface AttemptResult {

    /** The kind of a complete answer, which is passed on unchanged. */
    enum Grade {
        /** The request ran successfully. */
        SUCCESS,
        /** The target answered with neither a success nor a failure of its own. */
        REPLY,
        /** The target failed while it ran the request. */
        TARGET_ERROR
    }

    /**
     * The target sent a complete answer.
     *
     * @param grade the kind of the answer
     */
    record Answered(Grade grade) implements AttemptResult {}

    /**
     * The target declared that it has not run the request.
     *
     * @param misdirected whether it is not responsible for the request, as opposed to being overloaded
     */
    record NotRun(boolean misdirected) implements AttemptResult {}

    /** The host did not send the request, as the target already holds as many bodies from it as it may. */
    record Withheld() implements AttemptResult {}

    /** The request never reached the target. */
    record NotSent() implements AttemptResult {}

    /**
     * The request may have run, but there is no complete answer.
     *
     * @param malformed whether the target sent an invalid answer
     */
    record Lost(boolean malformed) implements AttemptResult {}
}
