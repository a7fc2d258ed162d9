package org.dragonflymux.core.gateway;

import java.util.Optional;
import org.dragonflymux.core.balance.TargetEntry;
import org.dragonflymux.core.name.CustomerName;
import org.dragonflymux.core.name.HostId;
import org.dragonflymux.core.name.TargetId;
import org.dragonflymux.core.quota.RateMessage;

/** What the gateway wants done. */
public sealed interface GatewayEffect {

    /**
     * Send a request to a target.
     *
     * @param attempt names the attempt in its result
     * @param exchange the request
     * @param target where to send it
     * @param remainingMillis how long the target may take
     * @param customer whose request it is
     * @param repeatable whether it may run more than once
     */
    record Send(
            long attempt,
            long exchange,
            TargetEntry target,
            long remainingMillis,
            Optional<CustomerName> customer,
            boolean repeatable)
            implements GatewayEffect {}

    /**
     * Break an attempt off; its result isn't wanted any more.
     *
     * @param attempt the attempt
     */
    record Cancel(long attempt) implements GatewayEffect {}

    /**
     * Hand the answer of an attempt on to the caller.
     *
     * @param exchange the request
     * @param attempt the attempt
     * @param timing how it came to the answer
     */
    record Deliver(long exchange, long attempt, Timing timing) implements GatewayEffect {}

    /**
     * What explains how long a request took.
     *
     * @param target who answered
     * @param waitedMillis the time until it was sent there
     * @param workedMillis the time until the answer came
     * @param busyAtSend how many requests were at the target when it was sent, as far as known
     * @param attempts how many targets had the request
     * @param late whether that was longer than its objective
     */
    record Timing(TargetId target, long waitedMillis, long workedMillis, int busyAtSend, int attempts, boolean late) {}

    /**
     * Answer a request without a target's answer.
     *
     * @param exchange the request
     * @param reason why
     * @param retryAfterMillis when to come back, 0 where that makes no difference
     * @param customer whose request it is, as far as known
     */
    record Refuse(long exchange, RefusalReason reason, long retryAfterMillis, Optional<CustomerName> customer)
            implements GatewayEffect {}

    /**
     * Tell another host something about rates.
     *
     * @param to the host that is to get the message next
     * @param message the message
     */
    record Tell(HostId to, RateMessage message) implements GatewayEffect {}
}
