package org.dragonflymux.core.quota;

/** What comes of a request for a token. */
public sealed interface RateDecision {

    /** Returns the request. */
    long request();

    /**
     * The request has its token.
     *
     * @param request the request
     * @param token the token
     */
    record Admitted(long request, Token token) implements RateDecision {}

    /**
     * The customer's rate is used up.
     *
     * @param request the request
     * @param millisUntilNextToken after what time a token is expected
     */
    record OverRate(long request, long millisUntilNextToken) implements RateDecision {}

    /**
     * The customer's lender can't be reached.
     *
     * @param request the request
     */
    record NoLender(long request) implements RateDecision {}
}
