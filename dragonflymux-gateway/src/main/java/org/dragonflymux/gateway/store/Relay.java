package org.dragonflymux.gateway.store;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.dragonflymux.gateway.clock.HoldClock;
import org.dragonflymux.gateway.clock.LeaseClock;

/** Relays updates of the store to subscribed hosts, and subscribes to the updates of another host. */
final class Relay {

    private static final Logger LOG = LogManager.getLogger(Relay.class);
    private static final int LENGTH_BYTES = 4;
    private static final int MAX_FRAME_BYTES = 32 << 20;
    private static final int CONNECT_TIMEOUT_MILLIS = 400;
    private static final ReceivedTimestamp NO_TIMESTAMP = new ReceivedTimestamp(0, 0);
    /** A subscriber that got nothing for this long is told that this host is alive. */
    private static final long MAX_QUIET_MILLIS = 500;

    private final EventLoop loop;
    private final LeaseClock leaseClock;
    private final HoldClock holdClock;
    private final Map<Channel, SubscriberState> subscribers = new HashMap<>();
    private Optional<InetSocketAddress> source = Optional.empty();
    private Channel subscription;

    /** The latest timestamp of a subscriber, by its clock, and the time of arrival, by the clock of this host. */
    private record ReceivedTimestamp(long time, long receivedAt) {}

    private static final class SubscriberState {
        private ReceivedTimestamp timestamp = NO_TIMESTAMP;
        private long sentAt;
    }

    /**
     * Creates a relay.
     *
     * @param leaseClock dates what this host receives
     * @param holdClock measures the age of a subscriber's timestamp, by which the subscriber takes updates for newer
     */
    Relay(EventLoop loop, LeaseClock leaseClock, HoldClock holdClock) {
        this.loop = loop;
        this.leaseClock = leaseClock;
        this.holdClock = holdClock;
    }

    /**
     * Accepts subscribers on the given address.
     *
     * @param initialFrame supplies the first frame for a new subscriber
     * @param emptyFrame supplies the frame for a subscriber that has got nothing for a while, empty if there is no copy yet
     */
    void listen(
            InetSocketAddress address, Supplier<RelayFrame> initialFrame, Supplier<Optional<RelayFrame>> emptyFrame) {
        new ServerBootstrap()
                .group(loop, loop)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        addFraming(channel, Long.BYTES).pipeline().addLast(new Subscriber(initialFrame, emptyFrame));
                    }
                })
                .bind(address)
                .syncUninterruptibly();
    }

    /** Adds the framing; the limit holds for the bytes after the length. */
    private static SocketChannel addFraming(SocketChannel channel, int maxReceivedBytes) {
        channel.pipeline()
                .addLast(new LengthFieldBasedFrameDecoder(
                        LENGTH_BYTES + maxReceivedBytes, 0, LENGTH_BYTES, 0, LENGTH_BYTES))
                .addLast(new LengthFieldPrepender(LENGTH_BYTES));
        return channel;
    }

    /** Sends a frame to all subscribers. */
    void publish(RelayFrame frame) {
        for (Channel subscriber : List.copyOf(subscribers.keySet())) {
            send(subscriber, frame);
        }
    }

    private void send(Channel subscriber, RelayFrame frame) {
        if (!subscriber.isWritable()) {
            // The subscriber does not read; it must reconnect and start from a new snapshot.
            subscriber.close();
            return;
        }
        Optional.ofNullable(subscribers.get(subscriber)).ifPresent(state -> state.sentAt = holdClock.nowMillis());
        try {
            subscriber.writeAndFlush(frame.withEcho(echoTimestamp(subscriber)).encode());
        } catch (IOException unwritable) {
            LOG.warn("event=relay_frame_unwritable cause=\"{}\"", unwritable.getMessage());
        }
    }

    private Optional<RelayFrame.EchoTimestamp> echoTimestamp(Channel subscriber) {
        return Optional.ofNullable(subscribers.get(subscriber))
                .map(state -> state.timestamp)
                .filter(received -> received != NO_TIMESTAMP)
                .map(received ->
                        new RelayFrame.EchoTimestamp(received.time(), holdClock.nowMillis() - received.receivedAt()));
    }

    /** Sends the current time of this host to the host that it subscribes to. */
    void sendEchoTimestamp() {
        if (subscription != null && subscription.isActive()) {
            subscription.writeAndFlush(Unpooled.copyLong(leaseClock.nowMillis()));
        }
    }

    /** Subscribes to the updates of the given host in place of the previous one; reconnects if disconnected. */
    void subscribe(Optional<InetSocketAddress> address, Consumer<RelayFrame> frameHandler) {
        boolean disconnected = subscription != null && !subscription.isOpen();
        if (address.equals(source) && !disconnected) {
            return;
        }
        if (subscription != null) {
            subscription.close();
            subscription = null;
        }
        source = address;
        address.ifPresent(to -> subscription = new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                .handler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        addFraming(channel, MAX_FRAME_BYTES).pipeline().addLast(new Subscription(frameHandler));
                    }
                })
                .connect(to)
                .channel());
    }

    /** Closes the connection to the source; the next call of {@link #subscribe} opens it again, and it starts with a snapshot. */
    void reconnect() {
        if (subscription != null) {
            subscription.close();
        }
    }

    /** The connection of a subscriber, on the side that sends updates. */
    private final class Subscriber extends SimpleChannelInboundHandler<ByteBuf> {

        private final Supplier<RelayFrame> initialFrame;
        private final Supplier<Optional<RelayFrame>> emptyFrame;

        Subscriber(Supplier<RelayFrame> initialFrame, Supplier<Optional<RelayFrame>> emptyFrame) {
            this.initialFrame = initialFrame;
            this.emptyFrame = emptyFrame;
        }

        @Override
        public void channelActive(ChannelHandlerContext context) {
            subscribers.put(context.channel(), new SubscriberState());
            send(context.channel(), initialFrame.get());
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, ByteBuf timestamp) {
            SubscriberState state = subscribers.get(context.channel());
            if (timestamp.readableBytes() != Long.BYTES || state == null) {
                context.close();
                return;
            }
            long now = holdClock.nowMillis();
            state.timestamp = new ReceivedTimestamp(timestamp.readLong(), now);
            // While the store is away there is nothing new to relay. A subscriber that
            // receives no frames would subscribe to another host, which then sends it a snapshot.
            if (now - state.sentAt >= MAX_QUIET_MILLIS) {
                emptyFrame.get().ifPresent(frame -> send(context.channel(), frame));
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            subscribers.remove(context.channel());
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }

    /** The connection to the source, on the side that receives updates. */
    private final class Subscription extends SimpleChannelInboundHandler<ByteBuf> {

        private final Consumer<RelayFrame> frameHandler;

        Subscription(Consumer<RelayFrame> frameHandler) {
            this.frameHandler = frameHandler;
        }

        @Override
        public void channelActive(ChannelHandlerContext context) {
            context.writeAndFlush(Unpooled.copyLong(leaseClock.nowMillis()));
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, ByteBuf bytes) throws IOException {
            frameHandler.accept(RelayFrame.decode(bytes));
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            LOG.info("event=relay_broken cause=\"{}\"", cause.getMessage());
            context.close();
        }
    }
}
