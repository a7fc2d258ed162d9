package org.dragonflymux.gateway.http;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseDecoder;
import java.io.IOException;

/**
 * Decodes responses, and shows whether bytes were received that are no complete message yet. It must be the first handler of
 * its connection, so that it learns of the connection's end before it decodes the last response.
 */
final class ResponseDecoder extends HttpResponseDecoder {

    private HttpMethod method = HttpMethod.GET;
    private ConnectionState state = ConnectionState.OPEN;

    /** What has been received from the peer. */
    private enum ConnectionState {
        /** The peer may send more. */
        OPEN,
        /** The peer has ended its side in order, so that all bytes it sent were received. */
        ENDED_BY_PEER,
        /** The connection was lost or closed before the peer ended its side; bytes may be missing. */
        LOST
    }

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

    /**
     * Returns whether responses that are decoded now may lack bytes. A message that ends with its connection is decoded also
     * when the connection was lost, because of a reset, a failed write or a close by this host; it must not be used then.
     */
    boolean maybeTruncated() {
        return state == ConnectionState.LOST;
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext ctx, Object event) throws Exception {
        if (event instanceof ChannelInputShutdownEvent && state == ConnectionState.OPEN) {
            state = ConnectionState.ENDED_BY_PEER;
        }
        super.userEventTriggered(ctx, event);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) throws Exception {
        if (cause instanceof IOException) {
            state = ConnectionState.LOST;
        }
        super.exceptionCaught(ctx, cause);
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) throws Exception {
        state = ConnectionState.LOST;
        super.channelInactive(ctx);
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
        return method.equals(HttpMethod.HEAD) || super.isContentAlwaysEmpty(message);
    }
}
