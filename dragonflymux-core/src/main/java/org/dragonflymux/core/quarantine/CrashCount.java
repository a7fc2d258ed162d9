package org.dragonflymux.core.quarantine;

/**
 * The number of target crashes that a request may have caused, as exchanged between hosts.
 *
 * @param fingerprint a hash of the request's method, path, key and body
 * @param count the number of crashes during which the request was running
 * @param remainingMillis the time until the count expires, in milliseconds
 */
public record CrashCount(long fingerprint, int count, long remainingMillis) {}
