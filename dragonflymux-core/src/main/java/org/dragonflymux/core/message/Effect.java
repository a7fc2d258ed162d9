package org.dragonflymux.core.message;

import java.time.Duration;
import java.time.Instant;
import org.dragonflymux.core.name.CustomerName;
import org.dragonflymux.core.name.ServiceName;
import org.dragonflymux.core.name.TargetId;

/** Something that a shell is to do. */
public sealed interface Effect {

    /** Answers a caller. */
    record AnswerCaller(long request, ServiceName service, CustomerName customer, Outcome outcome) implements Effect {}

    /** Sends a message to another entry host. */
    record SendPeer(String address, PeerMessage message) implements Effect {}

    /** Calls the store. */
    record CallStore(long call, StoreCall body) implements Effect {}

    /**
     * Sends a request to a target.
     *
     * @param attempt the attempt's number
     * @param address the target's address
     * @param fence the fencing token to send along
     * @param request the request
     * @param deadline when the target is to give up
     * @param timeout how long to wait for the whole answer
     * @param maxAnswerBytes the largest answer taken, in bytes
     * @param freshConnection whether an open connection may not be used
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
     * Sends a grant to a target, over a connection of its own.
     *
     * @param grant the grant's number
     * @param fence the fencing token
     * @param boot the run of the target that the grant is for, or empty to ask
     * @param validUntilMillis until when the grant holds on the target's own clock, in milliseconds
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

    /** Tells operators of something that happened. */
    record Note(Observation observation) implements Effect {}

    /** Ends the process: the graceful shutdown is complete. */
    record Exit() implements Effect {}
}
