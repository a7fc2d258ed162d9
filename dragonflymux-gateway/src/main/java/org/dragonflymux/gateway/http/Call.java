package org.dragonflymux.gateway.http;

import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.util.concurrent.ScheduledFuture;

/** One request on its way, and who waits for the answer. */
public final class Call {

    private final FullHttpRequest request;
    private final CallListener listener;
    private Channel channel;
    private ScheduledFuture<?> timeout;
    private boolean ended;
    private boolean sent;

    Call(FullHttpRequest request, CallListener listener) {
        this.request = request;
        this.listener = listener;
    }

    FullHttpRequest request() {
        return request;
    }

    CallListener listener() {
        return listener;
    }

    void on(Channel connection) {
        channel = connection;
    }

    void timeout(ScheduledFuture<?> timer) {
        timeout = timer;
    }

    void markSent() {
        sent = true;
    }

    /** Marks the call as ended; returns false if it had ended before. */
    boolean end() {
        if (ended) {
            return false;
        }
        ended = true;
        if (timeout != null) {
            timeout.cancel(false);
        }
        if (!sent) {
            request.release();
        }
        return true;
    }

    boolean ended() {
        return ended;
    }

    /** Returns whether it isn't to be sent any more. */
    boolean unwanted() {
        return ended || listener.abandoned();
    }

    /** Gives the call up: its connection is closed, and the listener hears nothing more. */
    public void cancel() {
        if (end()) {
            abort();
        }
    }

    /** Resets the connection, so that bytes that are still on their way are dropped. */
    private void abort() {
        if (channel != null) {
            if (channel.isActive()) {
                channel.config().setOption(ChannelOption.SO_LINGER, 0);
            }
            channel.close();
        }
    }

    void fail(CallFailure failure) {
        boolean wasSent = sent;
        if (end()) {
            abort();
            listener.failed(wasSent ? failure : CallFailure.NOT_SENT);
        }
    }
}
