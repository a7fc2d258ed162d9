package org.dragonflymux.gateway.caller;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;
import org.dragonflymux.core.caller.CallerAccount;
import org.dragonflymux.core.caller.CallerUsage;
import org.dragonflymux.core.caller.CallerUsage.Phase;
import org.dragonflymux.core.caller.CloseReason;

/** A caller's connection. Requests are handled as they arrive; responses are sent in request order. */
final class CallerConnection extends ChannelInboundHandlerAdapter {

    private static final int MAX_PIPELINED = 64;
    /** Memory for the objects and the header section of a response. */
    private static final int RESPONSE_BYTES = 1_500;
    /** How long a connection stays open after a refusal, so that the caller reads the response before the close. */
    private static final long LINGER_MILLIS = 500;

    private final CallerServer server;
    private final long id;
    private final Deque<CallerReply> replies = new ArrayDeque<>();
    private ChannelHandlerContext context;
    private RequestIntake intake;
    private RequestCollector collector;
    private ChannelHandlerContext intakeContext;
    private long lastUseMillis;
    private int pendingWrites;
    private boolean closing;
    private boolean paused;
    private boolean refused;
    private int openRequests;
    private long nextBodyCharge;
    private long queuedBytes;
    private long unreadBytes;
    private long lastPendingBytes;
    private Phase phase = Phase.IDLE;
    private long phaseSince;
    private long lastReadAt;
    private long lastWriteAt;

    CallerConnection(CallerServer server) {
        this.server = server;
        this.id = server.nextConnection();
    }

    /** Adds the handlers that decode requests and count what they take. */
    void addHandlers(ChannelPipeline pipeline, HttpServerCodec codec, int maxBodyBytes) {
        collector = new RequestCollector(this, maxBodyBytes);
        intake = new RequestIntake(this, collector);
        pipeline.addLast(intake).addLast(codec).addLast(collector).addLast(this);
        intakeContext = pipeline.context(intake);
    }

    long id() {
        return id;
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        context = ctx;
        recordUse();
        phaseSince = lastUseMillis;
        lastReadAt = lastUseMillis;
        lastWriteAt = lastUseMillis;
        server.opened(this);
    }

    boolean closing() {
        return closing || refused;
    }

    /** Returns whether the connection takes more bytes of requests now. */
    boolean takesBytes() {
        return !closing() && takesRequests();
    }

    private boolean takesRequests() {
        return !paused && replies.size() < MAX_PIPELINED && context.channel().isWritable();
    }

    long now() {
        return server.now();
    }

    void bytesRead() {
        lastReadAt = server.now();
    }

    /** Notes that a header section or a request is complete, so that the time for the next part starts. */
    void partEnded() {
        phaseSince = server.now();
    }

    /** Sets the memory for the body of the request that is read next. */
    void charge(long bodyBytes) {
        nextBodyCharge = bodyBytes;
    }

    /** Tells the server what the connection takes now. */
    void usageChanged() {
        if (!context.channel().isActive()) {
            return;
        }
        // What arrives after a refusal or the last response is dropped.
        boolean receives = intake != null && !closing();
        long head = receives ? intake.headCharge() : 0;
        Phase current = receives && collector.inBody() ? Phase.BODY : head > 0 ? Phase.HEADER : Phase.IDLE;
        if (current != phase) {
            phase = current;
            phaseSince = server.now();
        }
        if (!closing()) {
            updateReading();
        }
        long unfinished = receives ? head + intake.heldBytes() + collector.bodyCharge() : 0;
        server.used(
                this,
                new CallerUsage(
                        phase,
                        phaseSince,
                        lastReadAt,
                        lastWriteAt,
                        unfinished,
                        queuedBytes,
                        unreadBytes,
                        openRequests,
                        context.channel().config().isAutoRead()));
    }

    private void updateReading() {
        boolean reads = takesRequests();
        if (reads != context.channel().config().isAutoRead()) {
            if (reads) {
                // What the caller sent in the meantime was not read, so that it must not count as late.
                phaseSince = server.now();
                lastReadAt = phaseSince;
            }
            context.channel().config().setAutoRead(reads);
        }
    }

    /** Notes whether the caller has taken a part of a response since the last call. */
    void observeWrites() {
        ChannelOutboundBuffer buffer = context.channel().unsafe().outboundBuffer();
        if (unreadBytes == 0 || buffer == null) {
            return;
        }
        long pending = buffer.totalPendingWriteBytes() - buffer.currentProgress();
        if (pending != lastPendingBytes) {
            lastPendingBytes = pending;
            lastWriteAt = server.now();
            usageChanged();
        }
    }

    /** Stops reading, or reads again. */
    void pause(boolean stop) {
        paused = stop;
        if (!closing()) {
            resumeReading();
        }
    }

    private void resumeReading() {
        updateReading();
        if (intake != null && intake.heldBytes() > 0 && takesRequests()) {
            context.channel().eventLoop().execute(() -> {
                if (context.channel().isActive()) {
                    intake.resume(intakeContext);
                }
            });
        }
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) {
        if (!closing()) {
            resumeReading();
        }
    }

    /** Refuses the unfinished request after the responses to earlier ones, and closes the connection. */
    void refuse(HttpResponseStatus status) {
        if (closing()) {
            return;
        }
        dropUnfinished();
        CallerReply reply = new CallerReply(this, emptyRequest(), false, server.now(), 0);
        replies.addLast(reply);
        openRequests++;
        dropArriving();
        server.countRefusal(status.code());
        reply.respond(refusal(status));
    }

    /** Drops bytes that arrive. Reading goes on, as it shows whether the caller of earlier requests has disconnected. */
    private void dropArriving() {
        refused = true;
        context.channel().config().setAutoRead(true);
    }

    private static FullHttpRequest emptyRequest() {
        return new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/", Unpooled.EMPTY_BUFFER);
    }

    private void dropUnfinished() {
        if (collector != null) {
            collector.drop();
            intake.drop();
        }
    }

    /**
     * Closes the connection because of what it takes. An unfinished request has not run and is told so if possible. Requests
     * that may be running are answered first, except if the caller doesn't read.
     */
    void closeFor(CloseReason reason) {
        boolean answers = phase != Phase.IDLE && !closing();
        switch (reason) {
            case HEADER_TIMEOUT, BODY_TIMEOUT -> {
                if (answers || openRequests > 0) {
                    refuse(HttpResponseStatus.REQUEST_TIMEOUT);
                } else {
                    close();
                }
            }
            case MEMORY -> {
                // The memory of responses becomes free only if the connection is closed.
                if (openRequests > 0 || answers && queuedBytes + unreadBytes <= CallerAccount.SMALL_BYTES) {
                    refuse(HttpResponseStatus.SERVICE_UNAVAILABLE);
                } else {
                    close();
                }
            }
            case CONNECTIONS, UNREAD_RESPONSES -> close();
        }
    }

    void responded(CallerReply reply, FullHttpResponse response) {
        openRequests--;
        // Until it is written, the response waits for earlier ones and not for the caller to read it.
        queuedBytes += responseCharge(response) - reply.requestCharge();
    }

    private static long responseCharge(FullHttpResponse response) {
        return response.content().readableBytes() + RESPONSE_BYTES;
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
        partEnded();
        // While the server drains, the last pending response closes the connection, so requests behind it are dropped.
        if (closing() || server.draining() && !replies.isEmpty()) {
            request.release();
            return;
        }
        boolean keepAlive = HttpUtil.isKeepAlive(request);
        long charge = nextBodyCharge + (intake == null ? 0 : intake.headCharge());
        nextBodyCharge = 0;
        CallerReply reply =
                new CallerReply(this, request, keepAlive, intake == null ? server.now() : intake.readAt(), charge);
        replies.addLast(reply);
        openRequests++;
        queuedBytes += charge;
        if (request.decoderResult().isFailure()) {
            server.logMalformed(request.decoderResult().cause());
            dropArriving();
            reply.respond(refusal(statusOf(request.decoderResult().cause())));
            return;
        }
        updateReading();
        if (!server.acceptsRequest(this, openRequests - 1)) {
            FullHttpResponse response = refusal(HttpResponseStatus.SERVICE_UNAVAILABLE);
            server.countRefusal(response.status().code());
            dropArriving();
            reply.respond(response);
            return;
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

    private static HttpResponseStatus statusOf(Throwable malformed) {
        return malformed instanceof TooLongHttpHeaderException
                ? HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
                : HttpResponseStatus.BAD_REQUEST;
    }

    private static FullHttpResponse refusal(HttpResponseStatus status) {
        FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.EMPTY_BUFFER);
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, 0);
        response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        if (status.equals(HttpResponseStatus.SERVICE_UNAVAILABLE)) {
            response.headers().set(HttpHeaderNames.RETRY_AFTER, 1);
        }
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
        }
        if (!closing()) {
            resumeReading();
        }
        usageChanged();
    }

    private void write(CallerReply reply) {
        FullHttpResponse response = reply.takeResponse();
        // A draining server answers all requests that were already read before it closes the connection.
        boolean close = !reply.keepAlive()
                || server.draining() && replies.isEmpty()
                || response.headers().containsValue(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE, true);
        pendingWrites++;
        long charge = responseCharge(response);
        if (unreadBytes == 0) {
            lastWriteAt = server.now();
        }
        queuedBytes -= charge;
        unreadBytes += charge;
        if (!close) {
            context.write(response).addListener(_ -> written(charge));
            return;
        }
        response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        closing = true;
        var writing = context.write(response).addListener(_ -> written(charge));
        if (refused && intake != null) {
            linger(writing);
        } else {
            writing.addListener(ChannelFutureListener.CLOSE);
        }
        dropUnfinished();
        discardReplies();
    }

    private void written(long charge) {
        pendingWrites--;
        unreadBytes -= charge;
        lastWriteAt = server.now();
        usageChanged();
    }

    /**
     * Closes the connection a moment after its last response. A close with unread data resets the connection, and the caller
     * may then lose the response; until the close, what arrives is read and dropped.
     */
    private void linger(ChannelFuture writing) {
        context.channel().config().setAutoRead(true);
        ChannelHandlerContext ctx = context;
        // Earlier responses may still wait in the buffer, so the time starts only after the refusal was written.
        writing.addListener(done -> {
            if (!done.isSuccess()) {
                ctx.close();
            } else if (ctx.channel().isActive()) {
                server.lingers(this);
                ctx.channel().eventLoop().schedule(() -> ctx.close(), LINGER_MILLIS, TimeUnit.MILLISECONDS);
            }
        });
    }

    private void discardReplies() {
        while (!replies.isEmpty()) {
            replies.pollFirst().discard();
        }
        openRequests = 0;
        queuedBytes = 0;
    }

    boolean idleSince(long threshold) {
        return replies.isEmpty() && pendingWrites == 0 && lastUseMillis < threshold;
    }

    /** Returns whether the connection has had no request, not even an unfinished one, since the given time. */
    boolean unusedSince(long threshold) {
        return phase == Phase.IDLE && lastReadAt < threshold && idleSince(threshold);
    }

    void close() {
        closing = true;
        dropUnfinished();
        context.close();
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        closing = true;
        dropUnfinished();
        discardReplies();
        server.closed(this);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        server.logBroken(cause);
        ctx.close();
    }
}
