package org.dragonflymux.core.gateway;

import java.util.Optional;
import org.dragonflymux.core.balance.TargetEntry;
import org.dragonflymux.core.name.CustomerName;
import org.dragonflymux.core.name.HostId;
import org.dragonflymux.core.name.TargetId;
import org.dragonflymux.core.quota.RateMessage;

/** An action that the gateway has decided on and that its caller carries out. */
public sealed interface GatewayEffect {

    /**
     * Send a request to a target.
     *
     * @param attempt identifies the attempt when its result is reported
     * @param exchange the request
     * @param target the target
     * @param remainingMillis the time left until the deadline
     * @param customer the customer, if the request has one
     * @param repeatable whether it may run more than once
     * @param resent whether the request was sent to this target before
     */
    record Send(
            long attempt,
            long exchange,
            TargetEntry target,
            long remainingMillis,
            Optional<CustomerName> customer,
            boolean repeatable,
            boolean resent)
            implements GatewayEffect {}

    /**
     * Cancel an attempt, whose result is no longer needed.
     *
     * @param attempt the attempt
     */
    record Cancel(long attempt) implements GatewayEffect {}

    /**
     * Pass the answer of an attempt on to the caller.
     *
     * @param exchange the request
     * @param attempt the attempt
     * @param timing how long it took and why
     */
    record Deliver(long exchange, long attempt, Timing timing) implements GatewayEffect {}

    /**
     * Explains how long a request took.
     *
     * @param target the target that answered
     * @param waitedMillis time from the request's arrival until it was sent to the target
     * @param workedMillis time from sending until the answer
     * @param busyAtSend estimated number of requests at the target when the request was sent
     * @param attempts number of attempts
     * @param late whether the latency objective was exceeded
     */
    record Timing(TargetId target, long waitedMillis, long workedMillis, int busyAtSend, int attempts, boolean late) {}

    /**
     * Answer a request without a target's answer.
     *
     * @param exchange the request
     * @param reason the reason
     * @param retryAfterMillis when the caller should retry, 0 if a retry would not help
     * @param customer the customer, if known
     */
    record Refuse(long exchange, RefusalReason reason, long retryAfterMillis, Optional<CustomerName> customer)
            implements GatewayEffect {}

    /**
     * Send a rate message to another host.
     *
     * @param to the next hop: the recipient or the host that relays the message
     * @param message the message
     */
    record Tell(HostId to, RateMessage message) implements GatewayEffect {}
}
