package org.dragonflymux.gateway.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against a target that sends bytes without end: memory, time and connection of the host that reads them. */
class EndlessAnswerTest {

    private static final int MAX_ANSWER_BYTES = 1 << 20;
    private static final long MOST_BYTES_TAKEN = 32L << 20;
    private static final long PATIENCE_SECONDS = 10;

    private final NioEventLoopGroup loops = new NioEventLoopGroup(1);
    private final EventLoop loop = loops.next();
    private final CompletableFuture<Long> taken = new CompletableFuture<>();
    private ServerSocket target;

    @BeforeEach
    void listen() throws IOException {
        target = new ServerSocket(0, 8, InetAddress.getLoopbackAddress());
    }

    @AfterEach
    void close() throws IOException {
        target.close();
        loops.shutdownGracefully();
    }

    /** Sends a beginning once and then the same bytes again and again, until the caller closes. */
    private void sendWithoutEnd(String first, String again) {
        byte[] repeated = again.repeat(256).getBytes(StandardCharsets.US_ASCII);
        long sent = 0;
        try (Socket connection = target.accept();
                OutputStream out = connection.getOutputStream()) {
            connection.getInputStream().read();
            out.write(first.getBytes(StandardCharsets.US_ASCII));
            while (sent < MOST_BYTES_TAKEN) {
                out.write(repeated);
                sent += repeated.length;
            }
            taken.complete(sent);
        } catch (IOException closed) {
            taken.complete(sent);
        }
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 200 OK\r\n\r\n|abcdefgh",
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n|8\r\nabcdefgh\r\n",
                "HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n|abcdefgh",
                "HTTP/1.1 200 OK\r\n|x-field: abcdefgh\r\n",
                "HTTP/1.1 200 |OK",
                "|HTTP/1.1 100 Continue\r\n\r\n",
                "|noise\r\n",
                "|noise",
            })
    void a_call_fails_and_its_connection_is_closed(String script) throws Exception {
        String[] parts = script.split("\\|", 2);
        Thread.ofVirtual().start(() -> sendWithoutEnd(parts[0], parts[1]));
        CompletableFuture<CallFailure> failed = new CompletableFuture<>();
        ConnectionPool pool = ConnectionPool.on(loop, MAX_ANSWER_BYTES, PollAge.ofNoMatter());
        ConnectionPool.Peer peer = new ConnectionPool.Peer(
                "target", new InetSocketAddress(InetAddress.getLoopbackAddress(), target.getLocalPort()));
        CallListener listener = new CallListener() {
            @Override
            public void answered(FullHttpResponse answer) {
                failed.completeExceptionally(new AssertionError("an answer without end was taken for one"));
            }

            @Override
            public void failed(CallFailure failure) {
                failed.complete(failure);
            }

            @Override
            public boolean abandoned() {
                return false;
            }
        };
        loop.execute(() -> pool.call(
                peer, new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/asked"), 0, 1.0, listener));

        assertThat(failed.get(PATIENCE_SECONDS, TimeUnit.SECONDS)).isEqualTo(CallFailure.MALFORMED);
        assertThat(taken.get(PATIENCE_SECONDS, TimeUnit.SECONDS)).isLessThan(MOST_BYTES_TAKEN);
    }
}
