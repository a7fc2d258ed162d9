package org.dragonflymux.gateway.http;

import com.google.common.base.Splitter;
import com.google.common.primitives.Longs;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import java.io.IOException;
import java.util.concurrent.TimeUnit;
import org.dragonflymux.gateway.http.ConnectionPool.Endpoint;

/** A pooled connection, which carries one request at a time. */
final class Connection extends SimpleChannelInboundHandler<FullHttpResponse> {

    private static final long DEFAULT_IDLE_TIMEOUT_MILLIS = 4_000;
    private static final long IDLE_MARGIN_MILLIS = 700;
    private static final int MIN_FINAL_STATUS = 200;
    private static final int MAX_INTERIM_RESPONSES = 16;
    private static final String KEEP_ALIVE = "keep-alive";
    private static final Splitter PARAMETERS = Splitter.on(',').trimResults();

    private final ConnectionPool pool;
    private final Endpoint endpoint;
    private ChannelHandlerContext context;
    private Call call;
    private ChannelFuture writing;
    private long idleSince;
    private long idleTimeoutMillis = DEFAULT_IDLE_TIMEOUT_MILLIS;
    private int interimResponses;
    private boolean reset;
    private boolean closing;

    Connection(ConnectionPool pool, Endpoint endpoint) {
        this.pool = pool;
        this.endpoint = endpoint;
    }

    Endpoint endpoint() {
        return endpoint;
    }

    boolean usable(double maxIdleFraction) {
        return !closing
                && context.channel().isActive()
                && ConnectionPool.nowMillis() - idleSince < (idleTimeoutMillis - IDLE_MARGIN_MILLIS) * maxIdleFraction;
    }

    void close() {
        closing = true;
        context.close();
    }

    void send(Call next) {
        call = next;
        interimResponses = 0;
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
        if (call == null || call.ended()) {
            // Data received after the end of a response belongs to no call.
            close();
            return;
        }
        Call answeredCall = call;
        if (response.decoderResult().isFailure()) {
            answeredCall.fail(CallFailure.MALFORMED);
            close();
            return;
        }
        if (reset) {
            answeredCall.fail(CallFailure.BROKEN);
            return;
        }
        if (response.status().code() < MIN_FINAL_STATUS) {
            countInterim();
            return;
        }
        call = null;
        keepOrClose(response);
        if (answeredCall.end()) {
            answeredCall.listener().responseReceived(response);
        }
    }

    /** Counts an interim (1xx) response. A target that keeps sending them never gives a final response, so the call fails. */
    private void countInterim() {
        interimResponses++;
        if (interimResponses > MAX_INTERIM_RESPONSES) {
            call.fail(CallFailure.MALFORMED);
            close();
        }
    }

    private void keepOrClose(FullHttpResponse response) {
        if (!HttpUtil.isKeepAlive(response) || !hasFraming(response)) {
            close();
            return;
        }
        idleTimeoutMillis = advertisedIdleTimeoutMillis(response);
        // The response may arrive before the request is fully written; the connection is reused only after that.
        writing.addListener(done -> {
            if (done.isSuccess() && !closing) {
                idleSince = ConnectionPool.nowMillis();
                pool.release(this);
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

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        reset |= cause instanceof IOException;
        if (call != null) {
            call.fail(cause instanceof IOException ? CallFailure.BROKEN : CallFailure.MALFORMED);
        }
        close();
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        closing = true;
        pool.closed(this);
        if (call != null) {
            call.fail(CallFailure.BROKEN);
        }
    }
}
