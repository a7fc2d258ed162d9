package org.dragonflymux.gateway.caller;

import io.netty.handler.codec.http.FullHttpRequest;

/** Who decides about callers' requests. */
public interface CallerHandler {

    /**
     * Takes a request. It has to be answered through the reply sooner or later.
     *
     * @param request the request, owned by the handler until the reply is given
     * @param reply takes the answer
     */
    void requested(FullHttpRequest request, CallerReply reply);
}
