package org.dragonflymux.core.balance;

/**
 * A target's own report of its load.
 *
 * @param running requests that run
 * @param waiting requests that wait
 * @param slots how many can run
 * @param slowdownPercent how long work takes now, 100 is as usual
 */
public record LoadReport(int running, int waiting, int slots, int slowdownPercent) {}
