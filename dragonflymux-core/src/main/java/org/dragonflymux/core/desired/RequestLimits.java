package org.dragonflymux.core.desired;

/**
 * What a caller may send, and how long it may take.
 *
 * @param maxHeaderBytes the most bytes of a request's head
 * @param maxBodyBytes the most bytes of a request's body
 * @param headerTimeoutMillis the longest time for a request's head
 * @param idleTimeoutMillis the longest time that a connection may be idle
 */
public record RequestLimits(int maxHeaderBytes, int maxBodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {}
