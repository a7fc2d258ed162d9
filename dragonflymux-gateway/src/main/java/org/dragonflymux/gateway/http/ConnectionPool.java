package org.dragonflymux.gateway.http;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpObjectAggregator;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** Connections to other programs, kept for the next call as long as the other side keeps them. */
public final class ConnectionPool {

    private static final int CONNECT_TIMEOUT_MILLIS = 400;
    private static final int MAX_LINE_BYTES = 8_192;
    private static final int MAX_HEAD_BYTES = 65_536;
    private static final int MAX_CHUNK_BYTES = 65_536;

    private static final HttpDecoderConfig DECODING = new HttpDecoderConfig()
            .setMaxInitialLineLength(MAX_LINE_BYTES)
            .setMaxHeaderSize(MAX_HEAD_BYTES)
            .setMaxChunkSize(MAX_CHUNK_BYTES);

    private final EventLoop loop;
    private final int maxAnswerBytes;
    private final PollAge news;
    private final Map<Peer, Deque<Connection>> idle = new HashMap<>();

    /**
     * The other side of connections.
     *
     * @param name tells apart programs that had the same address one after the other
     * @param address where it listens
     */
    public record Peer(String name, InetSocketAddress address) {}

    private ConnectionPool(EventLoop loop, int maxAnswerBytes, PollAge news) {
        this.loop = loop;
        this.maxAnswerBytes = maxAnswerBytes;
        this.news = news;
    }

    /**
     * Returns a pool without connections whose calls are made on the given loop.
     *
     * @param news tells whether what cancels calls is known by now; until then none is sent
     */
    public static ConnectionPool on(EventLoop loop, int maxAnswerBytes, PollAge news) {
        return new ConnectionPool(loop, maxAnswerBytes, news);
    }

    /**
     * Makes a call.
     *
     * @param timeoutMillis when to give it up, 0 for never
     * @param maxIdleShare which share of a connection's idle time may have passed for it to be used
     */
    public Call call(
            Peer peer, FullHttpRequest request, long timeoutMillis, double maxIdleShare, CallListener listener) {
        Call call = new Call(request, listener);
        if (timeoutMillis > 0) {
            call.timeout(loop.schedule(() -> call.fail(CallFailure.TIMED_OUT), timeoutMillis, TimeUnit.MILLISECONDS));
        }
        news.whenFresh(loop, call::unwanted, () -> begin(peer, maxIdleShare, call));
        return call;
    }

    private void begin(Peer peer, double maxIdleShare, Call call) {
        Connection connection = take(peer, maxIdleShare);
        if (connection == null) {
            open(peer, call);
        } else {
            connection.send(call);
        }
    }

    private Connection take(Peer peer, double maxIdleShare) {
        Deque<Connection> connections = idle.get(peer);
        while (connections != null && !connections.isEmpty()) {
            Connection connection = connections.pollLast();
            if (!connection.usable(maxIdleShare)) {
                connection.close();
                continue;
            }
            return connection;
        }
        return null;
    }

    private void open(Peer peer, Call call) {
        Connection connection = new Connection(this, peer);
        ChannelFuture connecting = new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                .handler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        channel.pipeline()
                                .addLast(new HttpClientCodec(DECODING, false, false))
                                .addLast(new HttpObjectAggregator(maxAnswerBytes))
                                .addLast(connection);
                    }
                })
                .connect(peer.address());
        Channel channel = connecting.channel();
        call.on(channel);
        connecting.addListener(done -> {
            if (done.isSuccess()) {
                // A call that ends meanwhile closes the channel.
                news.whenFresh(loop, call::unwanted, () -> send(connection, channel, call));
            } else {
                call.fail(CallFailure.NOT_SENT);
            }
        });
    }

    private static void send(Connection connection, Channel channel, Call call) {
        if (channel.isActive()) {
            connection.send(call);
        } else {
            call.fail(CallFailure.NOT_SENT);
        }
    }

    static long nowMillis() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }

    void release(Connection connection) {
        idle.computeIfAbsent(connection.peer(), _ -> new ArrayDeque<>()).addLast(connection);
    }

    void closed(Connection connection) {
        Deque<Connection> connections = idle.get(connection.peer());
        if (connections != null) {
            connections.remove(connection);
            if (connections.isEmpty()) {
                idle.remove(connection.peer());
            }
        }
    }

    /** Closes connections that were idle for too long. */
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
