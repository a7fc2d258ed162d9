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

    private static final String CONNECTOR_ADDRESS = "127.0.0.1:1";

    private final Handshake handshake = new Handshake("s");
    private final List<PeerMessage> messages = new ArrayList<>();
    private final List<PeerProtocolError> closeReasons = new ArrayList<>();
    private final EmbeddedChannel channel = new EmbeddedChannel(
            PeerLink.handshakeFrameDecoder(), PeerLink.accepting(new Recorder(), handshake, "127.0.0.1:2"));

    /** Records the events of a link. */
    private final class Recorder implements PeerLink.Listener {

        @Override
        public void opened(PeerLink link) {}

        @Override
        public void messageReceived(PeerLink link, PeerMessage message) {
            messages.add(message);
        }

        @Override
        public void closed(PeerLink link, PeerProtocolError reason) {
            closeReasons.add(reason);
        }
    }

    private static ByteBuf withLength(ByteBuf content) {
        return Unpooled.buffer().writeInt(content.readableBytes()).writeBytes(content);
    }

    @Test
    void decodesMessagesReceivedInOneSegmentWithTheProof() {
        byte[] nonce = Handshake.nonce();
        channel.writeInbound(withLength(Handshake.hello(nonce, CONNECTOR_ADDRESS)));
        ByteBuf challenge = channel.readOutbound();
        byte[] acceptorNonce = Handshake.readBytes(challenge, Handshake.NONCE_BYTES);
        PeerMessage message = new PeerMessage.Ask(1, 2);
        ByteBuf segment =
                withLength(Unpooled.wrappedBuffer(handshake.connectorProof(nonce, acceptorNonce, CONNECTOR_ADDRESS)));
        segment.writeBytes(withLength(Unpooled.wrappedBuffer(PeerCodec.encode(message))));
        segment.writeBytes(withLength(Unpooled.wrappedBuffer(PeerCodec.encode(message))));
        channel.writeInbound(segment);
        assertThat(messages).containsExactly(message, message);
        assertThat(closeReasons).isEmpty();
    }

    @Test
    void rejectsLargeFramesBeforeAuthentication() {
        channel.writeInbound(Unpooled.buffer().writeInt(1 << 20));
        channel.checkException();
        assertThat(closeReasons).containsExactly(PeerProtocolError.UNREADABLE);
    }

    @Test
    void closesOnVersionMismatch() {
        ByteBuf hello = Handshake.hello(Handshake.nonce(), CONNECTOR_ADDRESS);
        hello.setByte(0, PeerCodec.VERSION + 1);
        channel.writeInbound(withLength(hello));
        assertThat(closeReasons).containsExactly(PeerProtocolError.VERSION);
    }
}
