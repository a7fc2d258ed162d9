package org.dragonflymux.core.document;

/**
 * The part of a customer's rate whose tokens are lent only by the entry hosts of one failure domain, and that remains
 * available while the domain is partitioned from the others.
 *
 * @param ratePerSecond the reserved rate, in requests per second, as part of the customer's rate
 * @param burst the reserved number of requests that may be sent at once, as part of the customer's burst
 */
public record RateReserve(double ratePerSecond, int burst) {}
