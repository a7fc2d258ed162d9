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
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.dragonflymux.core.desired.RequestLimits;
import org.dragonflymux.gateway.http.PollAge;

/** Accepts callers' connections. */
public final class CallerServer {

    private static final Logger LOG = LogManager.getLogger(CallerServer.class);
    private static final int BACKLOG = 512;
    /** How many connections are accepted before those that are open are looked at again. */
    private static final int MAX_ACCEPTED_AT_ONCE = 32;

    private static final int MAX_LINE_BYTES = 8_192;
    private static final int MAX_CHUNK_BYTES = 65_536;

    private final EventLoop loop;
    private final CallerHandler handler;
    private final Supplier<RequestLimits> limits;
    private final LongSupplier clock;
    private final PollAge news;
    private final Set<CallerConnection> connections = new HashSet<>();
    private Channel listener;
    private boolean draining;

    private CallerServer(
            EventLoop loop, CallerHandler handler, Supplier<RequestLimits> limits, LongSupplier clock, PollAge news) {
        this.loop = loop;
        this.handler = handler;
        this.limits = limits;
        this.clock = clock;
        this.news = news;
    }

    /**
     * Returns a server that doesn't listen yet.
     *
     * @param limits tells what callers may send
     * @param clock tells the time, in milliseconds of the monotonic clock
     * @param news tells whether callers that left are known by now; until then nothing is decided
     */
    public static CallerServer on(
            EventLoop loop, CallerHandler handler, Supplier<RequestLimits> limits, LongSupplier clock, PollAge news) {
        return new CallerServer(loop, handler, limits, clock, news);
    }

    /** Begins to accept connections. */
    public void listen(InetSocketAddress address) {
        listener = new ServerBootstrap()
                .group(loop, loop)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .option(ChannelOption.SO_REUSEADDR, true)
                .option(
                        ChannelOption.RCVBUF_ALLOCATOR,
                        new AdaptiveRecvByteBufAllocator().maxMessagesPerRead(MAX_ACCEPTED_AT_ONCE))
                .childOption(ChannelOption.TCP_NODELAY, true)
                // Reads go on until nothing is left, the caller's end of the connection included.
                .childOption(
                        ChannelOption.RCVBUF_ALLOCATOR, new AdaptiveRecvByteBufAllocator().respectMaybeMoreData(false))
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        RequestLimits present = limits.get();
                        channel.pipeline()
                                .addLast(new HttpServerCodec(MAX_LINE_BYTES, present.maxHeaderBytes(), MAX_CHUNK_BYTES))
                                .addLast(new HttpObjectAggregator(present.maxBodyBytes()))
                                .addLast(new CallerConnection(CallerServer.this));
                    }
                })
                .bind(address)
                .syncUninterruptibly()
                .channel();
        loop.scheduleWithFixedDelay(this::closeIdle, 1, 1, TimeUnit.SECONDS);
    }

    private void closeIdle() {
        long then =
                TimeUnit.NANOSECONDS.toMillis(System.nanoTime()) - limits.get().idleTimeoutMillis();
        for (CallerConnection connection : Set.copyOf(connections)) {
            if (connection.idleSince(then)) {
                connection.close();
            }
        }
    }

    long now() {
        return clock.getAsLong();
    }

    PollAge news() {
        return news;
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

    void malformed(Throwable cause) {
        LOG.info("event=request_malformed cause=\"{}\"", cause.getMessage());
    }

    void broken(Throwable cause) {
        LOG.debug("event=caller_connection_broken cause=\"{}\"", cause.getMessage());
    }

    /** From now on each answer closes its connection. */
    public void drain() {
        draining = true;
    }

    /** Closes connections on which no request waits. */
    public void closeUnused() {
        for (CallerConnection connection : Set.copyOf(connections)) {
            if (connection.idleSince(Long.MAX_VALUE)) {
                connection.close();
            }
        }
    }

    /** Stops accepting connections. */
    public void stopListening() {
        listener.close();
    }

    public int connections() {
        return connections.size();
    }
}
