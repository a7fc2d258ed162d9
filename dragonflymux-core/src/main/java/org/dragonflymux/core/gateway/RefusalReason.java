package org.dragonflymux.core.gateway;

/** Why a host answers a request itself. */
public enum RefusalReason {
    /** No desired state is known yet. */
    NO_DESIRED_STATE(Outcome.NOT_RUN),
    /** No route has this host name and path. */
    NO_ROUTE(Outcome.NOT_FOUND),
    /** The credential is missing or nobody's. */
    UNKNOWN_CREDENTIAL(Outcome.UNAUTHENTICATED),
    /** Credentials may have been withdrawn since the last news. */
    STALE_CREDENTIALS(Outcome.NOT_RUN),
    /** The customer's rate is used up. */
    OVER_RATE(Outcome.RATE_LIMITED),
    /** Whether the customer's rate is used up can't be learned now. */
    RATE_UNKNOWN(Outcome.NOT_RUN),
    /** The shard key is missing or out of range. */
    NO_SHARD_KEY(Outcome.MALFORMED),
    /** There isn't room enough to answer in time. */
    OVERLOADED(Outcome.NOT_RUN),
    /** No target can run it now. */
    NO_TARGET(Outcome.NOT_RUN),
    /** All targets that were asked turned it away. */
    TURNED_AWAY(Outcome.NOT_RUN),
    /** The time was up before it was sent. */
    EXPIRED_UNSENT(Outcome.NOT_RUN),
    /** It crashes targets. */
    QUARANTINED(Outcome.NOT_RUN),
    /** The time was up before a target answered. */
    EXPIRED(Outcome.TIMED_OUT),
    /** It may have run, and there is no whole answer. */
    LOST_ANSWER(Outcome.UNKNOWN);

    /** What a refusal tells the caller. */
    public enum Outcome {
        /** It has not run and never will. */
        NOT_RUN,
        /** It has not run, since the customer asked for too much. */
        RATE_LIMITED,
        /** It can't be served at all. */
        MALFORMED,
        /** It has no or a wrong credential. */
        UNAUTHENTICATED,
        /** There is nothing at that place. */
        NOT_FOUND,
        /** It may have run; the time is up. */
        TIMED_OUT,
        /** It may have run. */
        UNKNOWN
    }

    private final Outcome outcome;

    RefusalReason(Outcome outcome) {
        this.outcome = outcome;
    }

    public Outcome outcome() {
        return outcome;
    }
}
