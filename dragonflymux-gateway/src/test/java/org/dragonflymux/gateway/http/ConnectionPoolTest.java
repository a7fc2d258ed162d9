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

    private static final int MAX_ANSWER_BYTES = 1_024;
    private static final int SILENCE_MILLIS = 300;

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

    private void call(PollAge news, boolean abandoned) throws ExecutionException, InterruptedException {
        ConnectionPool pool = ConnectionPool.on(loop, MAX_ANSWER_BYTES, news);
        ConnectionPool.Peer peer = new ConnectionPool.Peer(
                "target", new InetSocketAddress(InetAddress.getLoopbackAddress(), target.getLocalPort()));
        CompletableFuture<Call> made = new CompletableFuture<>();
        loop.execute(() -> made.complete(pool.call(
                peer,
                new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/asked"),
                0,
                1.0,
                new CallListener() {
                    @Override
                    public void answered(FullHttpResponse answer) {}

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
        target.setSoTimeout(SILENCE_MILLIS);
        try (Socket connection = target.accept()) {
            connection.setSoTimeout(SILENCE_MILLIS);
            byte[] bytes = new byte[64];
            int count = connection.getInputStream().read(bytes);
            return count < 0 ? "" : new String(bytes, 0, count, StandardCharsets.US_ASCII);
        } catch (SocketTimeoutException silence) {
            return "";
        }
    }

    @Test
    void a_call_is_sent() throws Exception {
        call(PollAge.ofNoMatter(), false);

        assertThat(received()).startsWith("GET /asked");
    }

    /** Callers' ends waited behind other work; four requests were sent over a second after their callers had left. */
    @Test
    void a_call_for_a_caller_that_has_left_is_not_sent() throws Exception {
        call(PollAge.ofNoMatter(), true);

        assertThat(received()).isEmpty();
    }

    @Test
    void a_call_waits_for_news() throws Exception {
        AtomicLong time = new AtomicLong();
        PollAge news = PollAge.by(time::get);
        time.set(1_000);
        call(news, false);
        assertThat(received()).isEmpty();

        news.polled();

        assertThat(received()).startsWith("GET /asked");
    }
}
