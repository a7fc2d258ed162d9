package org.dragonflymux.core.gateway;

import org.dragonflymux.core.balance.TargetState;

/**
 * A request that was sent to a target and whose result is pending.
 *
 * @param number identifies the attempt
 * @param exchange the request
 * @param target the target
 * @param sentAt when it was sent
 * @param busyAtSend how many requests were at the target at that time, including this one
 */
record Attempt(long number, Exchange exchange, TargetState target, long sentAt, int busyAtSend) {}
