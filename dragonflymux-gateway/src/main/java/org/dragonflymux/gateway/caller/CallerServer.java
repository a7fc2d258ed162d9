package org.dragonflymux.gateway.caller;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpServerCodec;
import java.net.InetSocketAddress;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.dragonflymux.core.caller.CallerAccount;
import org.dragonflymux.core.caller.CallerAction;
import org.dragonflymux.core.caller.CallerLimits;
import org.dragonflymux.core.caller.CallerUsage;
import org.dragonflymux.core.caller.CloseReason;
import org.dragonflymux.core.desired.RequestLimits;
import org.dragonflymux.gateway.http.PollTracker;
import org.dragonflymux.gateway.http.ProcessLimits;

/** HTTP server that accepts connections from callers. */
public final class CallerServer {

    private static final Logger LOG = LogManager.getLogger(CallerServer.class);
    private static final int BACKLOG = 512;
    /** Limit on connections accepted in a row before the event loop serves the open ones again. */
    private static final int MAX_CONSECUTIVE_ACCEPTS = 32;

    private static final int MAX_LINE_BYTES = 8_192;
    private static final int MAX_CHUNK_BYTES = 65_536;
    /** Limit on connections that stay open only for their callers to read a refusal. */
    private static final int MAX_LINGERING = 32;

    private static final int LOG_LINES_PER_SECOND = 10;

    private final EventLoop loop;
    private final CallerHandler handler;
    private final Supplier<RequestLimits> limits;
    private final LongSupplier clock;
    private final PollTracker pollTracker;
    private final CallerAccount account;
    private final Map<Long, CallerConnection> connections = new HashMap<>();
    private final Set<CallerConnection> lingering = new LinkedHashSet<>();
    private final Map<CloseReason, Integer> closedByReason = new EnumMap<>(CloseReason.class);
    private final Map<Integer, Integer> refusalsByStatus = new TreeMap<>();
    private int linesThisSecond;
    private long lastConnection;
    private Channel serverChannel;
    private ScheduledFuture<?> connectionCheck;
    private boolean draining;

    private CallerServer(
            EventLoop loop,
            CallerHandler handler,
            Supplier<RequestLimits> limits,
            LongSupplier clock,
            PollTracker pollTracker,
            CallerLimits callerLimits) {
        this.loop = loop;
        this.handler = handler;
        this.limits = limits;
        this.clock = clock;
        this.pollTracker = pollTracker;
        this.account = CallerAccount.of(callerLimits);
    }

    /** Creates a server that does not listen yet, with limits on all callers that follow from the process. */
    public static CallerServer on(
            EventLoop loop,
            CallerHandler handler,
            Supplier<RequestLimits> limits,
            LongSupplier clock,
            PollTracker pollTracker) {
        return on(loop, handler, limits, clock, pollTracker, ProcessLimits.callerLimits(0));
    }

    /**
     * Creates a server that does not listen yet.
     *
     * @param limits supplies the limits on callers' requests and idle connections
     * @param clock supplies the time, in milliseconds of the monotonic clock
     * @param pollTracker postpones requests until the event loop has polled for callers that disconnected
     * @param callerLimits limits on what all callers take together
     */
    public static CallerServer on(
            EventLoop loop,
            CallerHandler handler,
            Supplier<RequestLimits> limits,
            LongSupplier clock,
            PollTracker pollTracker,
            CallerLimits callerLimits) {
        return new CallerServer(loop, handler, limits, clock, pollTracker, callerLimits);
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
                        new CallerConnection(CallerServer.this)
                                .addHandlers(
                                        channel.pipeline(),
                                        new HttpServerCodec(MAX_LINE_BYTES, current.maxHeaderBytes(), MAX_CHUNK_BYTES),
                                        current.maxBodyBytes());
                    }
                })
                .bind(address)
                .syncUninterruptibly()
                .channel();
        connectionCheck = loop.scheduleWithFixedDelay(this::checkConnections, 1, 1, TimeUnit.SECONDS);
        LOG.info(
                "event=caller_limits memoryBytes={} connections={} openRequests={} targetBodyBytes={}",
                account.limits().memoryBytes(),
                account.limits().connections(),
                account.limits().openRequests(),
                account.limits().targetBodyBytes());
    }

    /** Closes connections that exceed a timeout, and others if memory has been short for a while. */
    void checkConnections() {
        long threshold = now() - limits.get().idleTimeoutMillis();
        for (CallerConnection connection : List.copyOf(connections.values())) {
            connection.observeWrites();
            if (connection.unusedSince(threshold)) {
                connection.close();
            }
        }
        linesThisSecond = 0;
        carryOut(account.tick(limits.get(), now()));
    }

    private void carryOut(List<CallerAction> actions) {
        for (CallerAction action : actions) {
            CallerConnection connection = connections.get(action.connection());
            if (connection == null) {
                continue;
            }
            switch (action) {
                case CallerAction.Pause _ -> connection.pause(true);
                case CallerAction.Resume _ -> connection.pause(false);
                case CallerAction.Close close -> {
                    closedByReason.merge(close.reason(), 1, Integer::sum);
                    logClosed(close.reason());
                    connection.closeFor(close.reason());
                }
            }
        }
    }

    private void logClosed(CloseReason reason) {
        if (linesThisSecond < LOG_LINES_PER_SECOND) {
            linesThisSecond++;
            LOG.info(
                    "event=caller_closed reason={} connections={} memoryBytes={}",
                    reason,
                    account.connections(),
                    account.totalBytes());
        }
    }

    /** Counts a refusal that was given before the request was handled. */
    void countRefusal(int status) {
        refusalsByStatus.merge(status, 1, Integer::sum);
    }

    /** Logs how many connections were closed and how many requests refused for what their callers took, if there were any. */
    public void logCounts() {
        if (!closedByReason.isEmpty() || !refusalsByStatus.isEmpty()) {
            LOG.info(
                    "event=callers_limited closed={} refused={} connections={} memoryBytes={}",
                    closedByReason,
                    refusalsByStatus,
                    account.connections(),
                    account.totalBytes());
            closedByReason.clear();
            refusalsByStatus.clear();
        }
    }

    long nextConnection() {
        lastConnection++;
        return lastConnection;
    }

    void used(CallerConnection connection, CallerUsage usage) {
        carryOut(account.used(connection.id(), usage, limits.get(), now()));
    }

    /** Returns the memory that is accounted to all callers. */
    long accountedBytes() {
        return account.totalBytes();
    }

    boolean acceptsRequest(CallerConnection connection, int openOnConnection) {
        return account.acceptsRequest(connection.id(), openOnConnection);
    }

    /** Records a connection that stays open only for its caller to read a refusal; too many of them are closed at once. */
    void lingers(CallerConnection connection) {
        lingering.add(connection);
        if (lingering.size() > MAX_LINGERING) {
            lingering.iterator().next().close();
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
        connections.put(connection.id(), connection);
        carryOut(account.opened(connection.id(), now()));
    }

    void closed(CallerConnection connection) {
        connections.remove(connection.id());
        lingering.remove(connection);
        carryOut(account.closed(connection.id(), limits.get(), now()));
    }

    void logMalformed(Throwable cause) {
        if (linesThisSecond < LOG_LINES_PER_SECOND) {
            linesThisSecond++;
            LOG.info("event=request_malformed cause=\"{}\"", cause.getMessage());
        }
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
        for (CallerConnection connection : List.copyOf(connections.values())) {
            if (connection.idleSince(now() - unusedMillis)) {
                connection.close();
            }
        }
    }

    /** Stops accepting connections and no longer closes idle ones. */
    public void stopListening() {
        if (serverChannel.isOpen()) {
            connectionCheck.cancel(false);
            serverChannel.close();
        }
    }

    public int connections() {
        return connections.size();
    }
}
