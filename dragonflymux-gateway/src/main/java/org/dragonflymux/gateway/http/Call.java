package org.dragonflymux.gateway.http;

import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.util.concurrent.ScheduledFuture;

/** A request to another process, and the listener that is notified of its outcome. */
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

    void attach(Channel connection) {
        channel = connection;
    }

    void timeout(ScheduledFuture<?> timer) {
        timeout = timer;
    }

    void markSent() {
        sent = true;
    }

    /** Marks the call as ended. Returns false if it had already ended. */
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

    /** Returns whether the call must not be sent, because it ended or its listener abandoned it. */
    boolean obsolete() {
        return ended || listener.abandoned();
    }

    /** Cancels the call: closes its connection without notifying the listener. */
    public void cancel() {
        if (end()) {
            abort();
        }
    }

    /** Closes the connection with a TCP reset, which discards data that was not transmitted yet. */
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
