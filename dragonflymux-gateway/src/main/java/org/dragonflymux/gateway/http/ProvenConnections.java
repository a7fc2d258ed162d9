package org.dragonflymux.gateway.http;

import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.FullHttpRequest;
import java.util.function.BooleanSupplier;
import org.dragonflymux.gateway.http.ConnectionPool.Endpoint;

/**
 * Connections whose other end is known to be a certain process. The name of an {@link Endpoint} doesn't show that: it states which
 * process the caller expects at an address, and a later one may have accepted the connection.
 *
 * <p>A call makes a new connection only while its sender has the authority that the proof rests on. The connection is kept only if
 * {@linkplain CallListener#keepsConnection the response proves} that the process has accepted that authority. As no other call
 * uses these connections, each that is kept belongs to such a process and ends with it.
 */
public final class ProvenConnections {

    private final ConnectionPool pool;

    private ProvenConnections(ConnectionPool pool) {
        this.pool = pool;
    }

    /**
     * Creates an empty set of connections whose calls run on the given event loop.
     *
     * @param pollTracker postpones calls until the event loop has polled for events that cancel them
     */
    public static ProvenConnections on(EventLoop loop, ResponseLimits limits, PollTracker pollTracker) {
        return new ProvenConnections(ConnectionPool.on(loop, limits, pollTracker));
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
    public Call call(
            Endpoint endpoint,
            FullHttpRequest request,
            long timeoutMillis,
            double maxIdleFraction,
            BooleanSupplier mayConnect,
            CallListener listener) {
        return pool.call(endpoint, request, timeoutMillis, maxIdleFraction, mayConnect, listener);
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
