package org.dragonflymux.gateway.caller;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpServerCodec;
import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.dragonflymux.core.desired.RequestLimits;
import org.dragonflymux.gateway.http.PollTracker;

/** HTTP server that accepts connections from callers. */
public final class CallerServer {

    private static final Logger LOG = LogManager.getLogger(CallerServer.class);
    private static final int BACKLOG = 512;
    /** Limit on connections accepted in a row before the event loop serves the open ones again. */
    private static final int MAX_CONSECUTIVE_ACCEPTS = 32;

    private static final int MAX_LINE_BYTES = 8_192;
    private static final int MAX_CHUNK_BYTES = 65_536;

    private final EventLoop loop;
    private final CallerHandler handler;
    private final Supplier<RequestLimits> limits;
    private final LongSupplier clock;
    private final PollTracker pollTracker;
    private final Set<CallerConnection> connections = new HashSet<>();
    private Channel serverChannel;
    private ScheduledFuture<?> idleCheck;
    private boolean draining;

    private CallerServer(
            EventLoop loop,
            CallerHandler handler,
            Supplier<RequestLimits> limits,
            LongSupplier clock,
            PollTracker pollTracker) {
        this.loop = loop;
        this.handler = handler;
        this.limits = limits;
        this.clock = clock;
        this.pollTracker = pollTracker;
    }

    /**
     * Creates a server that does not listen yet.
     *
     * @param limits supplies the limits on callers' requests and idle connections
     * @param clock supplies the time, in milliseconds of the monotonic clock
     * @param pollTracker postpones requests until the event loop has polled for callers that disconnected
     */
    public static CallerServer on(
            EventLoop loop,
            CallerHandler handler,
            Supplier<RequestLimits> limits,
            LongSupplier clock,
            PollTracker pollTracker) {
        return new CallerServer(loop, handler, limits, clock, pollTracker);
    }

    /** Starts to accept connections on the address. */
    public void listen(InetSocketAddress address) {
        serverChannel = new ServerBootstrap()
                .group(loop, loop)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .option(ChannelOption.SO_REUSEADDR, true)
                .option(
                        ChannelOption.RCVBUF_ALLOCATOR,
                        new AdaptiveRecvByteBufAllocator().maxMessagesPerRead(MAX_CONSECUTIVE_ACCEPTS))
                .childOption(ChannelOption.TCP_NODELAY, true)
                // Read until no data is left, so that the end of the stream is detected as well.
                .childOption(
                        ChannelOption.RCVBUF_ALLOCATOR, new AdaptiveRecvByteBufAllocator().respectMaybeMoreData(false))
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        RequestLimits current = limits.get();
                        channel.pipeline()
                                .addLast(new HttpServerCodec(MAX_LINE_BYTES, current.maxHeaderBytes(), MAX_CHUNK_BYTES))
                                .addLast(new HttpObjectAggregator(current.maxBodyBytes()))
                                .addLast(new CallerConnection(CallerServer.this));
                    }
                })
                .bind(address)
                .syncUninterruptibly()
                .channel();
        idleCheck = loop.scheduleWithFixedDelay(this::closeIdle, 1, 1, TimeUnit.SECONDS);
    }

    private void closeIdle() {
        long threshold =
                TimeUnit.NANOSECONDS.toMillis(System.nanoTime()) - limits.get().idleTimeoutMillis();
        for (CallerConnection connection : Set.copyOf(connections)) {
            if (connection.idleSince(threshold)) {
                connection.close();
            }
        }
    }

    long now() {
        return clock.getAsLong();
    }

    PollTracker pollTracker() {
        return pollTracker;
    }

    CallerHandler handler() {
        return handler;
    }

    boolean draining() {
        return draining;
    }

    void opened(CallerConnection connection) {
        connections.add(connection);
    }

    void closed(CallerConnection connection) {
        connections.remove(connection);
    }

    void logMalformed(Throwable cause) {
        LOG.info("event=request_malformed cause=\"{}\"", cause.getMessage());
    }

    void logBroken(Throwable cause) {
        LOG.debug("event=caller_connection_broken cause=\"{}\"", cause.getMessage());
    }

    /** Starts draining: from now on, the last pending response on a connection closes it. */
    public void drain() {
        draining = true;
    }

    /**
     * Closes connections without pending requests that were not used for a while. A connection that was accepted a moment ago
     * may carry a request that has not been read yet.
     *
     * @param unusedMillis the minimum time since the connection was accepted or last used
     */
    public void closeUnused(long unusedMillis) {
        for (CallerConnection connection : Set.copyOf(connections)) {
            if (connection.idleSince(now() - unusedMillis)) {
                connection.close();
            }
        }
    }

    /** Stops accepting connections and no longer closes idle ones. */
    public void stopListening() {
        if (serverChannel.isOpen()) {
            idleCheck.cancel(false);
            serverChannel.close();
        }
    }

    public int connections() {
        return connections.size();
    }
}
