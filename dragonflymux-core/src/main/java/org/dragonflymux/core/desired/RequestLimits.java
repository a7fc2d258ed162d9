package org.dragonflymux.core.desired;

/**
 * Size and time limits of callers' requests.
 *
 * @param maxHeaderBytes maximum size of a request's header section
 * @param maxBodyBytes maximum size of a request's body
 * @param headerTimeoutMillis maximum time to receive a request's header section
 * @param idleTimeoutMillis maximum time that a connection may be idle
 */
public record RequestLimits(int maxHeaderBytes, int maxBodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {}
