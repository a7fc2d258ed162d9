package org.dragonflymux.gateway.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against a target that sends a response again on a connection that already carries the next request. */
class RepeatedResponseTest {

    private static final int MAX_RESPONSE_BYTES = 1_024;
    private static final long TIMEOUT_SECONDS = 10;

    private final NioEventLoopGroup loops = new NioEventLoopGroup(1);
    private final EventLoop loop = loops.next();
    private final ConnectionPool pool = ConnectionPool.on(loop, MAX_RESPONSE_BYTES, PollTracker.alwaysFresh());
    private final AtomicInteger connections = new AtomicInteger();
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

    private static String response(String id, String body) {
        return "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s".formatted(id, body.length(), body);
    }

    /** Answers the requests of each connection, the first request with the first script and so on. */
    private void answerWith(List<String> scripts) {
        Thread.ofVirtual().start(() -> {
            while (!target.isClosed()) {
                try {
                    Socket connection = target.accept();
                    connections.incrementAndGet();
                    Thread.ofVirtual().start(() -> answer(connection, scripts));
                } catch (IOException closed) {
                    return;
                }
            }
        });
    }

    private static void answer(Socket connection, List<String> scripts) {
        try (connection;
                BufferedReader in = new BufferedReader(
                        new InputStreamReader(connection.getInputStream(), StandardCharsets.US_ASCII));
                OutputStream out = connection.getOutputStream()) {
            for (String script : scripts) {
                String line = in.readLine();
                while (line != null && !line.isEmpty()) {
                    line = in.readLine();
                }
                if (line == null) {
                    return;
                }
                out.write(script.getBytes(StandardCharsets.US_ASCII));
                out.flush();
            }
            in.read();
        } catch (IOException closed) {
            // The caller closed the connection, which ends the script.
        }
    }

    private String call(String id) throws Exception {
        CompletableFuture<String> outcome = new CompletableFuture<>();
        CallListener listener = new CallListener() {
            @Override
            public boolean accepts(FullHttpResponse response) {
                return id.equals(response.headers().get("Id"));
            }

            @Override
            public void responseReceived(FullHttpResponse response) {
                outcome.complete(response.content().toString(StandardCharsets.US_ASCII));
            }

            @Override
            public void failed(CallFailure failure) {
                outcome.complete(failure.name());
            }
        };
        ConnectionPool.Endpoint endpoint = new ConnectionPool.Endpoint(
                "target", new InetSocketAddress(InetAddress.getLoopbackAddress(), target.getLocalPort()));
        loop.execute(() -> pool.call(
                endpoint, new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/"), 0, 1.0, listener));
        return outcome.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    @Test
    void a_repeated_response_before_the_next_one_is_skipped_and_the_connection_is_not_used_again() throws Exception {
        answerWith(List.of(
                response("a", "first"), response("a", "first") + response("b", "second"), response("c", "unused")));

        assertThat(call("a")).isEqualTo("first");
        assertThat(call("b")).isEqualTo("second");
        assertThat(connections).hasValue(1);
        // The new connection answers its first request with the response to request a, and never with that to request
        // c.
        loop.submit(() -> {}).get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        assertThat(call("a")).isEqualTo("first");
        assertThat(connections).hasValue(2);
    }

    @Test
    void bytes_behind_a_response_leave_it_valid_but_end_the_connection() throws Exception {
        answerWith(List.of(response("a", "first") + "no response", response("b", "second")));

        assertThat(call("a")).isEqualTo("first");
        assertThat(call("a")).isEqualTo("first");
        assertThat(connections).hasValue(2);
    }

    @Test
    void a_call_fails_if_only_responses_to_other_requests_arrive() throws Exception {
        answerWith(List.of(response("x", "other").repeat(64)));

        assertThat(call("a")).isEqualTo(CallFailure.MALFORMED.name());
    }
}
