package org.dragonflymux.core.message;

import org.dragonflymux.core.name.ServiceName;
import org.dragonflymux.core.name.TargetId;

/** Something that happens to an entry host. */
public sealed interface Event {

    /** Time has passed; delivered every {@code TICK}. */
    record Tick() implements Event {}

    /** A caller's request arrived. */
    record CallerArrived(long request, CallerRequest body) implements Event {}

    /** A message from another entry host arrived. */
    record PeerArrived(String fromAddress, PeerMessage message) implements Event {}

    /** A forwarded request could not be delivered, or its link broke before the outcome came. */
    record ForwardFailed(long request, boolean mayHaveArrived) implements Event {}

    /** The store answered a call, or did not. */
    record StoreReplied(long call, StoreReply reply) implements Event {}

    /** An attempt on a target ended. */
    record AttemptEnded(long attempt, TargetResult result) implements Event {}

    /** A grant sent to a target was answered, or was not. */
    record GrantReplied(ServiceName service, TargetId target, long grant, GrantReply reply) implements Event {}

    /** The operator or the platform asked the host to shut down gracefully. */
    record ShutdownRequested() implements Event {}
}
