package org.dragonflymux.gateway;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.dragonflymux.core.balance.TargetEntry;
import org.dragonflymux.core.desired.CustomerSpec;
import org.dragonflymux.core.desired.DesiredState;
import org.dragonflymux.core.desired.RequestLimits;
import org.dragonflymux.core.desired.Route;
import org.dragonflymux.core.desired.ServiceSpec;
import org.dragonflymux.core.desired.WeightedService;
import org.dragonflymux.core.gateway.Gateway;
import org.dragonflymux.core.gateway.GatewayEffect;
import org.dragonflymux.core.gateway.GatewaySettings;
import org.dragonflymux.core.membership.FleetMember;
import org.dragonflymux.core.name.CustomerName;
import org.dragonflymux.core.name.HostId;
import org.dragonflymux.core.name.ServiceName;
import org.dragonflymux.core.name.TargetId;
import org.dragonflymux.core.quota.LenderPartition;
import org.dragonflymux.gateway.caller.CallerServer;
import org.dragonflymux.gateway.clock.HostClock;
import org.dragonflymux.gateway.http.CallFailure;
import org.dragonflymux.gateway.http.CallListener;
import org.dragonflymux.gateway.http.ConnectionPool;
import org.dragonflymux.gateway.http.PollTracker;
import org.dragonflymux.gateway.http.ResponseLimits;
import org.dragonflymux.gateway.peer.PeerSocket;

/**
 * Sends requests over local sockets through a gateway of its own to a target of its own, before callers can connect. It
 * makes the virtual machine load and compile the code of the request path, which is many times slower before that.
 */
final class WarmUp {

    private static final Logger LOG = LogManager.getLogger(WarmUp.class);
    private static final int REQUESTS = 50;
    private static final long MAX_MILLIS = 3_000;
    private static final long CALL_TIMEOUT_MILLIS = 1_000;
    private static final int MAX_BYTES = 65_536;
    private static final long NEVER_MILLIS = Long.MAX_VALUE / 4;
    private static final long LEASE = 1;
    private static final String CREDENTIAL = "warm-up";
    private static final HostId LENDER = HostId.of("warm-up-lender");
    private static final ServiceName SERVICE = ServiceName.of("warm-up");
    private static final RequestLimits LIMITS = new RequestLimits(8_192, MAX_BYTES, 1_000, 1_000);

    private final EventLoop loop;
    private final PollTracker pollTracker;
    private final HeaderNames names;
    private final FleetMember self;
    private final InetSocketAddress gatewayAddress;
    private final InetSocketAddress targetAddress;
    private final HostClock clock;
    private final CountDownLatch ended = new CountDownLatch(REQUESTS);
    private final ChannelGroup targetConnections;

    private WarmUp(
            EventLoop loop,
            PollTracker pollTracker,
            HeaderNames names,
            FleetMember self,
            InetSocketAddress gatewayAddress,
            InetSocketAddress targetAddress,
            HostClock clock) {
        this.loop = loop;
        this.pollTracker = pollTracker;
        this.names = names;
        this.self = self;
        this.gatewayAddress = gatewayAddress;
        this.targetAddress = targetAddress;
        this.clock = clock;
        this.targetConnections = new DefaultChannelGroup(loop);
    }

    /**
     * Warms up the process. Must not be called on the event loop.
     *
     * @param gatewayAddress a free address for the gateway
     * @param targetAddress a free address for the target
     */
    static void run(
            EventLoop loop,
            PollTracker pollTracker,
            HeaderNames names,
            FleetMember self,
            InetSocketAddress gatewayAddress,
            InetSocketAddress targetAddress,
            HostClock clock) {
        new WarmUp(loop, pollTracker, names, self, gatewayAddress, targetAddress, clock).run();
    }

    private void run() {
        long startedAt = clock.monotonicMillis();
        Channel target = listenAsTarget();
        RequestPath requests = new RequestPath(
                gateway(),
                ConnectionPool.on(loop, ResponseLimits.ofHeap(MAX_BYTES), pollTracker),
                names,
                clock,
                MAX_BYTES,
                () -> LIMITS);
        PeerSocket lenderSocket = openAsLender();
        PeerSocket peerSocket =
                PeerSocket.open(loop, gatewayAddress, _ -> {}, (message, _) -> requests.rateMessageReceived(message));
        requests.rateMessageSender((_, message) -> peerSocket.send(message, targetAddress));
        CallerServer callers = CallerServer.on(loop, requests, () -> LIMITS, clock::monotonicMillis, pollTracker);
        callers.listen(gatewayAddress);
        ConnectionPool pool = ConnectionPool.on(loop, ResponseLimits.ofHeap(MAX_BYTES), pollTracker);
        loop.execute(() -> call(pool, REQUESTS));
        try {
            boolean complete = ended.await(MAX_MILLIS, TimeUnit.MILLISECONDS);
            LOG.info("event=warmed_up complete={} millis={}", complete, clock.monotonicMillis() - startedAt);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        } finally {
            loop.execute(() -> {
                callers.stopListening();
                callers.closeUnused(0);
                peerSocket.close();
                lenderSocket.close();
                target.close();
                targetConnections.close();
            });
        }
    }

    private Channel listenAsTarget() {
        return new ServerBootstrap()
                .group(loop, loop)
                .channel(NioServerSocketChannel.class)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        targetConnections.add(channel);
                        channel.pipeline()
                                .addLast(new HttpServerCodec())
                                .addLast(new HttpObjectAggregator(MAX_BYTES))
                                .addLast(new Target());
                    }
                })
                .bind(targetAddress)
                .syncUninterruptibly()
                .channel();
    }

    /** Opens the socket of the customer's lender, so that requests borrow tokens as they do from another host. */
    private PeerSocket openAsLender() {
        long startedAt = clock.monotonicMillis() - MAX_MILLIS;
        FleetMember holder = new FleetMember(LENDER, self.incarnation(), self.domain(), self.peerAddress());
        Gateway lender = gatewayOf(holder, startedAt);
        lender.updateLease(LEASE, NEVER_MILLIS, startedAt);
        lender.replacePartitions(List.of(partition(holder)), startedAt);
        AtomicReference<PeerSocket> socket = new AtomicReference<>();
        socket.set(PeerSocket.open(loop, targetAddress, _ -> {}, (message, sender) -> {
            for (GatewayEffect effect : lender.rateMessageReceived(message, clock.monotonicMillis())) {
                if (effect instanceof GatewayEffect.Tell tell) {
                    socket.get().send(tell.message(), sender);
                }
            }
        }));
        return socket.get();
    }

    private static LenderPartition partition(FleetMember holder) {
        return new LenderPartition(LenderPartition.numberOf(CustomerName.of(CREDENTIAL)), holder, LEASE, 1);
    }

    private Gateway gatewayOf(FleetMember host, long startedAt) {
        Gateway gateway = Gateway.of(
                new GatewaySettings(host.host(), host.incarnation(), host.domain(), NEVER_MILLIS, 0, 0, 0, 1),
                () -> 0L,
                startedAt);
        gateway.updateDesiredState(desiredState());
        gateway.storeConfirmed(clock.monotonicMillis());
        return gateway;
    }

    private Gateway gateway() {
        long now = clock.monotonicMillis();
        Gateway gateway = gatewayOf(self, now - MAX_MILLIS);
        FleetMember lender = new FleetMember(LENDER, self.incarnation(), self.domain(), self.peerAddress());
        gateway.replacePartitions(List.of(partition(lender)), now);
        TargetEntry target = new TargetEntry(
                TargetId.of("warm-up"),
                SERVICE,
                targetAddress.getAddress().getHostAddress() + ":" + targetAddress.getPort(),
                self.domain(),
                REQUESTS,
                false,
                0,
                1);
        gateway.directory().replace(List.of(target), now);
        return gateway;
    }

    private DesiredState desiredState() {
        CustomerSpec customer = new CustomerSpec(CustomerName.of(CREDENTIAL), OptionalInt.empty(), REQUESTS, REQUESTS);
        Route route = new Route(
                "warm-up",
                "/",
                true,
                false,
                CALL_TIMEOUT_MILLIS,
                CALL_TIMEOUT_MILLIS,
                1,
                List.of(new WeightedService(SERVICE, 1)),
                1,
                false);
        ServiceSpec service = new ServiceSpec(SERVICE, "/", 1, 0, 0, false);
        String host = gatewayAddress.getAddress().getHostAddress();
        return new DesiredState(
                1, Map.of(host, List.of(route)), Map.of(SERVICE, service), Map.of(CREDENTIAL, customer), true, LIMITS);
    }

    /** Sends a request, and the next one as soon as it ends, until none is left. */
    private void call(ConnectionPool pool, int left) {
        FullHttpRequest request = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1, HttpMethod.POST, "/warm-up", Unpooled.copiedBuffer(new byte[] {1}));
        request.headers()
                .set(HttpHeaderNames.HOST, gatewayAddress.getAddress().getHostAddress())
                .set(HttpHeaderNames.CONTENT_LENGTH, 1)
                .set(names.requestId(), "warm-up-" + left)
                .set(names.timeoutMillis(), CALL_TIMEOUT_MILLIS)
                .set(names.credential(), CREDENTIAL);
        CallListener listener = new CallListener() {
            @Override
            public void responseReceived(FullHttpResponse response) {
                callEnded(pool, left);
            }

            @Override
            public void failed(CallFailure failure) {
                callEnded(pool, left);
            }
        };
        pool.call(new ConnectionPool.Endpoint("warm-up", gatewayAddress), request, CALL_TIMEOUT_MILLIS, 1.0, listener);
    }

    private void callEnded(ConnectionPool pool, int left) {
        ended.countDown();
        if (left > 1) {
            call(pool, left - 1);
        }
    }

    /** Responds to each request as a target does. */
    private final class Target extends SimpleChannelInboundHandler<FullHttpRequest> {

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
            FullHttpResponse response = new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1, HttpResponseStatus.OK, Unpooled.copiedBuffer(new byte[] {1}));
            response.headers()
                    .set(HttpHeaderNames.CONTENT_LENGTH, 1)
                    .set(names.requestId(), request.headers().get(names.requestId(), ""))
                    .set(names.seal(), "warm-up")
                    .set(names.load(), "1,0,1,100");
            context.writeAndFlush(response);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
