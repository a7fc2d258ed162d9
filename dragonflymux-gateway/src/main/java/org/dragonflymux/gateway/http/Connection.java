package org.dragonflymux.gateway.http;

import com.google.common.base.Splitter;
import com.google.common.primitives.Longs;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import java.io.IOException;
import java.util.concurrent.TimeUnit;
import org.dragonflymux.gateway.http.ConnectionPool.Endpoint;

/** A pooled connection, which carries one request at a time. */
final class Connection extends SimpleChannelInboundHandler<FullHttpResponse> {

    private static final long DEFAULT_IDLE_TIMEOUT_MILLIS = 4_000;
    private static final long IDLE_MARGIN_MILLIS = 700;
    /** Limit on the responses to one request before the final one: interim ones and responses to other requests. */
    private static final int MAX_SKIPPED_RESPONSES = 16;

    private static final String KEEP_ALIVE = "keep-alive";
    private static final Splitter PARAMETERS = Splitter.on(',').trimResults();

    private final ConnectionPool pool;
    private final Endpoint endpoint;
    private final ResponseDecoder decoder;
    private final long generation;
    private ChannelHandlerContext context;
    private Call call;
    /** The response to the call until all bytes that arrived with it were decoded. */
    private FullHttpResponse pendingResponse;

    private ChannelFuture writing;
    private long idleSince;
    private long idleTimeoutMillis = DEFAULT_IDLE_TIMEOUT_MILLIS;
    private int skippedResponses;
    private boolean outOfStep;
    private boolean closing;

    Connection(ConnectionPool pool, Endpoint endpoint, ResponseDecoder decoder) {
        this.pool = pool;
        this.endpoint = endpoint;
        this.decoder = decoder;
        this.generation = pool.generation();
    }

    Endpoint endpoint() {
        return endpoint;
    }

    ResponseDecoder decoder() {
        return decoder;
    }

    /** Hands the connection to its pool as an idle one, or closes it if it is of no further use. */
    void becomeIdle() {
        if (closing || !context.channel().isActive() || generation != pool.generation()) {
            close();
            return;
        }
        idleSince = ConnectionPool.nowMillis();
        pool.release(this);
    }

    boolean usable(double maxIdleFraction) {
        return !closing
                && !decoder.hasUndecodedBytes()
                && context.channel().isActive()
                && ConnectionPool.nowMillis() - idleSince < (idleTimeoutMillis - IDLE_MARGIN_MILLIS) * maxIdleFraction;
    }

    void close() {
        closing = true;
        context.close();
    }

    void send(Call next) {
        call = next;
        skippedResponses = 0;
        decoder.expectResponseTo(call.request().method());
        call.attach(context.channel());
        call.markSent();
        writing = context.writeAndFlush(next.request());
    }

    @Override
    public void handlerAdded(ChannelHandlerContext added) {
        context = added;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse response) {
        if (pendingResponse != null || call == null || call.ended()) {
            // Data received after the end of a response belongs to no call.
            close();
            return;
        }
        Call answeredCall = call;
        if (decoder.maybeTruncated()) {
            answeredCall.fail(CallFailure.BROKEN);
            return;
        }
        if (response.decoderResult().isFailure() || response.status().codeClass() == HttpStatusClass.UNKNOWN) {
            answeredCall.fail(CallFailure.MALFORMED);
            close();
            return;
        }
        if (response.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
            countSkipped();
            return;
        }
        if (!answeredCall.listener().accepts(response)) {
            outOfStep = true;
            countSkipped();
            return;
        }
        pendingResponse = response.retain();
    }

    /** Completes the call only now, because bytes that follow its response rule out the reuse of the connection. */
    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        completeCall();
        ctx.fireChannelReadComplete();
    }

    private void completeCall() {
        if (pendingResponse == null) {
            return;
        }
        FullHttpResponse response = pendingResponse;
        Call answeredCall = call;
        pendingResponse = null;
        call = null;
        keepOrClose(answeredCall, response);
        if (answeredCall.end()) {
            answeredCall.listener().responseReceived(response);
        }
        response.release();
    }

    /** Counts a response that is not the final one. A target that keeps sending them never answers, so the call fails. */
    private void countSkipped() {
        skippedResponses++;
        if (skippedResponses > MAX_SKIPPED_RESPONSES) {
            call.fail(CallFailure.MALFORMED);
            close();
        }
    }

    private void keepOrClose(Call answeredCall, FullHttpResponse response) {
        boolean inStep = !closing && !outOfStep && !decoder.hasUndecodedBytes();
        boolean wanted = answeredCall.listener().keepsConnection(response);
        if (!inStep || !wanted || !HttpUtil.isKeepAlive(response) || !hasFraming(response)) {
            close();
            return;
        }
        idleTimeoutMillis = advertisedIdleTimeoutMillis(response);
        // The response may arrive before the request is fully written; the connection is reused only after that.
        writing.addListener(done -> {
            if (done.isSuccess()) {
                becomeIdle();
            } else {
                close();
            }
        });
    }

    private static boolean hasFraming(FullHttpResponse response) {
        return HttpUtil.isContentLengthSet(response) || HttpUtil.isTransferEncodingChunked(response);
    }

    private static long advertisedIdleTimeoutMillis(FullHttpResponse response) {
        String advertised = response.headers().get(KEEP_ALIVE);
        if (advertised == null) {
            return DEFAULT_IDLE_TIMEOUT_MILLIS;
        }
        for (String parameter : PARAMETERS.split(advertised)) {
            if (parameter.startsWith("timeout=")) {
                Long seconds = Longs.tryParse(parameter.substring("timeout=".length()));
                if (seconds != null) {
                    return TimeUnit.SECONDS.toMillis(seconds);
                }
            }
        }
        return DEFAULT_IDLE_TIMEOUT_MILLIS;
    }

    /** Handles the end of the peer's side. The peer sends nothing more, so the connection is of no further use. */
    @Override
    public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
        if (event instanceof ChannelInputShutdownEvent) {
            completeCall();
            if (call != null) {
                call.fail(CallFailure.BROKEN);
            }
            close();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        completeCall();
        if (call != null) {
            call.fail(cause instanceof IOException ? CallFailure.BROKEN : CallFailure.MALFORMED);
        }
        close();
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        closing = true;
        pool.closed(this);
        completeCall();
        if (call != null) {
            call.fail(CallFailure.BROKEN);
        }
    }
}
