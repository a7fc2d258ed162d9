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
 * <p>A link is opened on demand and used in both directions. A link on which nothing is received, not even a keep-alive
 * frame, is closed, and the next message opens a new one. Messages that cannot be sent are dropped; the listener is
 * notified if one of them is a forwarded request.
 */
public final class PeerNetwork implements AutoCloseable {

    private static final WriteBufferWaterMark WRITE_BUFFER_WATER_MARK = new WriteBufferWaterMark(16 << 20, 32 << 20);
    private static final int EVENT_LOOP_THREADS = 2;
    private static final int CONNECT_TIMEOUT_MILLIS = 400;
    private static final int READ_IDLE_MILLIS = 1500;
    private static final int WRITE_IDLE_MILLIS = 500;
    private static final int MAX_PENDING_MESSAGES = 1024;

    private final EventLoopGroup threads = new NioEventLoopGroup(EVENT_LOOP_THREADS);
    private final Handshake handshake;
    private final String ownAddress;
    private final PeerListener listener;
    private final Map<String, PeerLink> links = new HashMap<>();
    private final Map<String, Deque<PeerMessage>> pendingMessages = new HashMap<>();

    private PeerNetwork(String ownAddress, String secret, PeerListener listener) {
        this.ownAddress = ownAddress;
        this.handshake = new Handshake(secret);
        this.listener = listener;
    }

    /**
     * Listens for connections from other entry hosts.
     *
     * @param address the address to listen on, by which other hosts also identify this one
     * @param secret the secret shared by all entry hosts
     */
    public static PeerNetwork listen(InetSocketAddress address, String secret, PeerListener listener)
            throws InterruptedException {
        PeerNetwork network = new PeerNetwork(format(address), secret, listener);
        network.bind(address);
        return network;
    }

    /** Returns an address in the form that messages use, an IP address and a port. */
    public static String format(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    private void bind(InetSocketAddress address) throws InterruptedException {
        new ServerBootstrap()
                .group(threads)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, WRITE_BUFFER_WATER_MARK)
                .childHandler(initializer(() -> PeerLink.accepting(linkListener, handshake, ownAddress)))
                .bind(address)
                .sync();
    }

    private static ChannelHandler initializer(java.util.function.Supplier<PeerLink> link) {
        return new ChannelInitializer<SocketChannel>() {
            @Override
            protected void initChannel(SocketChannel channel) {
                channel.pipeline()
                        .addLast(PeerLink.handshakeFrameDecoder())
                        .addLast(new LengthFieldPrepender(PeerLink.LENGTH_BYTES))
                        .addLast(new IdleStateHandler(READ_IDLE_MILLIS, WRITE_IDLE_MILLIS, 0, TimeUnit.MILLISECONDS))
                        .addLast(link.get());
            }
        };
    }

    private final PeerLink.Listener linkListener = new PeerLink.Listener() {
        @Override
        public void opened(PeerLink link) {
            addLink(link);
        }

        @Override
        public void messageReceived(PeerLink link, PeerMessage message) {
            if (message instanceof PeerMessage.ForwardOutcome outcome) {
                link.pendingForwards().remove(outcome.request());
            }
            listener.messageReceived(link.peerAddress(), message);
        }

        @Override
        public void closed(PeerLink link, PeerProtocolError reason) {
            removeLink(link, reason);
        }
    };

    /** Sends a message over the open link to an address, or opens one. */
    public void send(String address, PeerMessage message) {
        Optional<PeerLink> link;
        boolean connect = false;
        synchronized (links) {
            link = Optional.ofNullable(links.get(address));
            if (link.isEmpty()) {
                Deque<PeerMessage> queue = pendingMessages.get(address);
                connect = queue == null;
                queue = pendingMessages.computeIfAbsent(address, key -> new ArrayDeque<>());
                if (queue.size() >= MAX_PENDING_MESSAGES) {
                    reportUndelivered(queue.poll());
                }
                queue.add(message);
            }
        }
        link.ifPresent(open -> write(open, message));
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
                .option(ChannelOption.WRITE_BUFFER_WATER_MARK, WRITE_BUFFER_WATER_MARK)
                .handler(initializer(() -> PeerLink.connecting(linkListener, handshake, ownAddress, address)))
                .connect(remote)
                .addListener(connected -> {
                    if (!connected.isSuccess()) {
                        dropPendingMessages(address);
                    }
                });
    }

    private void addLink(PeerLink link) {
        Deque<PeerMessage> queue;
        synchronized (links) {
            links.put(link.peerAddress(), link);
            queue = pendingMessages.remove(link.peerAddress());
        }
        if (queue != null) {
            queue.forEach(message -> write(link, message));
        }
    }

    private void write(PeerLink link, PeerMessage message) {
        if (!link.writable()) {
            handleFullBuffer(link, message);
            return;
        }
        if (message instanceof PeerMessage.Forward forward) {
            link.pendingForwards().add(forward.request());
        }
        link.write(message);
    }

    // The write buffer of the link is full. An outcome is replaced by a short one, so that the peer that waits for it
    // still learns that the response is incomplete.
    private void handleFullBuffer(PeerLink link, PeerMessage message) {
        if (message instanceof PeerMessage.ForwardOutcome outcome) {
            link.write(new PeerMessage.ForwardOutcome(
                    outcome.request(), new Outcome.Unknown(UnknownReason.ANSWER_INCOMPLETE)));
        } else {
            reportUndelivered(message);
        }
    }

    private void removeLink(PeerLink link, PeerProtocolError reason) {
        if (link.peerAddress() == null) {
            return;
        }
        boolean current;
        synchronized (links) {
            current = links.remove(link.peerAddress(), link);
        }
        if (reason != null) {
            listener.linkClosed(link.peerAddress(), reason);
        }
        link.pendingForwards().forEach(request -> listener.forwardFailed(request, true));
        if (!current) {
            dropPendingMessages(link.peerAddress());
        }
    }

    private void dropPendingMessages(String address) {
        Deque<PeerMessage> queue;
        synchronized (links) {
            queue = links.containsKey(address) ? null : pendingMessages.remove(address);
        }
        if (queue != null) {
            queue.forEach(this::reportUndelivered);
        }
    }

    private void reportUndelivered(PeerMessage message) {
        if (message instanceof PeerMessage.Forward forward) {
            listener.forwardFailed(forward.request(), false);
        }
    }

    @Override
    public void close() {
        threads.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }
}
