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
import java.io.Writer;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
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
        target = new ServerSocket(0, 128, InetAddress.getLoopbackAddress());
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
        ConnectionPool pool =
                ConnectionPool.on(loop, ResponseLimits.ofHeap(MAX_RESPONSE_BYTES), PollTracker.alwaysFresh());
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

    /** Guards against many endless responses at once, each within its own limit, that use up the memory of the host. */
    @Nested
    class ManyAtOnce {

        private static final int CALLS = 40;
        private static final long MAX_TOTAL_BYTES = 4L << 20;

        private final AtomicLong mostBytes = new AtomicLong();

        private void send(ConnectionPool pool, String path, CompletableFuture<String> outcome) {
            ConnectionPool.Endpoint endpoint = new ConnectionPool.Endpoint(
                    path, new InetSocketAddress(InetAddress.getLoopbackAddress(), target.getLocalPort()));
            loop.execute(() -> pool.call(
                    endpoint,
                    new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, path),
                    0,
                    1.0,
                    new CallListener() {
                        @Override
                        public void responseReceived(FullHttpResponse response) {
                            outcome.complete(response.content().toString(StandardCharsets.US_ASCII));
                        }

                        @Override
                        public void failed(CallFailure failure) {
                            outcome.complete(failure.name());
                        }
                    }));
        }

        /** Answers the path {@code /sound} at once; for others, sends a part that is just within the limit, and stalls. */
        private void serve() {
            while (!target.isClosed()) {
                try {
                    Socket connection = target.accept();
                    Thread.ofVirtual().start(() -> answer(connection));
                } catch (IOException closed) {
                    return;
                }
            }
        }

        private void answer(Socket connection) {
            try (connection;
                    BufferedReader in = new BufferedReader(
                            new InputStreamReader(connection.getInputStream(), StandardCharsets.US_ASCII));
                    OutputStream out = connection.getOutputStream()) {
                if (in.readLine().contains("/sound")) {
                    out.write("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nsound".getBytes(StandardCharsets.US_ASCII));
                } else {
                    out.write("HTTP/1.1 200 OK\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
                    out.write(new byte[MAX_RESPONSE_BYTES - 1]);
                }
                out.flush();
                in.transferTo(Writer.nullWriter());
            } catch (IOException closed) {
                // The caller closed the connection, which ends the response.
            }
        }

        @Test
        void take_a_bounded_amount_of_memory_and_do_not_disturb_other_calls() throws Exception {
            Thread.ofVirtual().start(this::serve);
            ConnectionPool pool = ConnectionPool.on(
                    loop, new ResponseLimits(MAX_RESPONSE_BYTES, MAX_TOTAL_BYTES), PollTracker.alwaysFresh());
            loop.scheduleAtFixedRate(
                    () -> mostBytes.accumulateAndGet(pool.unfinishedResponseBytes(), Math::max),
                    0,
                    1,
                    TimeUnit.MILLISECONDS);
            List<CompletableFuture<String>> endless = new ArrayList<>();
            for (int i = 0; i < CALLS; i++) {
                endless.add(new CompletableFuture<>());
                send(pool, "/endless/" + i, endless.getLast());
            }
            List<CompletableFuture<String>> sound = new ArrayList<>();
            for (int i = 0; i < CALLS; i++) {
                sound.add(new CompletableFuture<>());
                send(pool, "/sound/" + i, sound.getLast());
            }

            for (CompletableFuture<String> outcome : sound) {
                assertThat(outcome.get(TIMEOUT_SECONDS, TimeUnit.SECONDS)).isEqualTo("sound");
            }
            long mustFail = CALLS - MAX_TOTAL_BYTES / MAX_RESPONSE_BYTES - 1;
            long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS);
            while (endless.stream().filter(CompletableFuture::isDone).count() < mustFail && System.nanoTime() < end) {
                Thread.sleep(10);
            }
            assertThat(endless)
                    .filteredOn(CompletableFuture::isDone)
                    .hasSizeGreaterThanOrEqualTo((int) mustFail)
                    .allMatch(outcome -> outcome.join().equals(CallFailure.MALFORMED.name()));
            assertThat(mostBytes.get()).isLessThanOrEqualTo(MAX_TOTAL_BYTES);
        }
    }
}
