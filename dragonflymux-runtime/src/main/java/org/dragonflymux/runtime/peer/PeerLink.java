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

    /** Takes in what happens on a link. */
    interface Owner {

        void open(PeerLink link);

        void arrived(PeerLink link, PeerMessage message);

        void closed(PeerLink link, PeerProtocolError reason);
    }

    private enum Stage {
        WAIT_HELLO,
        WAIT_CHALLENGE,
        WAIT_PROOF,
        OPEN
    }

    private final Owner owner;
    private final Handshake handshake;
    private final String ownAddress;
    private final byte[] ownNonce = Handshake.nonce();
    private final Set<Long> openForwards = ConcurrentHashMap.newKeySet();
    private String address;
    private byte[] otherNonce;
    private Stage stage;
    private PeerProtocolError reason;
    private volatile Channel channel;

    private PeerLink(Owner owner, Handshake handshake, String ownAddress, String address) {
        this.owner = owner;
        this.handshake = handshake;
        this.ownAddress = ownAddress;
        this.address = address;
        this.stage = address == null ? Stage.WAIT_HELLO : Stage.WAIT_CHALLENGE;
    }

    static PeerLink connecting(Owner owner, Handshake handshake, String ownAddress, String address) {
        return new PeerLink(owner, handshake, ownAddress, address);
    }

    static PeerLink accepting(Owner owner, Handshake handshake, String ownAddress) {
        return new PeerLink(owner, handshake, ownAddress, null);
    }

    String address() {
        return address;
    }

    Set<Long> openForwards() {
        return openForwards;
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
            case WAIT_HELLO -> hello(context, frame);
            case WAIT_CHALLENGE -> challenge(context, frame);
            case WAIT_PROOF -> proof(context, frame);
            case OPEN -> message(context, frame);
        }
    }

    private void hello(ChannelHandlerContext context, ByteBuf frame) {
        int addressBytes = frame.readableBytes() - 1 - Handshake.NONCE_BYTES;
        if (addressBytes <= 0 || addressBytes > MAX_ADDRESS_BYTES) {
            close(context, PeerProtocolError.UNREADABLE);
        } else if (frame.readByte() != PeerCodec.VERSION) {
            close(context, PeerProtocolError.VERSION);
        } else {
            otherNonce = Handshake.bytes(frame, Handshake.NONCE_BYTES);
            address = frame.toString(StandardCharsets.UTF_8);
            stage = Stage.WAIT_PROOF;
            context.writeAndFlush(Handshake.challenge(ownNonce, handshake.acceptorProof(otherNonce, ownNonce)));
        }
    }

    private void challenge(ChannelHandlerContext context, ByteBuf frame) {
        if (!Handshake.hasSize(frame, true)) {
            close(context, PeerProtocolError.UNREADABLE);
            return;
        }
        otherNonce = Handshake.bytes(frame, Handshake.NONCE_BYTES);
        byte[] proof = Handshake.bytes(frame, frame.readableBytes());
        if (!Handshake.equal(proof, handshake.acceptorProof(ownNonce, otherNonce))) {
            close(context, PeerProtocolError.SECRET);
            return;
        }
        context.writeAndFlush(Unpooled.wrappedBuffer(handshake.connectorProof(ownNonce, otherNonce, ownAddress)));
        open(context);
    }

    private void proof(ChannelHandlerContext context, ByteBuf frame) {
        boolean proven = Handshake.hasSize(frame, false)
                && Handshake.equal(
                        Handshake.bytes(frame, frame.readableBytes()),
                        handshake.connectorProof(otherNonce, ownNonce, address));
        if (!proven) {
            close(context, PeerProtocolError.SECRET);
            return;
        }
        open(context);
    }

    private void open(ChannelHandlerContext context) {
        stage = Stage.OPEN;
        owner.open(this);
        // Only now may frames be large. Replacing the decoder hands on at once what it had read ahead.
        context.pipeline().replace(LengthFieldBasedFrameDecoder.class, "messages", frames(MAX_FRAME_BYTES));
    }

    private static LengthFieldBasedFrameDecoder frames(int maxBytes) {
        return new LengthFieldBasedFrameDecoder(maxBytes, 0, LENGTH_BYTES, 0, LENGTH_BYTES);
    }

    /** Returns the decoder of a link whose other end is not known yet. */
    static LengthFieldBasedFrameDecoder handshakeFrames() {
        return frames(MAX_HANDSHAKE_BYTES);
    }

    private void message(ChannelHandlerContext context, ByteBuf frame) {
        if (!frame.isReadable()) {
            return;
        }
        PeerCodec.decode(Handshake.bytes(frame, frame.readableBytes()))
                .peekLeft(error -> close(context, error))
                .forEach(message -> owner.arrived(this, message));
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) {
        if (event instanceof IdleStateEvent idle && idle.state() == IdleState.READER_IDLE) {
            close(context, PeerProtocolError.SILENT);
        } else if (event instanceof IdleStateEvent && stage == Stage.OPEN) {
            context.writeAndFlush(Unpooled.EMPTY_BUFFER);
        }
    }

    private void close(ChannelHandlerContext context, PeerProtocolError why) {
        reason = why;
        context.close();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        close(context, PeerProtocolError.UNREADABLE);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        owner.closed(this, reason);
    }
}
