package org.dragonflymux.gateway.target;

import com.google.common.base.Splitter;
import com.google.common.primitives.Ints;
import com.google.common.primitives.Longs;
import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.dragonflymux.core.balance.LoadReport;
import org.dragonflymux.core.gateway.AttemptResult;
import org.dragonflymux.core.gateway.GatewayEffect;
import org.dragonflymux.gateway.WireNames;

/** Writes requests to targets, reads their answers, and writes answers to callers. */
public final class TargetMessages {

    private static final Splitter COMMAS = Splitter.on(',').trimResults();
    private static final int MISDIRECTED = 421;
    private static final int AS_USUAL_PERCENT = 100;

    private final WireNames names;

    private TargetMessages(WireNames names) {
        this.names = names;
    }

    /** Returns messages with the given header names. */
    public static TargetMessages with(WireNames names) {
        return new TargetMessages(names);
    }

    /** Returns the request to a target. The body's buffer is shared and counted once more. */
    public FullHttpRequest request(FullHttpRequest original, GatewayEffect.Send send) {
        ByteBuf body = original.content().retainedDuplicate();
        HttpHeaders headers = Headers.forwarded(original.headers(), names.ownTowardsTargets());
        headers.set(names.waitMillis(), send.remainingMillis());
        headers.set(names.expectedTarget(), send.target().id().value());
        send.customer().ifPresent(customer -> headers.set(names.customer(), customer.value()));
        boolean hasBody = body.isReadable()
                || original.method().equals(HttpMethod.POST)
                || original.method().equals(HttpMethod.PUT);
        if (hasBody) {
            headers.set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
        }
        return new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1, original.method(), original.uri(), body, headers, EmptyHttpHeaders.INSTANCE);
    }

    /** Returns a target's answer as it goes to the caller. The body's buffer is shared and counted once more. */
    public FullHttpResponse answer(FullHttpResponse original) {
        ByteBuf body = original.content().retainedDuplicate();
        HttpHeaders headers = Headers.forwarded(original.headers(), names.hiddenFromCallers());
        headers.set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
        return new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1, original.status(), body, headers, EmptyHttpHeaders.INSTANCE);
    }

    /** Returns what an answer means for the request with the given name. */
    public AttemptResult read(FullHttpResponse answer, String requestId) {
        int status = answer.status().code();
        if (answer.headers().contains(names.notRun()) || status == MISDIRECTED) {
            return new AttemptResult.NotRun(status == MISDIRECTED);
        }
        if (!requestId.equals(answer.headers().get(names.requestId()))) {
            return new AttemptResult.Lost(true);
        }
        boolean sealed = answer.headers().contains(names.seal());
        return switch (status / 100) {
            case 2 -> sealed ? new AttemptResult.Answered(AttemptResult.Grade.SUCCESS) : new AttemptResult.Lost(true);
            case 5 ->
                status == 503
                        ? new AttemptResult.Lost(false)
                        : new AttemptResult.Answered(AttemptResult.Grade.TARGET_ERROR);
            default ->
                promisesNotRun(status)
                        ? new AttemptResult.Lost(false)
                        : new AttemptResult.Answered(AttemptResult.Grade.REPLY);
        };
    }

    /** Returns whether callers take a status as a promise, which only a target that says so may give. */
    private static boolean promisesNotRun(int status) {
        return List.of(408, 429).contains(status);
    }

    /** Returns the load that an answer tells. */
    public Optional<LoadReport> load(FullHttpResponse answer) {
        String told = answer.headers().get(names.load());
        if (told == null) {
            return Optional.empty();
        }
        List<Integer> figures =
                COMMAS.splitToStream(told).map(Ints::tryParse).collect(java.util.stream.Collectors.toList());
        if (figures.size() < 3 || figures.contains(null)) {
            return Optional.empty();
        }
        int slowdown = figures.size() > 3 ? figures.get(3) : AS_USUAL_PERCENT;
        return Optional.of(new LoadReport(figures.get(0), figures.get(1), figures.get(2), Math.max(1, slowdown)));
    }

    /** Returns how much longer the target stays cold, as far as an answer tells. */
    public OptionalLong coldMillis(FullHttpResponse answer) {
        String told = answer.headers().get(names.coldMillis());
        Long millis = told == null ? null : Longs.tryParse(told);
        return millis == null ? OptionalLong.empty() : OptionalLong.of(millis);
    }
}
