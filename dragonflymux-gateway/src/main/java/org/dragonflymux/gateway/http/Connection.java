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
import org.dragonflymux.gateway.http.ConnectionPool.Peer;

/** One connection of a pool. */
final class Connection extends SimpleChannelInboundHandler<FullHttpResponse> {

    private static final long DEFAULT_IDLE_MILLIS = 4_000;
    private static final long IDLE_MARGIN_MILLIS = 700;
    private static final int FINAL_STATUS = 200;
    private static final int MAX_INTERIM_ANSWERS = 16;
    private static final String KEEP_ALIVE = "keep-alive";
    private static final Splitter PARAMETERS = Splitter.on(',').trimResults();

    private final ConnectionPool pool;
    private final Peer peer;
    private ChannelHandlerContext context;
    private Call call;
    private ChannelFuture writing;
    private long idleSince;
    private long idleMillis = DEFAULT_IDLE_MILLIS;
    private int interimAnswers;
    private boolean reset;
    private boolean closing;

    Connection(ConnectionPool pool, Peer peer) {
        this.pool = pool;
        this.peer = peer;
    }

    Peer peer() {
        return peer;
    }

    boolean usable(double maxIdleShare) {
        return !closing
                && context.channel().isActive()
                && ConnectionPool.nowMillis() - idleSince < (idleMillis - IDLE_MARGIN_MILLIS) * maxIdleShare;
    }

    void close() {
        closing = true;
        context.close();
    }

    void send(Call next) {
        call = next;
        interimAnswers = 0;
        call.on(context.channel());
        call.markSent();
        writing = context.writeAndFlush(next.request());
    }

    @Override
    public void handlerAdded(ChannelHandlerContext added) {
        context = added;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse answer) {
        if (call == null || call.ended()) {
            // Bytes after the end of an answer belong to no call.
            close();
            return;
        }
        Call answered = call;
        if (answer.decoderResult().isFailure()) {
            answered.fail(CallFailure.MALFORMED);
            close();
            return;
        }
        if (reset) {
            answered.fail(CallFailure.BROKEN);
            return;
        }
        if (answer.status().code() < FINAL_STATUS) {
            interim();
            return;
        }
        call = null;
        keepOrClose(answer);
        if (answered.end()) {
            answered.listener().answered(answer);
        }
    }

    /** Takes in an interim answer; a target that sends them without end answers nothing. */
    private void interim() {
        interimAnswers++;
        if (interimAnswers > MAX_INTERIM_ANSWERS) {
            call.fail(CallFailure.MALFORMED);
            close();
        }
    }

    private void keepOrClose(FullHttpResponse answer) {
        if (!HttpUtil.isKeepAlive(answer) || !framed(answer)) {
            close();
            return;
        }
        idleMillis = announcedIdleMillis(answer);
        // The rest of a request whose answer came early is still on its way.
        writing.addListener(done -> {
            if (done.isSuccess() && !closing) {
                idleSince = ConnectionPool.nowMillis();
                pool.release(this);
            } else {
                close();
            }
        });
    }

    private static boolean framed(FullHttpResponse answer) {
        return HttpUtil.isContentLengthSet(answer) || HttpUtil.isTransferEncodingChunked(answer);
    }

    private static long announcedIdleMillis(FullHttpResponse answer) {
        String announced = answer.headers().get(KEEP_ALIVE);
        if (announced == null) {
            return DEFAULT_IDLE_MILLIS;
        }
        for (String parameter : PARAMETERS.split(announced)) {
            if (parameter.startsWith("timeout=")) {
                Long seconds = Longs.tryParse(parameter.substring("timeout=".length()));
                if (seconds != null) {
                    return TimeUnit.SECONDS.toMillis(seconds);
                }
            }
        }
        return DEFAULT_IDLE_MILLIS;
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
