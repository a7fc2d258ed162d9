package org.dragonflymux.gateway;

import com.google.common.primitives.Ints;
import com.google.common.primitives.Longs;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.function.BiConsumer;
import java.util.function.Supplier;
import org.apache.logging.log4j.LogManager;
import org.dragonflymux.core.caller.TargetBodies;
import org.dragonflymux.core.desired.RequestLimits;
import org.dragonflymux.core.gateway.ArrivedRequest;
import org.dragonflymux.core.gateway.AttemptResult;
import org.dragonflymux.core.gateway.Gateway;
import org.dragonflymux.core.gateway.GatewayEffect;
import org.dragonflymux.core.gateway.RefusalReason;
import org.dragonflymux.core.name.CustomerName;
import org.dragonflymux.core.name.HostId;
import org.dragonflymux.core.quota.RateMessage;
import org.dragonflymux.gateway.caller.CallerHandler;
import org.dragonflymux.gateway.caller.CallerReply;
import org.dragonflymux.gateway.clock.HostClock;
import org.dragonflymux.gateway.http.Call;
import org.dragonflymux.gateway.http.CallFailure;
import org.dragonflymux.gateway.http.CallListener;
import org.dragonflymux.gateway.http.ConnectionPool;
import org.dragonflymux.gateway.target.TargetMessages;

/** Connects callers and targets to the {@link Gateway}: passes on requests and results, and carries out its effects. */
final class RequestPath implements CallerHandler {

    private static final double MAX_IDLE_FRACTION = 0.9;
    private static final double MAX_IDLE_FRACTION_NOT_REPEATABLE = 0.4;
    private static final double MILLIS_PER_SECOND = 1000;

    private final Gateway gateway;
    private final ConnectionPool pool;
    private final TargetMessages messages;
    private final HeaderNames names;
    private final HostClock clock;
    private final RateLimitedLog log = RateLimitedLog.to(LogManager.getLogger(RequestPath.class));
    private final Map<Long, OpenRequest> openRequests = new HashMap<>();
    private final Map<Long, Call> calls = new HashMap<>();
    private final TargetBodies targetBodies;
    private final Supplier<RequestLimits> limits;
    /** Attempts that were not sent, for which the gateway is told so after the effects at hand were carried out. */
    private final Deque<Long> unsentAttempts = new ArrayDeque<>();

    private boolean running;
    private final Map<RefusalReason, Integer> refusals = new EnumMap<>(RefusalReason.class);
    private long lastExchange;
    private long lastTickAt;
    private long lagMillis;
    private long maxLoopMillis = Long.MAX_VALUE / 4;
    private long suspendedMillis;
    private FullHttpResponse currentResponse;
    private BiConsumer<HostId, RateMessage> rateMessageSender = (_, _) -> {};
    private Runnable arrivalAction = () -> {};

    private record OpenRequest(FullHttpRequest request, CallerReply reply, String requestId, long receivedAt) {}

    /**
     * Creates a request path.
     *
     * @param targetBodyBytes limit on the bodies that one target has not answered
     * @param limits supplies the limits on single requests
     */
    RequestPath(
            Gateway gateway,
            ConnectionPool pool,
            HeaderNames names,
            HostClock clock,
            long targetBodyBytes,
            Supplier<RequestLimits> limits) {
        this.gateway = gateway;
        this.pool = pool;
        this.messages = TargetMessages.with(names);
        this.names = names;
        this.clock = clock;
        this.targetBodies = TargetBodies.upTo(targetBodyBytes);
        this.limits = limits;
    }

    /** Sets the sender of rate messages to other hosts. */
    void rateMessageSender(BiConsumer<HostId, RateMessage> sender) {
        rateMessageSender = sender;
    }

    /** Sets the action to run after the arrival of each request. */
    void onArrival(Runnable action) {
        arrivalAction = action;
    }

    /** Handles a rate message from another host. */
    void rateMessageReceived(RateMessage message) {
        recordSuspension();
        run(gateway.rateMessageReceived(message, clock.monotonicMillis()));
    }

    private void recordSuspension() {
        long suspended = clock.suspendedMillis();
        if (suspended > suspendedMillis) {
            log.info("event=suspended millis={}", suspended - suspendedMillis);
            gateway.suspended(suspended - suspendedMillis);
            suspendedMillis = suspended;
        }
    }

    @Override
    public void requestArrived(FullHttpRequest request, CallerReply reply) {
        recordSuspension();
        long exchange = ++lastExchange;
        long now = clock.monotonicMillis();
        String id = request.headers().get(names.requestId(), "");
        openRequests.put(exchange, new OpenRequest(request, reply, id, now));
        reply.onDisconnect(() -> {
            openRequests.remove(exchange);
            run(gateway.callerDisconnected(exchange, clock.monotonicMillis()));
        });
        // Upper bound on the time that the request waited on this host before and after it was read.
        long ageMillis = now - reply.readAt() + Math.max(lagMillis, now - lastTickAt - maxLoopMillis);
        run(gateway.requestArrived(arrivedRequest(exchange, id, request, Math.max(0, ageMillis)), now));
        arrivalAction.run();
    }

    private ArrivedRequest arrivedRequest(long exchange, String id, FullHttpRequest request, long ageMillis) {
        String host = request.headers().get(HttpHeaderNames.HOST, "").toLowerCase(Locale.ROOT);
        int port = host.indexOf(':');
        String uri = request.uri();
        int query = uri.indexOf('?');
        Long wait = Longs.tryParse(request.headers().get(names.timeoutMillis(), ""));
        Integer key = Ints.tryParse(request.headers().get(names.shardKey(), ""));
        return new ArrivedRequest(
                exchange,
                id,
                port < 0 ? host : host.substring(0, port),
                query < 0 ? uri : uri.substring(0, query),
                Optional.ofNullable(request.headers().get(names.credential())),
                key == null ? OptionalInt.empty() : OptionalInt.of(key),
                wait == null ? OptionalLong.empty() : OptionalLong.of(Math.max(0, wait - ageMillis)));
    }

    /**
     * Runs the periodic work.
     *
     * @param intervalMillis the scheduled interval between calls. The excess over twice the interval is an upper bound on how
     *     long requests waited unread.
     */
    void tick(long intervalMillis) {
        recordSuspension();
        long now = clock.monotonicMillis();
        maxLoopMillis = 2 * intervalMillis;
        lagMillis = lastTickAt == 0 ? 0 : Math.max(0, now - lastTickAt - maxLoopMillis);
        lastTickAt = now;
        log.tick(now);
        run(gateway.tick(now));
    }

    /** Carries out effects requested by the gateway. */
    void run(List<GatewayEffect> effects) {
        if (running) {
            carryOut(effects);
            return;
        }
        running = true;
        try {
            carryOut(effects);
            while (!unsentAttempts.isEmpty()) {
                carryOut(gateway.attemptEnded(
                        unsentAttempts.removeFirst(), new AttemptResult.Withheld(), clock.monotonicMillis()));
            }
        } finally {
            running = false;
        }
    }

    private void carryOut(List<GatewayEffect> effects) {
        for (GatewayEffect effect : effects) {
            switch (effect) {
                case GatewayEffect.Send send -> send(send);
                case GatewayEffect.Cancel cancel -> {
                    Call call = calls.remove(cancel.attempt());
                    targetBodies.ended(cancel.attempt());
                    if (call != null) {
                        call.cancel();
                    }
                }
                case GatewayEffect.Deliver deliver -> deliver(deliver);
                case GatewayEffect.Refuse refuse -> refuse(refuse);
                case GatewayEffect.Tell tell -> rateMessageSender.accept(tell.to(), tell.message());
            }
        }
    }

    private void send(GatewayEffect.Send send) {
        OpenRequest open = openRequests.get(send.exchange());
        long bodyBytes = open.request().content().readableBytes();
        if (!targetBodies.started(
                send.attempt(), endpoint(send).name(), bodyBytes, limits.get().maxBodyBytes())) {
            log.info(
                    "event=target_bodies_full id={} target={} bytes={}",
                    open.requestId(),
                    send.target().id(),
                    bodyBytes);
            unsentAttempts.addLast(send.attempt());
            return;
        }
        FullHttpRequest request = messages.request(open.request(), send);
        double maxIdleFraction = send.repeatable() ? MAX_IDLE_FRACTION : MAX_IDLE_FRACTION_NOT_REPEATABLE;
        CallListener listener = new CallListener() {
            @Override
            public boolean accepts(FullHttpResponse response) {
                return !messages.answersOtherRequest(response, open.requestId());
            }

            @Override
            public void responseReceived(FullHttpResponse response) {
                calls.remove(send.attempt());
                targetBodies.ended(send.attempt());
                attemptAnswered(send, open, response);
            }

            @Override
            public void failed(CallFailure failure) {
                calls.remove(send.attempt());
                targetBodies.ended(send.attempt());
                attemptFailed(send, open, failure);
            }

            @Override
            public boolean abandoned() {
                return open.reply().callerDisconnected();
            }
        };
        // On the connection of its earlier attempt, a repeated copy of the earlier response would pass for the new one.
        Call call = send.resent()
                ? pool.callOnNewConnection(endpoint(send), request, 0, listener)
                : pool.call(endpoint(send), request, 0, maxIdleFraction, listener);
        calls.put(send.attempt(), call);
    }

    private static ConnectionPool.Endpoint endpoint(GatewayEffect.Send send) {
        return new ConnectionPool.Endpoint(
                send.target().id() + "/" + send.target().incarnation(),
                SocketAddresses.parse(send.target().address()));
    }

    private void attemptAnswered(GatewayEffect.Send send, OpenRequest open, FullHttpResponse response) {
        long now = clock.monotonicMillis();
        gateway.signalsReceived(send.target(), messages.signals(response), now);
        AttemptResult result = messages.result(response, open.requestId());
        if (result instanceof AttemptResult.Answered(AttemptResult.Grade grade)
                && grade == AttemptResult.Grade.SUCCESS) {
            gateway.bytesTransferred(
                    send.attempt(),
                    (long) open.request().content().readableBytes()
                            + response.content().readableBytes());
        } else {
            log.info(
                    "event=attempt_ended id={} target={} result={} status={} millis={}",
                    open.requestId(),
                    send.target().id(),
                    result,
                    response.status().code(),
                    now - open.receivedAt());
        }
        currentResponse = response;
        run(gateway.attemptEnded(send.attempt(), result, now));
        currentResponse = null;
    }

    private void attemptFailed(GatewayEffect.Send send, OpenRequest open, CallFailure failure) {
        long now = clock.monotonicMillis();
        log.info(
                "event=attempt_failed id={} target={} failure={} millis={}",
                open.requestId(),
                send.target().id(),
                failure,
                now - open.receivedAt());
        AttemptResult result = switch (failure) {
            case NOT_SENT -> new AttemptResult.NotSent();
            case BROKEN, TIMED_OUT -> new AttemptResult.Lost(false);
            case MALFORMED -> new AttemptResult.Lost(true);
        };
        run(gateway.attemptEnded(send.attempt(), result, now));
    }

    private void deliver(GatewayEffect.Deliver deliver) {
        OpenRequest open = openRequests.remove(deliver.exchange());
        if (open == null) {
            return;
        }
        GatewayEffect.Timing timing = deliver.timing();
        if (timing.late()) {
            log.info(
                    "event=answer_late id={} target={} waitedMillis={} workedMillis={} busyAtSend={} attempts={}",
                    open.requestId(),
                    timing.target(),
                    timing.waitedMillis(),
                    timing.workedMillis(),
                    timing.busyAtSend(),
                    timing.attempts());
        }
        open.reply().respond(messages.response(currentResponse));
    }

    private void refuse(GatewayEffect.Refuse refuse) {
        OpenRequest open = openRequests.remove(refuse.exchange());
        if (open == null) {
            return;
        }
        refusals.merge(refuse.reason(), 1, Integer::sum);
        log.info(
                "event=request_refused id={} reason={} customer={} retryAfterMillis={} millis={}",
                open.requestId(),
                refuse.reason(),
                refuse.customer().map(CustomerName::value).orElse("none"),
                refuse.retryAfterMillis(),
                clock.monotonicMillis() - open.receivedAt());
        FullHttpResponse response = new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1, status(refuse.reason().outcome()), Unpooled.EMPTY_BUFFER);
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, 0);
        if (!open.requestId().isEmpty()) {
            response.headers().set(names.requestId(), open.requestId());
        }
        if (refuse.retryAfterMillis() > 0) {
            response.headers()
                    .set(
                            HttpHeaderNames.RETRY_AFTER,
                            String.format(Locale.ROOT, "%.3f", refuse.retryAfterMillis() / MILLIS_PER_SECOND));
        }
        open.reply().respond(response);
    }

    private static HttpResponseStatus status(RefusalReason.Outcome outcome) {
        return switch (outcome) {
            case NOT_RUN -> HttpResponseStatus.SERVICE_UNAVAILABLE;
            case RATE_LIMITED -> HttpResponseStatus.TOO_MANY_REQUESTS;
            case MALFORMED -> HttpResponseStatus.BAD_REQUEST;
            case UNAUTHENTICATED -> HttpResponseStatus.UNAUTHORIZED;
            case NOT_FOUND -> HttpResponseStatus.NOT_FOUND;
            case TIMED_OUT -> HttpResponseStatus.GATEWAY_TIMEOUT;
            case UNKNOWN -> HttpResponseStatus.BAD_GATEWAY;
        };
    }

    /** Gives all open requests their final answers, because this host ends now. */
    void endRequests() {
        run(gateway.endRequests());
    }

    /** Returns the refusals since the last call by reason, and resets them. */
    Map<RefusalReason, Integer> drainRefusals() {
        Map<RefusalReason, Integer> result = new EnumMap<>(refusals);
        refusals.clear();
        return result;
    }

    /** Returns the number of requests that are not answered yet. */
    int openRequests() {
        return openRequests.size();
    }
}
