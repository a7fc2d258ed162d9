package org.dragonflymux.gateway.caller;

import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;

/** A request that waits for its answer on a caller's connection. */
public final class CallerReply {

    private final CallerConnection connection;
    private final FullHttpRequest request;
    private final boolean keepAlive;
    private FullHttpResponse answer;
    private Runnable whenGone = () -> {};
    private boolean ended;

    CallerReply(CallerConnection connection, FullHttpRequest request, boolean keepAlive) {
        this.connection = connection;
        this.request = request;
        this.keepAlive = keepAlive;
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
