package org.dragonflymux.core.assignment;

/**
 * The load of one unit.
 *
 * @param unit the unit's index
 * @param requestsPerSecond requests a second
 */
public record UnitLoad(int unit, double requestsPerSecond) {}
