package org.dragonflymux.core.gateway;

import org.dragonflymux.core.balance.TargetState;

/**
 * A request on its way to a target and back.
 *
 * @param number names the attempt
 * @param exchange the request
 * @param target the target
 * @param sentAt when it was sent
 * @param busyAtSend how many requests were at the target then, this one included
 */
record Attempt(long number, Exchange exchange, TargetState target, long sentAt, int busyAtSend) {}
