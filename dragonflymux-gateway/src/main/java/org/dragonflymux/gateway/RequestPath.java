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
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.function.BiConsumer;
import org.apache.logging.log4j.LogManager;
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
import org.dragonflymux.gateway.http.Call;
import org.dragonflymux.gateway.http.CallFailure;
import org.dragonflymux.gateway.http.CallListener;
import org.dragonflymux.gateway.http.ConnectionPool;
import org.dragonflymux.gateway.target.TargetMessages;

/** Carries requests between callers, the gateway's decisions and targets. */
final class RequestPath implements CallerHandler {

    private static final double MAX_IDLE_SHARE = 0.9;
    private static final double MAX_IDLE_SHARE_ONCE_ONLY = 0.4;
    private static final double MILLIS_PER_SECOND = 1000;

    private final Gateway gateway;
    private final ConnectionPool pool;
    private final TargetMessages messages;
    private final WireNames names;
    private final HostClock clock;
    private final BoundedLog log = new BoundedLog(LogManager.getLogger(RequestPath.class));
    private final Map<Long, Waiting> waiting = new HashMap<>();
    private final Map<Long, Call> calls = new HashMap<>();
    private long lastExchange;
    private long lastTick;
    private long lag;
    private long maxLoopMillis = Long.MAX_VALUE / 4;
    private long sleptMillis;
    private FullHttpResponse presentAnswer;
    private BiConsumer<HostId, RateMessage> teller = (_, _) -> {};

    private record Waiting(FullHttpRequest request, CallerReply reply, String requestId, long since) {}

    RequestPath(Gateway gateway, ConnectionPool pool, WireNames names, HostClock clock) {
        this.gateway = gateway;
        this.pool = pool;
        this.messages = TargetMessages.with(names);
        this.names = names;
        this.clock = clock;
    }

    /** Sets who sends messages to other hosts. */
    void tells(BiConsumer<HostId, RateMessage> messenger) {
        teller = messenger;
    }

    /** Takes in what another host says about rates. */
    void told(RateMessage message) {
        noteSuspension();
        run(gateway.rateMessageReceived(message, clock.monotonicMillis()));
    }

    private void noteSuspension() {
        long slept = clock.sleptMillis();
        if (slept > sleptMillis) {
            log.info("event=suspended millis={}", slept - sleptMillis);
            gateway.suspended(slept - sleptMillis);
            sleptMillis = slept;
        }
    }

    @Override
    public void requested(FullHttpRequest request, CallerReply reply) {
        noteSuspension();
        long exchange = ++lastExchange;
        long now = clock.monotonicMillis();
        String id = request.headers().get(names.requestId(), "");
        waiting.put(exchange, new Waiting(request, reply, id, now));
        reply.whenGone(() -> {
            waiting.remove(exchange);
            run(gateway.callerDisconnected(exchange, clock.monotonicMillis()));
        });
        // How long the request lay here before and after it was read.
        long age = now - reply.readAt() + Math.max(lag, now - lastTick - maxLoopMillis);
        run(gateway.requestArrived(arrived(exchange, id, request, Math.max(0, age)), now));
    }

    private ArrivedRequest arrived(long exchange, String id, FullHttpRequest request, long age) {
        String host = request.headers().get(HttpHeaderNames.HOST, "").toLowerCase(Locale.ROOT);
        int port = host.indexOf(':');
        String uri = request.uri();
        int query = uri.indexOf('?');
        Long wait = Longs.tryParse(request.headers().get(names.waitMillis(), ""));
        Integer key = Ints.tryParse(request.headers().get(names.shardKey(), ""));
        return new ArrivedRequest(
                exchange,
                id,
                port < 0 ? host : host.substring(0, port),
                query < 0 ? uri : uri.substring(0, query),
                Optional.ofNullable(request.headers().get(names.credential())),
                key == null ? OptionalInt.empty() : OptionalInt.of(key),
                wait == null ? OptionalLong.empty() : OptionalLong.of(Math.max(0, wait - age)));
    }

    /**
     * Does what is due.
     *
     * @param everyMillis the time between two calls; what is beyond it is how long requests lay unread at most
     */
    void tick(long everyMillis) {
        noteSuspension();
        long now = clock.monotonicMillis();
        maxLoopMillis = 2 * everyMillis;
        lag = lastTick == 0 ? 0 : Math.max(0, now - lastTick - maxLoopMillis);
        lastTick = now;
        log.tick(now);
        run(gateway.tick(now));
    }

    /** Carries out what the gateway wants. */
    void run(List<GatewayEffect> effects) {
        for (GatewayEffect effect : effects) {
            switch (effect) {
                case GatewayEffect.Send send -> send(send);
                case GatewayEffect.Cancel cancel -> {
                    Call call = calls.remove(cancel.attempt());
                    if (call != null) {
                        call.cancel();
                    }
                }
                case GatewayEffect.Deliver deliver -> deliver(deliver);
                case GatewayEffect.Refuse refuse -> refuse(refuse);
                case GatewayEffect.Tell tell -> teller.accept(tell.to(), tell.message());
            }
        }
    }

    private void send(GatewayEffect.Send send) {
        Waiting exchange = waiting.get(send.exchange());
        FullHttpRequest request = messages.request(exchange.request(), send);
        double idleShare = send.repeatable() ? MAX_IDLE_SHARE : MAX_IDLE_SHARE_ONCE_ONLY;
        Call call = pool.call(peer(send), request, 0, idleShare, new CallListener() {
            @Override
            public void answered(FullHttpResponse answer) {
                calls.remove(send.attempt());
                attemptAnswered(send, exchange, answer);
            }

            @Override
            public void failed(CallFailure failure) {
                calls.remove(send.attempt());
                attemptFailed(send, exchange, failure);
            }

            @Override
            public boolean abandoned() {
                return exchange.reply().callerLeft();
            }
        });
        calls.put(send.attempt(), call);
    }

    private static ConnectionPool.Peer peer(GatewayEffect.Send send) {
        return new ConnectionPool.Peer(
                send.target().id() + "/" + send.target().incarnation(),
                SocketAddresses.parse(send.target().address()));
    }

    private void attemptAnswered(GatewayEffect.Send send, Waiting exchange, FullHttpResponse answer) {
        long now = clock.monotonicMillis();
        messages.load(answer)
                .ifPresent(load -> gateway.loadReported(send.target().id(), load, now));
        AttemptResult result = messages.read(answer, exchange.requestId());
        if (!(result instanceof AttemptResult.Answered(AttemptResult.Grade grade))
                || grade != AttemptResult.Grade.SUCCESS) {
            log.info(
                    "event=attempt_ended id={} target={} result={} status={} millis={}",
                    exchange.requestId(),
                    send.target().id(),
                    result,
                    answer.status().code(),
                    now - exchange.since());
        }
        presentAnswer = answer;
        run(gateway.attemptEnded(send.attempt(), result, now));
        presentAnswer = null;
    }

    private void attemptFailed(GatewayEffect.Send send, Waiting exchange, CallFailure failure) {
        long now = clock.monotonicMillis();
        log.info(
                "event=attempt_failed id={} target={} failure={} millis={}",
                exchange.requestId(),
                send.target().id(),
                failure,
                now - exchange.since());
        AttemptResult result = switch (failure) {
            case NOT_SENT -> new AttemptResult.NotSent();
            case BROKEN, TIMED_OUT -> new AttemptResult.Lost(false);
            case MALFORMED -> new AttemptResult.Lost(true);
        };
        run(gateway.attemptEnded(send.attempt(), result, now));
    }

    private void deliver(GatewayEffect.Deliver deliver) {
        Waiting exchange = waiting.remove(deliver.exchange());
        if (exchange == null) {
            return;
        }
        GatewayEffect.Timing timing = deliver.timing();
        if (timing.late()) {
            log.info(
                    "event=answer_late id={} target={} waitedMillis={} workedMillis={} busyAtSend={} attempts={}",
                    exchange.requestId(),
                    timing.target(),
                    timing.waitedMillis(),
                    timing.workedMillis(),
                    timing.busyAtSend(),
                    timing.attempts());
        }
        exchange.reply().answer(messages.answer(presentAnswer));
    }

    private void refuse(GatewayEffect.Refuse refuse) {
        Waiting exchange = waiting.remove(refuse.exchange());
        if (exchange == null) {
            return;
        }
        log.info(
                "event=request_refused id={} reason={} customer={} retryAfterMillis={} millis={}",
                exchange.requestId(),
                refuse.reason(),
                refuse.customer().map(CustomerName::value).orElse("none"),
                refuse.retryAfterMillis(),
                clock.monotonicMillis() - exchange.since());
        FullHttpResponse answer = new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1, status(refuse.reason().outcome()), Unpooled.EMPTY_BUFFER);
        answer.headers().set(HttpHeaderNames.CONTENT_LENGTH, 0);
        if (!exchange.requestId().isEmpty()) {
            answer.headers().set(names.requestId(), exchange.requestId());
        }
        if (refuse.retryAfterMillis() > 0) {
            answer.headers()
                    .set(
                            HttpHeaderNames.RETRY_AFTER,
                            String.format(Locale.ROOT, "%.3f", refuse.retryAfterMillis() / MILLIS_PER_SECOND));
        }
        exchange.reply().answer(answer);
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

    /** Returns how many callers wait for an answer. */
    int open() {
        return waiting.size();
    }
}
