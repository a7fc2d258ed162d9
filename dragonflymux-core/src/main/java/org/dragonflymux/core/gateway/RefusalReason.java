package org.dragonflymux.core.gateway;

/** Why a host answers a request itself. */
public enum RefusalReason {
    /** No desired state is known yet. */
    NO_DESIRED_STATE(Outcome.NOT_RUN),
    /** No route has this host name and path. */
    NO_ROUTE(Outcome.NOT_FOUND),
    /** The credential is missing or belongs to no customer. */
    UNKNOWN_CREDENTIAL(Outcome.UNAUTHENTICATED),
    /** Credentials may have been revoked since the last update from the store. */
    STALE_CREDENTIALS(Outcome.NOT_RUN),
    /** The customer's rate limit is exceeded. */
    OVER_RATE(Outcome.RATE_LIMITED),
    /** No lender of the customer's tokens has answered in time, so the rate limit can't be checked. */
    RATE_UNKNOWN(Outcome.NOT_RUN),
    /** The shard key is missing or out of range. */
    NO_SHARD_KEY(Outcome.MALFORMED),
    /** The targets are too busy to answer in time. */
    OVERLOADED(Outcome.NOT_RUN),
    /** No target is available. */
    NO_TARGET(Outcome.NOT_RUN),
    /** Every target that received it declined to run it. */
    TURNED_AWAY(Outcome.NOT_RUN),
    /** The deadline passed before it was sent. */
    EXPIRED_UNSENT(Outcome.NOT_RUN),
    /** The host shuts down before the deadline, so another host must serve it. */
    STOPPING(Outcome.NOT_RUN),
    /** The request is quarantined because it crashes targets. */
    QUARANTINED(Outcome.NOT_RUN),
    /** The deadline passed before a target answered. */
    EXPIRED(Outcome.TIMED_OUT),
    /** It may have run, but there is no complete answer. */
    LOST_ANSWER(Outcome.UNKNOWN);

    /** What the caller learns about the request. */
    public enum Outcome {
        /** It has not run and never will. */
        NOT_RUN,
        /** It has not run because the customer exceeded its rate limit. */
        RATE_LIMITED,
        /** It is invalid. */
        MALFORMED,
        /** Its credential is missing or wrong. */
        UNAUTHENTICATED,
        /** There is no route for it. */
        NOT_FOUND,
        /** It may have run; its deadline has passed. */
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
