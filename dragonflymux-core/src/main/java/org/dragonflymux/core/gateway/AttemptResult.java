package org.dragonflymux.core.gateway;

/** How an attempt at a target ended. */
public sealed interface AttemptResult {

    /** A whole answer of the target, to be handed on as it is. */
    enum Grade {
        /** The request ran well. */
        SUCCESS,
        /** The target answered, but not with a success. */
        REPLY,
        /** The target failed while it ran the request. */
        TARGET_ERROR
    }

    /**
     * The target answered.
     *
     * @param grade how well
     */
    record Answered(Grade grade) implements AttemptResult {}

    /**
     * The target said that it has not run the request.
     *
     * @param misdirected whether it can't run it, in contrast to being full
     */
    record NotRun(boolean misdirected) implements AttemptResult {}

    /** The request never reached the target. */
    record NotSent() implements AttemptResult {}

    /**
     * The request may have run, and there is no whole answer.
     *
     * @param malformed whether the target sent something else than an answer
     */
    record Lost(boolean malformed) implements AttemptResult {}
}
