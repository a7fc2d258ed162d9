package org.dragonflymux.gateway.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class ConnectionPoolTest {

    private static final int MAX_RESPONSE_BYTES = 1_024;
    private static final int READ_TIMEOUT_MILLIS = 300;

    private final NioEventLoopGroup loops = new NioEventLoopGroup(1);
    private final EventLoop loop = loops.next();
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

    private void call(PollTracker pollTracker, boolean abandoned) throws ExecutionException, InterruptedException {
        ConnectionPool pool = ConnectionPool.on(loop, ResponseLimits.ofHeap(MAX_RESPONSE_BYTES), pollTracker);
        ConnectionPool.Endpoint endpoint = new ConnectionPool.Endpoint(
                "target", new InetSocketAddress(InetAddress.getLoopbackAddress(), target.getLocalPort()));
        CompletableFuture<Call> made = new CompletableFuture<>();
        loop.execute(() -> made.complete(pool.call(
                endpoint,
                new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/requested"),
                0,
                1.0,
                new CallListener() {
                    @Override
                    public void responseReceived(FullHttpResponse response) {}

                    @Override
                    public void failed(CallFailure failure) {}

                    @Override
                    public boolean abandoned() {
                        return abandoned;
                    }
                })));
        made.get();
    }

    private String received() throws IOException {
        target.setSoTimeout(READ_TIMEOUT_MILLIS);
        try (Socket connection = target.accept()) {
            connection.setSoTimeout(READ_TIMEOUT_MILLIS);
            byte[] bytes = new byte[64];
            int count = connection.getInputStream().read(bytes);
            return count < 0 ? "" : new String(bytes, 0, count, StandardCharsets.US_ASCII);
        } catch (SocketTimeoutException nothingReceived) {
            return "";
        }
    }

    @Test
    void a_call_sends_its_request() throws Exception {
        call(PollTracker.alwaysFresh(), false);

        assertThat(received()).startsWith("GET /requested");
    }

    /**
     * Guards against sending abandoned calls. Callers' disconnects were queued behind other work, and four requests were sent
     * over a second after their callers had disconnected.
     */
    @Test
    void an_abandoned_call_is_not_sent() throws Exception {
        call(PollTracker.alwaysFresh(), true);

        assertThat(received()).isEmpty();
    }

    @Test
    void a_call_waits_for_a_recent_poll() throws Exception {
        AtomicLong time = new AtomicLong();
        PollTracker pollTracker = PollTracker.of(time::get);
        time.set(1_000);
        call(pollTracker, false);
        assertThat(received()).isEmpty();

        pollTracker.recordPoll();

        assertThat(received()).startsWith("GET /requested");
    }
}
