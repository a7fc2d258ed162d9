package org.dragonflymux.runtime.peer;

import org.dragonflymux.core.message.PeerMessage;

/** Takes in what happens on the links to other entry hosts; called on I/O threads. */
public interface PeerListener {

    /**
     * A message arrived.
     *
     * @param fromAddress where the sending host listens
     */
    void arrived(String fromAddress, PeerMessage message);

    /**
     * A forwarded request was not delivered, or its link closed before its outcome came.
     *
     * @param mayHaveArrived whether it may have been delivered
     */
    void forwardFailed(long request, boolean mayHaveArrived);

    /** A link was closed for a reason. */
    void closed(String address, PeerProtocolError reason);
}
