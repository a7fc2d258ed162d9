package org.dragonflymux.core.assignment;

/**
 * The load of one unit.
 *
 * @param unit the index of the unit
 * @param requestsPerSecond the request rate
 */
public record UnitLoad(int unit, double requestsPerSecond) {}
