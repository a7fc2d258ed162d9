package org.dragonflymux.gateway;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.net.InetSocketAddress;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.function.BooleanSupplier;

/** HTTP server for readiness checks: responds with 200 if callers may be routed to this host, and with 503 otherwise. */
final class ReadinessServer {

    private static final int MAX_BODY_BYTES = 4_096;
    /** Limit on the bytes that are read at a time, and so on the requests that are read ahead of their responses. */
    private static final int READ_BYTES = 1_024;
    /** Limit on connections. Beyond it, the one that was used the longest ago is closed, so that a new one is served. */
    private static final int MAX_CONNECTIONS = 32;

    private final Set<Channel> connections = new LinkedHashSet<>();
    private final BooleanSupplier ready;

    private ReadinessServer(BooleanSupplier ready) {
        this.ready = ready;
    }

    static void listen(EventLoop loop, InetSocketAddress address, BooleanSupplier ready) {
        ReadinessServer server = new ReadinessServer(ready);
        new ServerBootstrap()
                .group(loop, loop)
                .channel(NioServerSocketChannel.class)
                .childOption(ChannelOption.RCVBUF_ALLOCATOR, new FixedRecvByteBufAllocator(READ_BYTES))
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        channel.pipeline().addLast(new HttpServerCodec()).addLast(server.new ReadinessHandler());
                    }
                })
                .bind(address)
                .syncUninterruptibly();
    }

    private void used(Channel connection) {
        connections.remove(connection);
        connections.add(connection);
        if (connections.size() > MAX_CONNECTIONS) {
            Channel leastRecentlyUsed = connections.iterator().next();
            connections.remove(leastRecentlyUsed);
            leastRecentlyUsed.close();
        }
    }

    /** Responds to each request with a status and no body. Bodies of requests are dropped as they arrive. */
    private final class ReadinessHandler extends SimpleChannelInboundHandler<HttpObject> {

        private boolean keepAlive;
        private long bodyBytes;

        @Override
        public void channelActive(ChannelHandlerContext context) {
            used(context.channel());
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, HttpObject message) {
            if (message.decoderResult().isFailure()) {
                context.close();
                return;
            }
            if (message instanceof HttpRequest request) {
                keepAlive = HttpUtil.isKeepAlive(request);
                bodyBytes = 0;
                if (HttpUtil.is100ContinueExpected(request)) {
                    context.writeAndFlush(new DefaultFullHttpResponse(
                            HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER));
                }
            }
            if (message instanceof HttpContent content) {
                bodyBytes += content.content().readableBytes();
                if (bodyBytes > MAX_BODY_BYTES) {
                    context.close();
                } else if (content instanceof LastHttpContent) {
                    respond(context);
                }
            }
        }

        private void respond(ChannelHandlerContext context) {
            if (connections.contains(context.channel())) {
                used(context.channel());
            }
            HttpResponseStatus status =
                    ready.getAsBoolean() ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE;
            FullHttpResponse response =
                    new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.EMPTY_BUFFER);
            response.headers().set(HttpHeaderNames.CONTENT_LENGTH, 0);
            if (!keepAlive) {
                response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
            }
            var writing = context.writeAndFlush(response);
            if (!keepAlive) {
                writing.addListener(_ -> context.close());
            }
        }

        /** Reads no more requests from a caller that does not read its responses. */
        @Override
        public void channelWritabilityChanged(ChannelHandlerContext context) {
            context.channel().config().setAutoRead(context.channel().isWritable());
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            connections.remove(context.channel());
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
