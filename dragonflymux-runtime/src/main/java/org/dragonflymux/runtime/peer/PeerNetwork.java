package org.dragonflymux.runtime.peer;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.handler.timeout.IdleStateHandler;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.dragonflymux.core.message.Outcome;
import org.dragonflymux.core.message.PeerMessage;
import org.dragonflymux.core.message.UnknownReason;

/**
 * The links of one entry host to the others.
 *
 * <p>A link is opened when there is something to send and used in both directions. A link on which nothing comes, not
 * even a keep-alive, is closed, and the next message opens a new one. Messages that cannot be sent are dropped, save that
 * the sender of a forwarded request is told.
 */
public final class PeerNetwork implements AutoCloseable {

    private static final WriteBufferWaterMark PENDING_BYTES = new WriteBufferWaterMark(16 << 20, 32 << 20);
    private static final int THREADS = 2;
    private static final int CONNECT_TIMEOUT_MILLIS = 400;
    private static final int READ_IDLE_MILLIS = 1500;
    private static final int WRITE_IDLE_MILLIS = 500;
    private static final int MAX_WAITING_MESSAGES = 1024;

    private final EventLoopGroup threads = new NioEventLoopGroup(THREADS);
    private final Handshake handshake;
    private final String ownAddress;
    private final PeerListener listener;
    private final Map<String, PeerLink> links = new HashMap<>();
    private final Map<String, Deque<PeerMessage>> waiting = new HashMap<>();

    private PeerNetwork(String ownAddress, String secret, PeerListener listener) {
        this.ownAddress = ownAddress;
        this.handshake = new Handshake(secret);
        this.listener = listener;
    }

    /**
     * Starts to listen.
     *
     * @param address where to listen, and how other hosts name this one
     * @param secret what all entry hosts share
     */
    public static PeerNetwork listen(InetSocketAddress address, String secret, PeerListener listener)
            throws InterruptedException {
        PeerNetwork network = new PeerNetwork(format(address), secret, listener);
        network.bind(address);
        return network;
    }

    /** Returns an address as messages carry it. */
    public static String format(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    private void bind(InetSocketAddress address) throws InterruptedException {
        new ServerBootstrap()
                .group(threads)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, PENDING_BYTES)
                .childHandler(initializer(() -> PeerLink.accepting(owner, handshake, ownAddress)))
                .bind(address)
                .sync();
    }

    private static ChannelHandler initializer(java.util.function.Supplier<PeerLink> link) {
        return new ChannelInitializer<SocketChannel>() {
            @Override
            protected void initChannel(SocketChannel channel) {
                channel.pipeline()
                        .addLast(PeerLink.handshakeFrames())
                        .addLast(new LengthFieldPrepender(PeerLink.LENGTH_BYTES))
                        .addLast(new IdleStateHandler(READ_IDLE_MILLIS, WRITE_IDLE_MILLIS, 0, TimeUnit.MILLISECONDS))
                        .addLast(link.get());
            }
        };
    }

    private final PeerLink.Owner owner = new PeerLink.Owner() {
        @Override
        public void open(PeerLink link) {
            opened(link);
        }

        @Override
        public void arrived(PeerLink link, PeerMessage message) {
            if (message instanceof PeerMessage.ForwardOutcome outcome) {
                link.openForwards().remove(outcome.request());
            }
            listener.arrived(link.address(), message);
        }

        @Override
        public void closed(PeerLink link, PeerProtocolError reason) {
            lost(link, reason);
        }
    };

    /** Sends a message, over an open link or a new one. */
    public void send(String address, PeerMessage message) {
        Optional<PeerLink> open;
        boolean connect = false;
        synchronized (links) {
            open = Optional.ofNullable(links.get(address));
            if (open.isEmpty()) {
                Deque<PeerMessage> queue = waiting.get(address);
                connect = queue == null;
                queue = waiting.computeIfAbsent(address, name -> new ArrayDeque<>());
                if (queue.size() >= MAX_WAITING_MESSAGES) {
                    undelivered(queue.poll());
                }
                queue.add(message);
            }
        }
        open.ifPresent(link -> write(link, message));
        if (connect) {
            connect(address);
        }
    }

    private void connect(String address) {
        int colon = address.lastIndexOf(':');
        InetSocketAddress remote =
                new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
        new Bootstrap()
                .group(threads)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.WRITE_BUFFER_WATER_MARK, PENDING_BYTES)
                .handler(initializer(() -> PeerLink.connecting(owner, handshake, ownAddress, address)))
                .connect(remote)
                .addListener(done -> {
                    if (!done.isSuccess()) {
                        abandon(address);
                    }
                });
    }

    private void opened(PeerLink link) {
        Deque<PeerMessage> queue;
        synchronized (links) {
            links.put(link.address(), link);
            queue = waiting.remove(link.address());
        }
        if (queue != null) {
            queue.forEach(message -> write(link, message));
        }
    }

    private void write(PeerLink link, PeerMessage message) {
        if (!link.writable()) {
            overflow(link, message);
            return;
        }
        if (message instanceof PeerMessage.Forward forward) {
            link.openForwards().add(forward.request());
        }
        link.write(message);
    }

    // The link takes no more bytes for now; whoever waits for an outcome is still told the truth.
    private void overflow(PeerLink link, PeerMessage message) {
        if (message instanceof PeerMessage.ForwardOutcome outcome) {
            link.write(new PeerMessage.ForwardOutcome(
                    outcome.request(), new Outcome.Unknown(UnknownReason.ANSWER_INCOMPLETE)));
        } else {
            undelivered(message);
        }
    }

    private void lost(PeerLink link, PeerProtocolError reason) {
        if (link.address() == null) {
            return;
        }
        boolean current;
        synchronized (links) {
            current = links.remove(link.address(), link);
        }
        if (reason != null) {
            listener.closed(link.address(), reason);
        }
        link.openForwards().forEach(request -> listener.forwardFailed(request, true));
        if (!current) {
            abandon(link.address());
        }
    }

    private void abandon(String address) {
        Deque<PeerMessage> queue;
        synchronized (links) {
            queue = links.containsKey(address) ? null : waiting.remove(address);
        }
        if (queue != null) {
            queue.forEach(this::undelivered);
        }
    }

    private void undelivered(PeerMessage message) {
        if (message instanceof PeerMessage.Forward forward) {
            listener.forwardFailed(forward.request(), false);
        }
    }

    @Override
    public void close() {
        threads.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }
}
