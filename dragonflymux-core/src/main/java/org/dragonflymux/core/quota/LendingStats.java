package org.dragonflymux.core.quota;

import org.dragonflymux.core.name.CustomerName;

/**
 * What a lender did with one customer's tokens since it was asked last.
 *
 * @param customer the customer
 * @param ratePerSecond its limit
 * @param burst its burst
 * @param lent tokens that were lent
 * @param givenBack tokens that came back unused
 * @param denied questions for which there was no token
 * @param tokens tokens in the bucket now
 * @param outstanding tokens at hosts now
 */
public record LendingStats(
        CustomerName customer,
        double ratePerSecond,
        double burst,
        long lent,
        long givenBack,
        long denied,
        double tokens,
        double outstanding) {}
