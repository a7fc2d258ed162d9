package org.dragonflymux.gateway.caller;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.util.ArrayDeque;
import java.util.Deque;

/** A caller's connection. Requests are handled as they arrive; responses are sent in request order. */
final class CallerConnection extends ChannelInboundHandlerAdapter {

    private static final int MAX_PIPELINED = 64;

    private final CallerServer server;
    private final Deque<CallerReply> replies = new ArrayDeque<>();
    private ChannelHandlerContext context;
    private long lastUseMillis;
    private int pendingWrites;
    private boolean closing;

    CallerConnection(CallerServer server) {
        this.server = server;
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        context = ctx;
        recordUse();
        server.opened(this);
    }

    private void recordUse() {
        lastUseMillis = server.now();
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        if (!(message instanceof FullHttpRequest request)) {
            return;
        }
        recordUse();
        // While the server drains, the last pending response closes the connection, so requests behind it are dropped.
        if (closing || server.draining() && !replies.isEmpty()) {
            request.release();
            return;
        }
        boolean keepAlive = HttpUtil.isKeepAlive(request);
        CallerReply reply = new CallerReply(this, request, keepAlive, server.now());
        replies.addLast(reply);
        if (request.decoderResult().isFailure()) {
            server.logMalformed(request.decoderResult().cause());
            reply.respond(badRequest());
            return;
        }
        if (replies.size() >= MAX_PIPELINED) {
            ctx.channel().config().setAutoRead(false);
        }
        // The event loop may report the end of a connection only after the data that precedes it was read. It therefore
        // polls once more before the request is handled.
        EventLoop loop = ctx.channel().eventLoop();
        loop.execute(() -> server.pollTracker()
                .afterNextPoll(
                        loop, reply::callerDisconnected, () -> server.handler().requestArrived(request, reply)));
    }

    boolean open() {
        return context.channel().isActive();
    }

    private static FullHttpResponse badRequest() {
        FullHttpResponse response = new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1, HttpResponseStatus.BAD_REQUEST, Unpooled.EMPTY_BUFFER);
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, 0);
        response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        return response;
    }

    void flushResponses() {
        boolean wrote = false;
        while (!closing && !replies.isEmpty() && replies.peekFirst().hasResponse()) {
            CallerReply reply = replies.pollFirst();
            write(reply);
            wrote = true;
        }
        if (wrote) {
            recordUse();
            context.flush();
            if (replies.size() < MAX_PIPELINED && !closing) {
                context.channel().config().setAutoRead(true);
            }
        }
    }

    private void write(CallerReply reply) {
        FullHttpResponse response = reply.takeResponse();
        // A draining server answers all requests that were already read before it closes the connection.
        boolean close = !reply.keepAlive()
                || server.draining() && replies.isEmpty()
                || response.headers().containsValue(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE, true);
        pendingWrites++;
        if (!close) {
            context.write(response).addListener(_ -> pendingWrites--);
            return;
        }
        response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        closing = true;
        context.write(response).addListener(_ -> pendingWrites--).addListener(ChannelFutureListener.CLOSE);
        discardReplies();
    }

    private void discardReplies() {
        while (!replies.isEmpty()) {
            replies.pollFirst().discard();
        }
    }

    boolean idleSince(long threshold) {
        return replies.isEmpty() && pendingWrites == 0 && lastUseMillis < threshold;
    }

    void close() {
        closing = true;
        context.close();
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        closing = true;
        server.closed(this);
        discardReplies();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        server.logBroken(cause);
        ctx.close();
    }
}
