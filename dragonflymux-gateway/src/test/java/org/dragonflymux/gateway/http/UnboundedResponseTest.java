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

/** Guards against a target that never stops sending, which would cost the reading host memory, time and a connection. */
class UnboundedResponseTest {

    private static final int MAX_RESPONSE_BYTES = 1 << 20;
    private static final long MAX_BYTES_SENT = 32L << 20;
    private static final long TIMEOUT_SECONDS = 10;

    private final NioEventLoopGroup loops = new NioEventLoopGroup(1);
    private final EventLoop loop = loops.next();
    private final CompletableFuture<Long> sentBytes = new CompletableFuture<>();
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

    /** Sends {@code start} once and then {@code repeated} until the caller closes the connection. */
    private void sendUnbounded(String start, String repeated) {
        byte[] block = repeated.repeat(256).getBytes(StandardCharsets.US_ASCII);
        long sent = 0;
        try (Socket connection = target.accept();
                OutputStream out = connection.getOutputStream()) {
            connection.getInputStream().read();
            out.write(start.getBytes(StandardCharsets.US_ASCII));
            while (sent < MAX_BYTES_SENT) {
                out.write(block);
                sent += block.length;
            }
            sentBytes.complete(sent);
        } catch (IOException closed) {
            sentBytes.complete(sent);
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
        Thread.ofVirtual().start(() -> sendUnbounded(parts[0], parts[1]));
        CompletableFuture<CallFailure> failed = new CompletableFuture<>();
        ConnectionPool pool = ConnectionPool.on(loop, MAX_RESPONSE_BYTES, PollTracker.alwaysFresh());
        ConnectionPool.Endpoint endpoint = new ConnectionPool.Endpoint(
                "target", new InetSocketAddress(InetAddress.getLoopbackAddress(), target.getLocalPort()));
        CallListener listener = new CallListener() {
            @Override
            public void responseReceived(FullHttpResponse response) {
                failed.completeExceptionally(new AssertionError("an unbounded response was accepted"));
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
                endpoint,
                new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/requested"),
                0,
                1.0,
                listener));

        assertThat(failed.get(TIMEOUT_SECONDS, TimeUnit.SECONDS)).isEqualTo(CallFailure.MALFORMED);
        assertThat(sentBytes.get(TIMEOUT_SECONDS, TimeUnit.SECONDS)).isLessThan(MAX_BYTES_SENT);
    }
}
