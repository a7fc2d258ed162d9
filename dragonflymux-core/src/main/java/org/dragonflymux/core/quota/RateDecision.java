package org.dragonflymux.core.quota;

/** The decision on a request that needs a token. */
public sealed interface RateDecision {

    /** Returns the number of the request. */
    long request();

    /**
     * The request got a token.
     *
     * @param request the request
     * @param token the token
     */
    record Admitted(long request, Token token) implements RateDecision {}

    /**
     * The customer has exhausted its rate.
     *
     * @param request the request
     * @param millisUntilNextToken the expected time until the next token
     */
    record OverRate(long request, long millisUntilNextToken) implements RateDecision {}

    /**
     * The customer's lender did not answer in time.
     *
     * @param request the request
     */
    record NoLender(long request) implements RateDecision {}
}
