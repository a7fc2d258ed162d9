package org.dragonflymux.runtime.peer;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import java.util.ArrayList;
import java.util.List;
import org.dragonflymux.core.message.PeerMessage;
import org.junit.jupiter.api.Test;

class PeerLinkTest {

    private static final String CONNECTOR = "127.0.0.1:1";

    private final Handshake handshake = new Handshake("s");
    private final List<PeerMessage> arrived = new ArrayList<>();
    private final List<PeerProtocolError> closings = new ArrayList<>();
    private final EmbeddedChannel channel = new EmbeddedChannel(
            PeerLink.handshakeFrames(), PeerLink.accepting(new Recorder(), handshake, "127.0.0.1:2"));

    /** Keeps what a link reports. */
    private final class Recorder implements PeerLink.Owner {

        @Override
        public void open(PeerLink link) {}

        @Override
        public void arrived(PeerLink link, PeerMessage message) {
            arrived.add(message);
        }

        @Override
        public void closed(PeerLink link, PeerProtocolError reason) {
            closings.add(reason);
        }
    }

    private static ByteBuf framed(ByteBuf content) {
        return Unpooled.buffer().writeInt(content.readableBytes()).writeBytes(content);
    }

    @Test
    void readsMessagesThatCameInOneSegmentWithTheProof() {
        byte[] nonce = Handshake.nonce();
        channel.writeInbound(framed(Handshake.hello(nonce, CONNECTOR)));
        ByteBuf challenge = channel.readOutbound();
        byte[] acceptorNonce = Handshake.bytes(challenge, Handshake.NONCE_BYTES);
        PeerMessage message = new PeerMessage.Ask(1, 2);
        ByteBuf segment = framed(Unpooled.wrappedBuffer(handshake.connectorProof(nonce, acceptorNonce, CONNECTOR)));
        segment.writeBytes(framed(Unpooled.wrappedBuffer(PeerCodec.encode(message))));
        segment.writeBytes(framed(Unpooled.wrappedBuffer(PeerCodec.encode(message))));
        channel.writeInbound(segment);
        assertThat(arrived).containsExactly(message, message);
        assertThat(closings).isEmpty();
    }

    @Test
    void takesNoLargeFrameBeforeTheProof() {
        channel.writeInbound(Unpooled.buffer().writeInt(1 << 20));
        channel.checkException();
        assertThat(closings).containsExactly(PeerProtocolError.UNREADABLE);
    }

    @Test
    void closesOnAnotherVersion() {
        ByteBuf hello = Handshake.hello(Handshake.nonce(), CONNECTOR);
        hello.setByte(0, PeerCodec.VERSION + 1);
        channel.writeInbound(framed(hello));
        assertThat(closings).containsExactly(PeerProtocolError.VERSION);
    }
}
