package org.dragonflymux.gateway.caller;

import io.netty.handler.codec.http.FullHttpRequest;

/** Handles requests received from callers. */
public interface CallerHandler {

    /**
     * Handles a request. The handler must eventually respond through the reply.
     *
     * @param request the request, which stays valid until the reply is completed
     * @param reply sends the response to the caller
     */
    void requestArrived(FullHttpRequest request, CallerReply reply);
}
