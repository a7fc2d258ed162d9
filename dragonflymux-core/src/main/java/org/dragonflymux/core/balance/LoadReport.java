package org.dragonflymux.core.balance;

/**
 * The load that a target reports about itself.
 *
 * @param running number of running requests
 * @param waiting number of queued requests
 * @param slots maximum number of requests that run at once
 * @param slowdownPercent current service time in percent of the normal one, 100 is normal
 */
public record LoadReport(int running, int waiting, int slots, int slowdownPercent) {}
