package org.dragonflymux.gateway.http;

import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.dragonflymux.gateway.http.ConnectionPool.Endpoint;

/**
 * Connections whose other end is known to be a certain process. The name of an {@link Endpoint} doesn't show that: it states which
 * process the caller expects at an address, and a later one may have accepted the connection.
 *
 * <p>A call makes a new connection only while its sender has the authority that the proof rests on. The connection is kept only if
 * {@linkplain CallListener#keepsConnection the response proves} that the process has accepted that authority. As no other call
 * uses these connections, each that is kept belongs to such a process and ends with it.
 *
 * <p>A process may close a connection at any time. So that this doesn't end the proof while no new connection may be made, a call
 * on the last proven one first opens a spare. A response that the process sends after the spare was accepted proves the spare as
 * well: the process was still there, and no other one could listen at its address.
 */
public final class ProvenConnections {

    /** Limit on the time for which a call waits for its spare connection, so that its own timeout leaves time for the response. */
    private static final long SPARE_WAIT_MILLIS = 100;

    /** An idle connection counts as a spare one only if it will be usable for about as long again as it has been idle. */
    private static final double MAX_SPARE_IDLE_FRACTION = 0.45;

    private final EventLoop loop;
    private final PollTracker pollTracker;
    private final ConnectionPool pool;

    /** Notified of the outcome of a call. */
    public interface Listener extends CallListener {

        /** Handles that the response, which follows, has ended the last proven connection to its endpoint. */
        void proofLost();
    }

    private ProvenConnections(EventLoop loop, PollTracker pollTracker, ConnectionPool pool) {
        this.loop = loop;
        this.pollTracker = pollTracker;
        this.pool = pool;
    }

    /**
     * Creates an empty set of connections whose calls run on the given event loop.
     *
     * @param pollTracker postpones calls until the event loop has polled for events that cancel them
     */
    public static ProvenConnections on(EventLoop loop, ResponseLimits limits, PollTracker pollTracker) {
        return new ProvenConnections(loop, pollTracker, ConnectionPool.on(loop, limits, pollTracker));
    }

    /**
     * Sends a request on a proven connection, or else on a new one. It fails as {@link CallFailure#NOT_SENT} if there is no proven
     * connection and a new one isn't allowed.
     *
     * @param timeoutMillis the time after which the call fails
     * @param maxIdleFraction the fraction of its idle timeout up to which an idle connection may be reused
     * @param mayConnect returns whether a new connection may be used; it is asked again at the moment at which the request is
     *     written to it
     */
    public void call(
            Endpoint endpoint,
            FullHttpRequest request,
            long timeoutMillis,
            double maxIdleFraction,
            BooleanSupplier mayConnect,
            Listener listener) {
        SpareListener spareListener = new SpareListener(endpoint, listener);
        Call call = pool.newCall(request, timeoutMillis, spareListener);
        pollTracker.whenFresh(
                loop, call::obsolete, () -> dispatch(endpoint, maxIdleFraction, mayConnect, call, spareListener));
    }

    private void dispatch(
            Endpoint endpoint,
            double maxIdleFraction,
            BooleanSupplier mayConnect,
            Call call,
            SpareListener spareListener) {
        Connection proven = pool.takeIdle(endpoint, maxIdleFraction);
        spareListener.onProven = proven != null;
        if (proven == null && mayConnect.getAsBoolean()) {
            pool.connect(endpoint, mayConnect, call);
        } else if (proven == null) {
            call.fail(CallFailure.NOT_SENT);
        } else if (pool.hasIdle(endpoint, MAX_SPARE_IDLE_FRACTION) || mayConnect.getAsBoolean()) {
            proven.send(call);
        } else {
            sendAfterSpare(proven, call, spareListener);
        }
    }

    /** Sends a call on a proven connection as soon as a spare one is there, or after a while without it. */
    private void sendAfterSpare(Connection proven, Call call, SpareListener spareListener) {
        Connection spare = pool.newConnection(proven.endpoint());
        ChannelFuture opening = pool.open(spare);
        loop.schedule(() -> opening.cancel(false), SPARE_WAIT_MILLIS, TimeUnit.MILLISECONDS);
        opening.addListener(done -> {
            if (done.isSuccess()) {
                spareListener.spare = spare;
            }
            // What the process had sent before it accepted the spare must not pass for its response. It is read first,
            // and ends
            // the proven connection, as no call is under way there.
            pollTracker.afterNextPoll(loop, () -> false, () -> sendWithSpare(proven, call, spareListener));
        });
    }

    private static void sendWithSpare(Connection proven, Call call, SpareListener spareListener) {
        if (call.obsolete()) {
            spareListener.closeSpare();
            proven.becomeIdle();
        } else if (proven.usable(1.0)) {
            proven.send(call);
        } else {
            proven.close();
            call.fail(CallFailure.NOT_SENT);
        }
    }

    /** Keeps the spare connection of a call if the response proves the process, and closes it otherwise. */
    private final class SpareListener implements CallListener {

        private final Endpoint endpoint;
        private final Listener listener;
        private boolean onProven;
        private Connection spare;

        private SpareListener(Endpoint endpoint, Listener listener) {
            this.endpoint = endpoint;
            this.listener = listener;
        }

        private void closeSpare() {
            if (spare != null) {
                spare.close();
                spare = null;
            }
        }

        @Override
        public boolean accepts(FullHttpResponse response) {
            return listener.accepts(response);
        }

        @Override
        public boolean keepsConnection(FullHttpResponse response) {
            return listener.keepsConnection(response);
        }

        @Override
        public boolean abandoned() {
            return listener.abandoned();
        }

        @Override
        public void responseReceived(FullHttpResponse response) {
            if (spare != null && listener.keepsConnection(response)) {
                spare.becomeIdle();
            } else {
                closeSpare();
            }
            if (onProven && !pool.hasIdle(endpoint, MAX_SPARE_IDLE_FRACTION)) {
                listener.proofLost();
            }
            listener.responseReceived(response);
        }

        @Override
        public void failed(CallFailure failure) {
            closeSpare();
            listener.failed(failure);
        }
    }

    /** Closes connections that have exceeded their idle timeout. */
    public void closeIdle() {
        pool.closeIdle();
    }

    /** Closes all connections, those with a call under way as soon as it has ended. */
    public void closeAll() {
        pool.closeAll();
    }
}
