package org.dragonflymux.core.document;

/**
 * A part of a customer's rate that only the entry hosts of one failure domain hand out, also while it is cut off.
 *
 * @param ratePerSecond requests a second, out of the customer's rate
 * @param burst requests that may come at once, out of the customer's burst
 */
public record RateReserve(double ratePerSecond, int burst) {}
