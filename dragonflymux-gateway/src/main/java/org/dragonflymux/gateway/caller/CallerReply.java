package org.dragonflymux.gateway.caller;

import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;

/** The pending response to one request on a caller's connection. */
public final class CallerReply {

    private final CallerConnection connection;
    private final FullHttpRequest request;
    private final boolean keepAlive;
    private final long readAt;
    private final long requestCharge;
    private FullHttpResponse pendingResponse;
    private Runnable disconnectAction = () -> {};
    private boolean ended;

    CallerReply(
            CallerConnection connection, FullHttpRequest request, boolean keepAlive, long readAt, long requestCharge) {
        this.connection = connection;
        this.request = request;
        this.keepAlive = keepAlive;
        this.readAt = readAt;
        this.requestCharge = requestCharge;
    }

    /** Returns the memory that the request takes until it has a response. */
    long requestCharge() {
        return requestCharge;
    }

    /** Sets the action to run if the caller disconnects before the response is given. */
    public void onDisconnect(Runnable action) {
        disconnectAction = action;
    }

    /** Responds to the request. The connection takes ownership of the response's buffer. */
    public void respond(FullHttpResponse response) {
        if (ended) {
            response.release();
            return;
        }
        ended = true;
        request.release();
        pendingResponse = response;
        connection.responded(this, response);
        connection.flushResponses();
    }

    void discard() {
        if (!ended) {
            ended = true;
            request.release();
            disconnectAction.run();
        } else if (pendingResponse != null) {
            pendingResponse.release();
            pendingResponse = null;
        }
    }

    /** Returns the time at which the request was read, in milliseconds of the monotonic clock. */
    public long readAt() {
        return readAt;
    }

    /**
     * Returns whether the caller has disconnected or the request was already answered. This checks the channel itself,
     * which is closed some time before its close event is delivered.
     */
    public boolean callerDisconnected() {
        return ended || !connection.open();
    }

    boolean ended() {
        return ended;
    }

    FullHttpResponse takeResponse() {
        FullHttpResponse taken = pendingResponse;
        pendingResponse = null;
        return taken;
    }

    boolean hasResponse() {
        return pendingResponse != null;
    }

    boolean keepAlive() {
        return keepAlive;
    }
}
