package org.dragonflymux.gateway.caller;

import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;

/** A request that waits for its answer on a caller's connection. */
public final class CallerReply {

    private final CallerConnection connection;
    private final FullHttpRequest request;
    private final boolean keepAlive;
    private final long readAt;
    private FullHttpResponse answer;
    private Runnable whenGone = () -> {};
    private boolean ended;

    CallerReply(CallerConnection connection, FullHttpRequest request, boolean keepAlive, long readAt) {
        this.connection = connection;
        this.request = request;
        this.keepAlive = keepAlive;
        this.readAt = readAt;
    }

    /** Sets what is to be done when the caller goes away before the answer. */
    public void whenGone(Runnable action) {
        whenGone = action;
    }

    /** Answers the request; the answer's buffer passes to the connection. */
    public void answer(FullHttpResponse response) {
        if (ended) {
            response.release();
            return;
        }
        ended = true;
        request.release();
        answer = response;
        connection.flushAnswers();
    }

    void gone() {
        if (!ended) {
            ended = true;
            request.release();
            whenGone.run();
        } else if (answer != null) {
            answer.release();
            answer = null;
        }
    }

    /** Returns when the request was read, in milliseconds of the monotonic clock. */
    public long readAt() {
        return readAt;
    }

    /** Returns whether the caller has left; its connection is closed a while before it says that it is. */
    public boolean callerLeft() {
        return ended || !connection.open();
    }

    boolean ended() {
        return ended;
    }

    FullHttpResponse takeAnswer() {
        FullHttpResponse taken = answer;
        answer = null;
        return taken;
    }

    boolean answered() {
        return answer != null;
    }

    boolean keepAlive() {
        return keepAlive;
    }
}
