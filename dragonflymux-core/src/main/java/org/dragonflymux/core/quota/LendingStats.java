package org.dragonflymux.core.quota;

import org.dragonflymux.core.name.CustomerName;

/**
 * Statistics of lending one customer's tokens since the previous statistics.
 *
 * @param customer the customer
 * @param ratePerSecond the rate limit
 * @param burst the burst limit
 * @param lent the tokens that were lent
 * @param returned the tokens that were returned unused
 * @param denied the demands that got fewer tokens than waiting requests needed
 * @param tokens the tokens now in the bucket
 * @param outstanding the tokens now at borrowing hosts
 */
public record LendingStats(
        CustomerName customer,
        double ratePerSecond,
        double burst,
        long lent,
        long returned,
        long denied,
        double tokens,
        double outstanding) {}
