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

/** One caller's connection. Requests are decided about as they come and answered in their order. */
final class CallerConnection extends ChannelInboundHandlerAdapter {

    private static final int MAX_PIPELINED = 64;

    private final CallerServer server;
    private final Deque<CallerReply> replies = new ArrayDeque<>();
    private ChannelHandlerContext context;
    private long lastUse;
    private int writing;
    private boolean closing;

    CallerConnection(CallerServer server) {
        this.server = server;
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        context = ctx;
        used();
        server.opened(this);
    }

    private void used() {
        lastUse = server.now();
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        if (!(message instanceof FullHttpRequest request)) {
            return;
        }
        used();
        // On a draining server the last answer that is due closes the connection: what comes behind it isn't taken.
        if (closing || server.draining() && !replies.isEmpty()) {
            request.release();
            return;
        }
        boolean keepAlive = HttpUtil.isKeepAlive(request);
        CallerReply reply = new CallerReply(this, request, keepAlive, server.now());
        replies.addLast(reply);
        if (request.decoderResult().isFailure()) {
            server.malformed(request.decoderResult().cause());
            reply.answer(badRequest());
            return;
        }
        if (replies.size() >= MAX_PIPELINED) {
            ctx.channel().config().setAutoRead(false);
        }
        // The end of a connection may be told only after what lay before it was read, so the loop asks once more before
        // a request is decided about.
        EventLoop loop = ctx.channel().eventLoop();
        loop.execute(() -> server.news()
                .afterNextPoll(loop, reply::callerLeft, () -> server.handler().requested(request, reply)));
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

    void flushAnswers() {
        boolean wrote = false;
        while (!closing && !replies.isEmpty() && replies.peekFirst().answered()) {
            CallerReply reply = replies.pollFirst();
            write(reply);
            wrote = true;
        }
        if (wrote) {
            used();
            context.flush();
            if (replies.size() < MAX_PIPELINED && !closing) {
                context.channel().config().setAutoRead(true);
            }
        }
    }

    private void write(CallerReply reply) {
        FullHttpResponse answer = reply.takeAnswer();
        // Requests that were read already are answered before a draining server closes the connection.
        boolean close = !reply.keepAlive()
                || server.draining() && replies.isEmpty()
                || answer.headers().containsValue(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE, true);
        writing++;
        if (!close) {
            context.write(answer).addListener(_ -> writing--);
            return;
        }
        answer.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        closing = true;
        context.write(answer).addListener(_ -> writing--).addListener(ChannelFutureListener.CLOSE);
        dropReplies();
    }

    private void dropReplies() {
        while (!replies.isEmpty()) {
            replies.pollFirst().gone();
        }
    }

    boolean idleSince(long then) {
        return replies.isEmpty() && writing == 0 && lastUse < then;
    }

    void close() {
        closing = true;
        context.close();
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        closing = true;
        server.closed(this);
        dropReplies();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        server.broken(cause);
        ctx.close();
    }
}
