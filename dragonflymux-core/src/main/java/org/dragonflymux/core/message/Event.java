package org.dragonflymux.core.message;

import org.dragonflymux.core.name.ServiceName;
import org.dragonflymux.core.name.TargetId;

/** An input of the entry host's state machine. */
public sealed interface Event {

    /** The periodic timer event, delivered every {@code EntryHost.TICK}. */
    record Tick() implements Event {}

    record CallerArrived(long request, CallerRequest body) implements Event {}

    /** A message was received from another entry host. */
    record PeerArrived(String fromAddress, PeerMessage message) implements Event {}

    /** A forwarded request was not delivered, or the connection broke before its outcome arrived. */
    record ForwardFailed(long request, boolean mayHaveArrived) implements Event {}

    /** A call to the store was answered or failed. */
    record StoreReplied(long call, StoreReply reply) implements Event {}

    /** An attempt to run a request on a target ended. */
    record AttemptEnded(long attempt, TargetResult result) implements Event {}

    /** A grant sent to a target was answered or failed. */
    record GrantReplied(ServiceName service, TargetId target, long grant, GrantReply reply) implements Event {}

    /** The operator or the platform requested a graceful shutdown. */
    record ShutdownRequested() implements Event {}
}
