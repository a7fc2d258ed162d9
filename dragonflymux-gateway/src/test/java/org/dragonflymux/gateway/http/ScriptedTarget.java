package org.dragonflymux.gateway.http;

import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
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
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** A target that writes given bytes in answer to the requests on each connection, and a pool that calls it. */
final class ScriptedTarget implements AutoCloseable {

    private static final int MAX_RESPONSE_BYTES = 1_024;
    private static final int RECEIVE_BUFFER_BYTES = 4_096;
    /** Time for the caller to read what was written before the connection ends. */
    private static final long READ_MILLIS = 50;

    private static final long TIMEOUT_SECONDS = 10;

    private final NioEventLoopGroup loops = new NioEventLoopGroup(1);
    private final EventLoop loop = loops.next();
    private final ConnectionPool pool =
            ConnectionPool.on(loop, ResponseLimits.ofHeap(MAX_RESPONSE_BYTES), PollTracker.alwaysFresh());
    private final AtomicInteger connections = new AtomicInteger();
    private final ServerSocket socket;

    /** What the target does with a connection after the last script. */
    enum End {
        /** It waits for further requests and never answers them. */
        KEEP,
        /** It closes its side of the connection in order, and reads on until the caller closes the other. */
        CLOSE,
        /** It resets the connection. */
        RESET,
        /** It resets the connection after a moment, in which the caller reads what was written. */
        RESET_LATER
    }

    private ScriptedTarget(ServerSocket socket) {
        this.socket = socket;
    }

    /**
     * Starts a target.
     *
     * @param scripts what is written on each connection in answer to its first request, its second one and so on
     */
    static ScriptedTarget start(List<String> scripts, End end) throws IOException {
        ServerSocket socket = new ServerSocket();
        socket.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
        socket.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 64);
        ScriptedTarget target = new ScriptedTarget(socket);
        Thread.ofVirtual().start(() -> target.accept(scripts, end));
        return target;
    }

    /** Returns a response to the request with the given id. */
    static String response(String id, String body) {
        return "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s".formatted(id, body.length(), body);
    }

    private void accept(List<String> scripts, End end) {
        while (!socket.isClosed()) {
            try {
                Socket connection = socket.accept();
                connections.incrementAndGet();
                Thread.ofVirtual().start(() -> answer(connection, scripts, end));
            } catch (IOException closed) {
                return;
            }
        }
    }

    private static void answer(Socket connection, List<String> scripts, End end) {
        try (connection;
                BufferedReader in = new BufferedReader(
                        new InputStreamReader(connection.getInputStream(), StandardCharsets.US_ASCII));
                OutputStream out = connection.getOutputStream()) {
            for (String script : scripts) {
                if (!readRequest(in)) {
                    return;
                }
                out.write(script.getBytes(StandardCharsets.US_ASCII));
                out.flush();
            }
            switch (end) {
                case KEEP -> in.read();
                case CLOSE -> {
                    connection.shutdownOutput();
                    in.transferTo(Writer.nullWriter());
                }
                case RESET -> connection.setSoLinger(true, 0);
                case RESET_LATER -> {
                    Thread.sleep(READ_MILLIS);
                    connection.setSoLinger(true, 0);
                }
            }
        } catch (IOException closed) {
            // The caller closed the connection, which ends the script.
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    private static boolean readRequest(BufferedReader in) throws IOException {
        String line = in.readLine();
        while (line != null && !line.isEmpty()) {
            line = in.readLine();
        }
        return line != null;
    }

    /** Returns the body of the response to the request with the given id, or the name of the failure. */
    String call(String id) throws Exception {
        return call(id, new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/"));
    }

    /** Returns the outcome of a request with a long body, of which the target reads no more than its receive buffer holds. */
    String callWithBody(String id, int bodyBytes) throws Exception {
        FullHttpRequest request = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1, HttpMethod.POST, "/", Unpooled.wrappedBuffer(new byte[bodyBytes]));
        request.headers().set(HttpHeaderNames.CONTENT_LENGTH, bodyBytes);
        return call(id, request);
    }

    private String call(String id, FullHttpRequest request) throws Exception {
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
                "target", new InetSocketAddress(InetAddress.getLoopbackAddress(), socket.getLocalPort()));
        loop.execute(() -> pool.call(endpoint, request, 0, 1.0, listener));
        return outcome.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    /** Returns how many connections were accepted. */
    int connections() {
        return connections.get();
    }

    @Override
    public void close() throws IOException {
        socket.close();
        loops.shutdownGracefully();
    }
}
