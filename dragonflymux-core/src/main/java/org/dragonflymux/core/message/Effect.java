package org.dragonflymux.core.message;

import java.time.Duration;
import java.time.Instant;
import org.dragonflymux.core.name.CustomerName;
import org.dragonflymux.core.name.ServiceName;
import org.dragonflymux.core.name.TargetId;

/** An action for the I/O layer to perform. */
public sealed interface Effect {

    /** Sends the response to a caller. */
    record AnswerCaller(long request, ServiceName service, CustomerName customer, Outcome outcome) implements Effect {}

    /** Sends a message to another entry host. */
    record SendPeer(String address, PeerMessage message) implements Effect {}

    /** Calls the store. */
    record CallStore(long call, StoreCall body) implements Effect {}

    /**
     * Sends a request to a target.
     *
     * @param attempt the id of the attempt
     * @param fence the fencing token to send with the request
     * @param deadline the time at which the target must abandon the request
     * @param timeout how long to wait for the complete response
     * @param maxAnswerBytes the size above which a response is rejected, in bytes
     * @param freshConnection whether a new connection must be opened instead of reusing one
     */
    record CallTarget(
            long attempt,
            String address,
            long fence,
            ServiceRequest request,
            Instant deadline,
            Duration timeout,
            int maxAnswerBytes,
            boolean freshConnection)
            implements Effect {}

    /**
     * Sends a grant to a target over a dedicated connection.
     *
     * @param grant the id of the grant
     * @param boot the boot id of the target process that the grant is for, or empty to query it
     * @param validUntilMillis when the grant expires on the target's own clock, in milliseconds
     */
    record SendGrant(
            ServiceName service,
            TargetId target,
            String address,
            long grant,
            long fence,
            String boot,
            long validUntilMillis)
            implements Effect {}

    /** Reports an observation to logs and metrics. */
    record Note(Observation observation) implements Effect {}

    /** Ends the process after a completed graceful shutdown. */
    record Exit() implements Effect {}
}
