package org.dragonflymux.runtime.peer;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.timeout.IdleState;
import io.netty.handler.timeout.IdleStateEvent;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.dragonflymux.core.message.PeerMessage;

/** One end of a TCP connection between two entry hosts. */
final class PeerLink extends SimpleChannelInboundHandler<ByteBuf> {

    static final int LENGTH_BYTES = 4;
    private static final int MAX_ADDRESS_BYTES = 64;
    private static final int MAX_HANDSHAKE_BYTES = 128;
    private static final int MAX_FRAME_BYTES = 80 << 20;

    /** Receives the events of a link, on I/O threads. */
    interface Listener {

        void opened(PeerLink link);

        void messageReceived(PeerLink link, PeerMessage message);

        void closed(PeerLink link, PeerProtocolError reason);
    }

    private enum Stage {
        WAIT_HELLO,
        WAIT_CHALLENGE,
        WAIT_PROOF,
        OPEN
    }

    private final Listener listener;
    private final Handshake handshake;
    private final String ownAddress;
    private final byte[] ownNonce = Handshake.nonce();
    private final Set<Long> pendingForwards = ConcurrentHashMap.newKeySet();
    private String peerAddress;
    private byte[] peerNonce;
    private Stage stage;
    private PeerProtocolError closeReason;
    private volatile Channel channel;

    private PeerLink(Listener listener, Handshake handshake, String ownAddress, String peerAddress) {
        this.listener = listener;
        this.handshake = handshake;
        this.ownAddress = ownAddress;
        this.peerAddress = peerAddress;
        this.stage = peerAddress == null ? Stage.WAIT_HELLO : Stage.WAIT_CHALLENGE;
    }

    static PeerLink connecting(Listener listener, Handshake handshake, String ownAddress, String peerAddress) {
        return new PeerLink(listener, handshake, ownAddress, peerAddress);
    }

    static PeerLink accepting(Listener listener, Handshake handshake, String ownAddress) {
        return new PeerLink(listener, handshake, ownAddress, null);
    }

    String peerAddress() {
        return peerAddress;
    }

    Set<Long> pendingForwards() {
        return pendingForwards;
    }

    boolean writable() {
        return channel.isWritable();
    }

    void write(PeerMessage message) {
        channel.writeAndFlush(Unpooled.wrappedBuffer(PeerCodec.encode(message)));
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        channel = context.channel();
        if (stage == Stage.WAIT_CHALLENGE) {
            context.writeAndFlush(Handshake.hello(ownNonce, ownAddress));
        }
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, ByteBuf frame) {
        switch (stage) {
            case WAIT_HELLO -> handleHello(context, frame);
            case WAIT_CHALLENGE -> handleChallenge(context, frame);
            case WAIT_PROOF -> handleProof(context, frame);
            case OPEN -> handleMessage(context, frame);
        }
    }

    private void handleHello(ChannelHandlerContext context, ByteBuf frame) {
        int addressBytes = frame.readableBytes() - 1 - Handshake.NONCE_BYTES;
        if (addressBytes <= 0 || addressBytes > MAX_ADDRESS_BYTES) {
            close(context, PeerProtocolError.UNREADABLE);
        } else if (frame.readByte() != PeerCodec.VERSION) {
            close(context, PeerProtocolError.VERSION);
        } else {
            peerNonce = Handshake.readBytes(frame, Handshake.NONCE_BYTES);
            peerAddress = frame.toString(StandardCharsets.UTF_8);
            stage = Stage.WAIT_PROOF;
            context.writeAndFlush(Handshake.challenge(ownNonce, handshake.acceptorProof(peerNonce, ownNonce)));
        }
    }

    private void handleChallenge(ChannelHandlerContext context, ByteBuf frame) {
        if (!Handshake.hasSize(frame, true)) {
            close(context, PeerProtocolError.UNREADABLE);
            return;
        }
        peerNonce = Handshake.readBytes(frame, Handshake.NONCE_BYTES);
        byte[] proof = Handshake.readBytes(frame, frame.readableBytes());
        if (!Handshake.equalInConstantTime(proof, handshake.acceptorProof(ownNonce, peerNonce))) {
            close(context, PeerProtocolError.SECRET);
            return;
        }
        context.writeAndFlush(Unpooled.wrappedBuffer(handshake.connectorProof(ownNonce, peerNonce, ownAddress)));
        completeHandshake(context);
    }

    private void handleProof(ChannelHandlerContext context, ByteBuf frame) {
        boolean authenticated = Handshake.hasSize(frame, false)
                && Handshake.equalInConstantTime(
                        Handshake.readBytes(frame, frame.readableBytes()),
                        handshake.connectorProof(peerNonce, ownNonce, peerAddress));
        if (!authenticated) {
            close(context, PeerProtocolError.SECRET);
            return;
        }
        completeHandshake(context);
    }

    private void completeHandshake(ChannelHandlerContext context) {
        stage = Stage.OPEN;
        listener.opened(this);
        // Large frames are accepted from authenticated peers only. Replacing the decoder immediately passes on the
        // bytes that it has buffered.
        context.pipeline().replace(LengthFieldBasedFrameDecoder.class, "messages", frameDecoder(MAX_FRAME_BYTES));
    }

    private static LengthFieldBasedFrameDecoder frameDecoder(int maxBytes) {
        return new LengthFieldBasedFrameDecoder(maxBytes, 0, LENGTH_BYTES, 0, LENGTH_BYTES);
    }

    /** Returns the frame decoder of a link whose peer is not authenticated yet. */
    static LengthFieldBasedFrameDecoder handshakeFrameDecoder() {
        return frameDecoder(MAX_HANDSHAKE_BYTES);
    }

    private void handleMessage(ChannelHandlerContext context, ByteBuf frame) {
        if (!frame.isReadable()) {
            return;
        }
        PeerCodec.decode(Handshake.readBytes(frame, frame.readableBytes()))
                .peekLeft(error -> close(context, error))
                .forEach(message -> listener.messageReceived(this, message));
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) {
        if (event instanceof IdleStateEvent idle && idle.state() == IdleState.READER_IDLE) {
            close(context, PeerProtocolError.SILENT);
        } else if (event instanceof IdleStateEvent && stage == Stage.OPEN) {
            context.writeAndFlush(Unpooled.EMPTY_BUFFER);
        }
    }

    private void close(ChannelHandlerContext context, PeerProtocolError error) {
        closeReason = error;
        context.close();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        close(context, PeerProtocolError.UNREADABLE);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        listener.closed(this, closeReason);
    }
}
