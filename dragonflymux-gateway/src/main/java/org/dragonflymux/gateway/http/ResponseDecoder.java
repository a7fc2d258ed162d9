package org.dragonflymux.gateway.http;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseDecoder;

/** Decodes responses, and shows whether bytes were received that are no complete message yet. */
final class ResponseDecoder extends HttpResponseDecoder {

    private HttpMethod method = HttpMethod.GET;

    ResponseDecoder(HttpDecoderConfig config) {
        super(config);
    }

    /** Sets the method of the request that the next response answers. */
    void expectResponseTo(HttpMethod requestMethod) {
        method = requestMethod;
    }

    /** Returns whether bytes wait to be decoded. After a complete response these belong to no call. */
    boolean hasUndecodedBytes() {
        return actualReadableBytes() > 0;
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
        return method.equals(HttpMethod.HEAD) || super.isContentAlwaysEmpty(message);
    }
}
