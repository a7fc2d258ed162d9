package org.dragonflymux.gateway.http;

import io.netty.handler.codec.http.FullHttpResponse;

/** Notified of the outcome of a call. Exactly one of the outcome methods is called, once, unless the call is cancelled. */
public interface CallListener {

    /**
     * Returns whether a response belongs to the request. One that doesn't is skipped, and its connection is not used again.
     *
     * @param response the response
     */
    default boolean accepts(FullHttpResponse response) {
        return true;
    }

    /**
     * Returns whether further calls may use the connection on which a response arrived.
     *
     * @param response the complete response
     */
    default boolean keepsConnection(FullHttpResponse response) {
        return true;
    }

    /**
     * Handles the complete response. Its buffer is released after the method returns.
     *
     * @param response the response
     */
    void responseReceived(FullHttpResponse response);

    /** Handles the failure of the call. */
    void failed(CallFailure failure);

    /** Returns whether the response is no longer needed. A call that is abandoned before it was sent is not sent. */
    default boolean abandoned() {
        return false;
    }
}
