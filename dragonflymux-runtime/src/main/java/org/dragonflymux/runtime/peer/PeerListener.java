package org.dragonflymux.runtime.peer;

import org.dragonflymux.core.message.PeerMessage;

/** Receives the events of the links to other entry hosts, on I/O threads. */
public interface PeerListener {

    /**
     * Called when a message was received.
     *
     * @param fromAddress the address at which the sending host listens
     */
    void messageReceived(String fromAddress, PeerMessage message);

    /**
     * Called when a forwarded request was not delivered, or its link was closed before the outcome was received.
     *
     * @param mayHaveArrived whether the request may have been delivered
     */
    void forwardFailed(long request, boolean mayHaveArrived);

    /** Called when this host closed a link because of an error. */
    void linkClosed(String address, PeerProtocolError reason);
}
