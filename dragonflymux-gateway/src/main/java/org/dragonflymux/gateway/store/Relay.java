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
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/** Passes news of the store on to hosts that ask for it, and asks another host for it. */
final class Relay {

    private static final Logger LOG = LogManager.getLogger(Relay.class);
    private static final int LENGTH_BYTES = 4;
    private static final int MAX_FRAME_BYTES = 32 << 20;
    private static final int CONNECT_TIMEOUT_MILLIS = 400;
    private static final ReceivedMark NO_MARK = new ReceivedMark(0, 0);

    private final EventLoop loop;
    private final LongSupplier clock;
    private final Map<Channel, ReceivedMark> subscribers = new HashMap<>();
    private Optional<InetSocketAddress> source = Optional.empty();
    private Channel subscription;

    /** A subscriber's latest mark, and when it came; a time of the subscriber, and one of this host. */
    private record ReceivedMark(long time, long at) {}

    /**
     * Creates a relay.
     *
     * @param clock tells the time, in milliseconds
     */
    Relay(EventLoop loop, LongSupplier clock) {
        this.loop = loop;
        this.clock = clock;
    }

    /**
     * Accepts subscribers.
     *
     * @param first gives what a new subscriber gets first
     */
    void listen(InetSocketAddress address, Supplier<RelayFrame> first) {
        new ServerBootstrap()
                .group(loop, loop)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        frames(channel).pipeline().addLast(new Subscriber(first));
                    }
                })
                .bind(address)
                .syncUninterruptibly();
    }

    private static SocketChannel frames(SocketChannel channel) {
        channel.pipeline()
                .addLast(new LengthFieldBasedFrameDecoder(MAX_FRAME_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES))
                .addLast(new LengthFieldPrepender(LENGTH_BYTES));
        return channel;
    }

    /** Sends news to all subscribers. */
    void publish(RelayFrame frame) {
        for (Channel subscriber : List.copyOf(subscribers.keySet())) {
            send(subscriber, frame);
        }
    }

    private void send(Channel subscriber, RelayFrame frame) {
        if (!subscriber.isWritable()) {
            // It doesn't read; it has to begin anew.
            subscriber.close();
            return;
        }
        try {
            subscriber.writeAndFlush(frame.marked(mark(subscriber)).encode());
        } catch (IOException unwritable) {
            LOG.warn("event=relay_frame_unwritable cause=\"{}\"", unwritable.getMessage());
        }
    }

    private Optional<RelayFrame.Mark> mark(Channel subscriber) {
        return Optional.ofNullable(subscribers.get(subscriber))
                .filter(received -> received != NO_MARK)
                .map(received -> new RelayFrame.Mark(received.time(), clock.getAsLong() - received.at()));
    }

    /** Sends this host's time to the host that is asked for news. */
    void mark() {
        if (subscription != null && subscription.isActive()) {
            subscription.writeAndFlush(Unpooled.copyLong(clock.getAsLong()));
        }
    }

    /** Asks the given host for news, in place of the one that was asked before. */
    void follow(Optional<InetSocketAddress> address, Consumer<RelayFrame> news) {
        boolean broken = subscription != null && !subscription.isOpen();
        if (address.equals(source) && !broken) {
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
                        frames(channel).pipeline().addLast(new Subscription(news));
                    }
                })
                .connect(to)
                .channel());
    }

    /** The side that sends news. */
    private final class Subscriber extends SimpleChannelInboundHandler<ByteBuf> {

        private final Supplier<RelayFrame> first;

        Subscriber(Supplier<RelayFrame> first) {
            this.first = first;
        }

        @Override
        public void channelActive(ChannelHandlerContext context) {
            subscribers.put(context.channel(), NO_MARK);
            send(context.channel(), first.get());
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, ByteBuf mark) {
            if (mark.readableBytes() == Long.BYTES) {
                subscribers.put(context.channel(), new ReceivedMark(mark.readLong(), clock.getAsLong()));
            } else {
                context.close();
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

    /** The side that takes news. */
    private final class Subscription extends SimpleChannelInboundHandler<ByteBuf> {

        private final Consumer<RelayFrame> news;

        Subscription(Consumer<RelayFrame> news) {
            this.news = news;
        }

        @Override
        public void channelActive(ChannelHandlerContext context) {
            context.writeAndFlush(Unpooled.copyLong(clock.getAsLong()));
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, ByteBuf bytes) throws IOException {
            news.accept(RelayFrame.decode(bytes));
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            LOG.info("event=relay_broken cause=\"{}\"", cause.getMessage());
            context.close();
        }
    }
}
