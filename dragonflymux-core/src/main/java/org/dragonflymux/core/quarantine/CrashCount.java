package org.dragonflymux.core.quarantine;

/**
 * What one host tells another about a request that was running when targets crashed.
 *
 * @param fingerprint a hash of all that a target sees of the request
 * @param count how many crashes it may have caused
 * @param remainingMillis for how long the strikes still count, in milliseconds
 */
public record CrashCount(long fingerprint, int count, long remainingMillis) {}
