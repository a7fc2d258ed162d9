package org.dragonflymux.gateway.http;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpRequestEncoder;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/**
 * Pool of HTTP connections by endpoint. Idle connections are reused as long as the other side keeps them open. Which process is
 * there isn't known: see {@link ProvenConnections}.
 */
public final class ConnectionPool {

    private static final int CONNECT_TIMEOUT_MILLIS = 400;
    private static final int MAX_LINE_BYTES = 8_192;
    private static final int MAX_HEADER_BYTES = 65_536;
    private static final int MAX_CHUNK_BYTES = 65_536;

    private static final BooleanSupplier ALWAYS = () -> true;

    private static final HttpDecoderConfig DECODER_CONFIG = new HttpDecoderConfig()
            .setMaxInitialLineLength(MAX_LINE_BYTES)
            .setMaxHeaderSize(MAX_HEADER_BYTES)
            .setMaxChunkSize(MAX_CHUNK_BYTES);

    private final EventLoop loop;
    private final int maxResponseBytes;
    private final UnfinishedResponses unfinishedResponses;
    private final PollTracker pollTracker;
    private final Map<Endpoint, Deque<Connection>> idle = new HashMap<>();
    /** The number of times that all connections were closed. */
    private long generation;

    /**
     * The remote endpoint of a connection.
     *
     * @param name distinguishes the processes that are expected at the same address one after another
     * @param address the address it listens on
     */
    public record Endpoint(String name, InetSocketAddress address) {}

    private ConnectionPool(EventLoop loop, ResponseLimits limits, PollTracker pollTracker) {
        this.loop = loop;
        this.maxResponseBytes = limits.maxResponseBytes();
        this.unfinishedResponses = new UnfinishedResponses(limits.maxTotalBytes());
        this.pollTracker = pollTracker;
    }

    /**
     * Creates an empty pool whose calls run on the given event loop.
     *
     * @param pollTracker postpones calls until the event loop has polled for events that cancel them
     */
    public static ConnectionPool on(EventLoop loop, ResponseLimits limits, PollTracker pollTracker) {
        return new ConnectionPool(loop, limits, pollTracker);
    }

    /**
     * Sends a request.
     *
     * @param timeoutMillis the time after which the call fails, 0 for none
     * @param maxIdleFraction the fraction of its idle timeout up to which an idle connection may be reused
     */
    public Call call(
            Endpoint endpoint,
            FullHttpRequest request,
            long timeoutMillis,
            double maxIdleFraction,
            CallListener listener) {
        Call call = newCall(request, timeoutMillis, listener);
        pollTracker.whenFresh(loop, call::obsolete, () -> dispatch(endpoint, maxIdleFraction, call));
        return call;
    }

    /**
     * Sends a request on a connection that has carried no other request.
     *
     * @param timeoutMillis the time after which the call fails, 0 for none
     */
    public Call callOnNewConnection(
            Endpoint endpoint, FullHttpRequest request, long timeoutMillis, CallListener listener) {
        Call call = newCall(request, timeoutMillis, listener);
        pollTracker.whenFresh(loop, call::obsolete, () -> connect(endpoint, ALWAYS, call));
        return call;
    }

    Call newCall(FullHttpRequest request, long timeoutMillis, CallListener listener) {
        Call call = new Call(request, listener);
        if (timeoutMillis > 0) {
            call.timeout(loop.schedule(() -> call.fail(CallFailure.TIMED_OUT), timeoutMillis, TimeUnit.MILLISECONDS));
        }
        return call;
    }

    private void dispatch(Endpoint endpoint, double maxIdleFraction, Call call) {
        Connection connection = takeIdle(endpoint, maxIdleFraction);
        if (connection == null) {
            connect(endpoint, ALWAYS, call);
        } else {
            connection.send(call);
        }
    }

    /** Returns whether a connection is idle of whose idle timeout no more than the given fraction has passed. */
    boolean hasIdle(Endpoint endpoint, double maxIdleFraction) {
        return idle.containsKey(endpoint)
                && idle.get(endpoint).stream().anyMatch(connection -> connection.usable(maxIdleFraction));
    }

    /** Returns an idle connection, which is no longer one of the pool's, or null if there is none. */
    Connection takeIdle(Endpoint endpoint, double maxIdleFraction) {
        Deque<Connection> connections = idle.get(endpoint);
        while (connections != null && !connections.isEmpty()) {
            Connection connection = connections.pollLast();
            if (!connection.usable(maxIdleFraction)) {
                connection.close();
                continue;
            }
            return connection;
        }
        return null;
    }

    /**
     * Sends a call on a new connection.
     *
     * @param maySend returns whether the call may be written, now that the connection is there
     */
    void connect(Endpoint endpoint, BooleanSupplier maySend, Call call) {
        Connection connection = newConnection(endpoint);
        ChannelFuture connecting = open(connection);
        Channel channel = connecting.channel();
        call.attach(channel);
        connecting.addListener(done -> {
            if (done.isSuccess()) {
                // If the call ends in the meantime, it closes the channel.
                pollTracker.whenFresh(loop, call::obsolete, () -> sendOnNew(connection, channel, maySend, call));
            } else {
                call.fail(CallFailure.NOT_SENT);
            }
        });
    }

    /** Opens a connection. */
    ChannelFuture open(Connection connection) {
        return new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                // Shows the end of the peer's side as an event of its own, unlike the loss of the connection.
                .option(ChannelOption.ALLOW_HALF_CLOSURE, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                .handler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        addHandlers(channel.pipeline(), connection);
                    }
                })
                .connect(connection.endpoint().address());
    }

    /** Returns a connection that is not opened yet. */
    Connection newConnection(Endpoint endpoint) {
        return new Connection(this, endpoint, new ResponseDecoder(DECODER_CONFIG));
    }

    /** Adds the handlers of a connection to its pipeline. */
    void addHandlers(ChannelPipeline pipeline, Connection connection) {
        pipeline.addLast(connection.decoder(), new HttpRequestEncoder())
                .addLast(unfinishedResponses.meter(), new HttpObjectAggregator(maxResponseBytes))
                .addLast(connection);
    }

    private static void sendOnNew(Connection connection, Channel channel, BooleanSupplier maySend, Call call) {
        if (channel.isActive() && maySend.getAsBoolean()) {
            connection.send(call);
        } else {
            call.fail(CallFailure.NOT_SENT);
        }
    }

    /** Returns the size of all unfinished responses, in bytes. */
    long unfinishedResponseBytes() {
        return unfinishedResponses.totalBytes();
    }

    static long nowMillis() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }

    long generation() {
        return generation;
    }

    void release(Connection connection) {
        idle.computeIfAbsent(connection.endpoint(), _ -> new ArrayDeque<>()).addLast(connection);
    }

    void closed(Connection connection) {
        Deque<Connection> connections = idle.get(connection.endpoint());
        if (connections != null) {
            connections.remove(connection);
            if (connections.isEmpty()) {
                idle.remove(connection.endpoint());
            }
        }
    }

    /** Closes all connections, those with a call under way as soon as it has ended. */
    void closeAll() {
        generation++;
        idle.values().stream().flatMap(Deque::stream).toList().forEach(Connection::close);
    }

    /** Closes connections that have exceeded their idle timeout. */
    public void closeIdle() {
        for (Deque<Connection> connections : idle.values().stream().toList()) {
            for (Connection connection : connections.stream().toList()) {
                if (!connection.usable(1.0)) {
                    connection.close();
                }
            }
        }
    }
}
