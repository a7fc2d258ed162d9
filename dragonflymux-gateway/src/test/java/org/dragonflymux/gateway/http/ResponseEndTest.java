package org.dragonflymux.gateway.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Guards against a truncated success, for random orders of a response's bytes and the ends of its connection. */
class ResponseEndTest {

    private static final int RUNS = 400;
    private static final int MAX_RESPONSE_BYTES = 1_024;
    private static final String BODY = "0123456789abcdef";

    private final SplittableRandom random = new SplittableRandom(7);

    /** How a response shows its end. */
    private enum Framing {
        LENGTH("HTTP/1.1 200 OK\r\nContent-Length: 16\r\n\r\n" + BODY),
        CHUNKS("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n10\r\n" + BODY + "\r\n0\r\n\r\n"),
        CLOSE("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + BODY);

        private final byte[] bytes;

        Framing(String text) {
            bytes = text.getBytes(StandardCharsets.US_ASCII);
        }
    }

    /** An event that ends a connection. */
    private enum End {
        PEER_CLOSED,
        RESET,
        WRITE_FAILED
    }

    /** A connection with one call, and the outcomes that its listener was told. */
    private static final class Fixture {

        private final List<String> outcomes = new ArrayList<>();
        private final EmbeddedChannel channel = new EmbeddedChannel();

        private Fixture() {
            ConnectionPool pool = ConnectionPool.on(
                    channel.eventLoop(), ResponseLimits.ofHeap(MAX_RESPONSE_BYTES), PollTracker.alwaysFresh());
            Connection connection =
                    pool.newConnection(new ConnectionPool.Endpoint("target", new InetSocketAddress("127.0.0.1", 1)));
            pool.addHandlers(channel.pipeline(), connection);
            connection.send(new Call(
                    new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/"), new CallListener() {
                        @Override
                        public void responseReceived(FullHttpResponse response) {
                            outcomes.add(response.content().toString(StandardCharsets.US_ASCII));
                        }

                        @Override
                        public void failed(CallFailure failure) {
                            outcomes.add(failure.name());
                        }
                    }));
            channel.releaseOutbound();
        }

        private void receive(byte[] bytes, int from, int to) {
            if (to > from && channel.isActive()) {
                channel.writeInbound(Unpooled.copiedBuffer(bytes, from, to - from));
            }
        }

        private void end(End end) {
            if (!channel.isActive()) {
                return;
            }
            switch (end) {
                case PEER_CLOSED -> channel.pipeline().fireUserEventTriggered(ChannelInputShutdownEvent.INSTANCE);
                case RESET -> {
                    channel.pipeline().fireExceptionCaught(new IOException("connection reset"));
                    channel.pipeline().fireUserEventTriggered(ChannelInputShutdownEvent.INSTANCE);
                    channel.close();
                }
                // The transport closes the channel, without an exception for its handlers.
                case WRITE_FAILED -> channel.close();
            }
        }
    }

    @ParameterizedTest
    @EnumSource
    void a_response_is_whole_only_with_all_bytes_and_its_own_end(Framing framing) {
        for (int run = 0; run < RUNS; run++) {
            Fixture fixture = new Fixture();
            int received = random.nextBoolean() ? framing.bytes.length : random.nextInt(framing.bytes.length);
            int split = random.nextInt(received + 1);
            End end = End.values()[random.nextInt(End.values().length)];
            fixture.receive(framing.bytes, 0, split);
            fixture.receive(framing.bytes, split, received);
            fixture.end(end);

            boolean whole = received == framing.bytes.length && (framing != Framing.CLOSE || end == End.PEER_CLOSED);
            assertThat(fixture.outcomes)
                    .as("%d of %d bytes, %s", received, framing.bytes.length, end)
                    .hasSize(1)
                    .allMatch(outcome ->
                            outcome.equals(BODY) == whole || endsEarly(framing, end, fixture.outcomes.getFirst()));
        }
    }

    /** A response without a length may end anywhere in its body if the peer closes in order: nothing shows that it is short. */
    private static boolean endsEarly(Framing framing, End end, String outcome) {
        return framing == Framing.CLOSE && end == End.PEER_CLOSED && BODY.startsWith(outcome);
    }
}
