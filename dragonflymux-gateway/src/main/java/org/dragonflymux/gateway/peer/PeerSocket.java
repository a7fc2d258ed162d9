package org.dragonflymux.gateway.peer;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import java.net.InetSocketAddress;
import java.util.Collection;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.dragonflymux.core.gateway.PeerReport;
import org.dragonflymux.core.quota.RateMessage;

/** UDP socket that exchanges reports and rate messages with other hosts. */
public final class PeerSocket {

    private static final Logger LOG = LogManager.getLogger(PeerSocket.class);
    private static final int MAX_DATAGRAM_BYTES = 60_000;
    /** Message kind, sent as the first byte of a datagram. */
    private static final byte REPORT = 1;

    private static final byte RATES = 2;

    private final Channel channel;

    private PeerSocket(Channel channel) {
        this.channel = channel;
    }

    /**
     * Opens the socket.
     *
     * @param reports handles received reports
     * @param rates handles received rate messages, each with its sender's address
     */
    public static PeerSocket open(
            EventLoop loop,
            InetSocketAddress address,
            Consumer<PeerReport> reports,
            BiConsumer<RateMessage, InetSocketAddress> rates) {
        Channel channel = new Bootstrap()
                .group(loop)
                .channel(NioDatagramChannel.class)
                .option(
                        io.netty.channel.ChannelOption.RCVBUF_ALLOCATOR,
                        new io.netty.channel.FixedRecvByteBufAllocator(MAX_DATAGRAM_BYTES))
                .handler(new SimpleChannelInboundHandler<DatagramPacket>() {
                    @Override
                    protected void channelRead0(ChannelHandlerContext context, DatagramPacket packet) {
                        if (!packet.content().isReadable()) {
                            return;
                        }
                        byte kind = packet.content().readByte();
                        byte[] bytes = ByteBufUtil.getBytes(packet.content());
                        switch (kind) {
                            case REPORT -> ReportCodec.decode(bytes).ifPresent(reports);
                            case RATES ->
                                RateCodec.decode(bytes).ifPresent(message -> rates.accept(message, packet.sender()));
                            default -> LOG.warn("event=peer_message_unknown kind={}", kind);
                        }
                    }

                    @Override
                    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
                        LOG.debug("event=peer_socket_error cause=\"{}\"", cause.getMessage());
                    }
                })
                .bind(address)
                .syncUninterruptibly()
                .channel();
        return new PeerSocket(channel);
    }

    /** Sends a report to each of the given hosts. */
    public void send(PeerReport report, Collection<InetSocketAddress> hosts) {
        byte[] bytes = ReportCodec.encode(report);
        if (bytes.length > MAX_DATAGRAM_BYTES) {
            LOG.warn("event=peer_report_too_large bytes={}", bytes.length);
            return;
        }
        for (InetSocketAddress host : hosts) {
            channel.write(datagram(REPORT, bytes, host));
        }
        channel.flush();
    }

    /** Sends a rate message to a host. */
    public void send(RateMessage message, InetSocketAddress host) {
        channel.writeAndFlush(datagram(RATES, RateCodec.encode(message), host));
    }

    /** Closes the socket. */
    public void close() {
        channel.close();
    }

    private static DatagramPacket datagram(byte kind, byte[] bytes, InetSocketAddress host) {
        return new DatagramPacket(Unpooled.wrappedBuffer(new byte[] {kind}, bytes), host);
    }
}
