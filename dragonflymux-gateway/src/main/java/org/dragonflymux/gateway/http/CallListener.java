package org.dragonflymux.gateway.http;

import io.netty.handler.codec.http.FullHttpResponse;

/** Who made a call. Exactly one of the methods is called, once, unless the call is cancelled. */
public interface CallListener {

    /**
     * Takes the whole answer. The listener doesn't own the buffer after the method returns.
     *
     * @param answer the answer
     */
    void answered(FullHttpResponse answer);

    /** Takes in that there is no answer. */
    void failed(CallFailure failure);

    /** Returns whether nobody waits for the answer any more; a call that has not been sent by then isn't sent. */
    default boolean abandoned() {
        return false;
    }
}
