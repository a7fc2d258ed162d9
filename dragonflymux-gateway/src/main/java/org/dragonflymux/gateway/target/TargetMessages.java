package org.dragonflymux.gateway.target;

import com.google.common.base.Splitter;
import com.google.common.primitives.Doubles;
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
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpVersion;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.dragonflymux.core.balance.LoadReport;
import org.dragonflymux.core.balance.TargetSignals;
import org.dragonflymux.core.gateway.AttemptResult;
import org.dragonflymux.core.gateway.GatewayEffect;
import org.dragonflymux.gateway.HeaderNames;

/** Translates callers' requests into requests to targets, and targets' responses into attempt results and responses. */
public final class TargetMessages {

    private static final Splitter COMMA_SPLITTER = Splitter.on(',').trimResults();
    private static final int MISDIRECTED = 421;
    private static final int NORMAL_SLOWDOWN_PERCENT = 100;
    private static final double MILLIS_PER_SECOND = 1000;

    private final HeaderNames names;

    private TargetMessages(HeaderNames names) {
        this.names = names;
    }

    /** Creates a translator that uses the given header names. */
    public static TargetMessages with(HeaderNames names) {
        return new TargetMessages(names);
    }

    /** Returns the request to send to a target. It shares the body's buffer, whose reference count is incremented. */
    public FullHttpRequest request(FullHttpRequest original, GatewayEffect.Send send) {
        ByteBuf body = original.content().retainedDuplicate();
        HttpHeaders headers = HeaderFilter.forwarded(original.headers(), names.notForwardedToTargets());
        headers.set(names.timeoutMillis(), send.remainingMillis());
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

    /** Returns the response to send to the caller. It shares the body's buffer, whose reference count is incremented. */
    public FullHttpResponse response(FullHttpResponse original) {
        ByteBuf body = original.content().retainedDuplicate();
        HttpHeaders headers = HeaderFilter.forwarded(original.headers(), names.notForwardedToCallers());
        headers.set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
        return new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1, original.status(), body, headers, EmptyHttpHeaders.INSTANCE);
    }

    /** Returns whether a response names another request, for example because a target sends an earlier response again. */
    public boolean answersOtherRequest(FullHttpResponse response, String requestId) {
        String answeredId = response.headers().get(names.requestId());
        return answeredId != null && !answeredId.equals(requestId);
    }

    /** Returns the result of an attempt, given the target's response and the id of the request. */
    public AttemptResult result(FullHttpResponse response, String requestId) {
        // Nothing in a response counts, not even that the request was not run, unless it is the response to this
        // request and its status is one of HTTP's.
        if (!requestId.equals(response.headers().get(names.requestId()))
                || response.status().codeClass() == HttpStatusClass.UNKNOWN) {
            return new AttemptResult.Lost(true);
        }
        int status = response.status().code();
        if (response.headers().contains(names.notRun()) || status == MISDIRECTED) {
            return new AttemptResult.NotRun(status == MISDIRECTED);
        }
        boolean sealed = response.headers().contains(names.seal());
        return switch (status / 100) {
            case 2 -> sealed ? new AttemptResult.Answered(AttemptResult.Grade.SUCCESS) : new AttemptResult.Lost(true);
            case 5 ->
                status == 503
                        ? new AttemptResult.Lost(false)
                        : new AttemptResult.Answered(AttemptResult.Grade.TARGET_ERROR);
            default ->
                impliesNotRun(status)
                        ? new AttemptResult.Lost(false)
                        : new AttemptResult.Answered(AttemptResult.Grade.REPLY);
        };
    }

    /** Returns whether callers read a status as a guarantee that the request was not run, which only the header may give. */
    private static boolean impliesNotRun(int status) {
        return List.of(408, 429).contains(status);
    }

    /** Returns what the target says about itself in a response, whatever the result of the request is. */
    public TargetSignals signals(FullHttpResponse response) {
        return new TargetSignals(load(response), response.headers().contains(names.leaving()), pauseMillis(response));
    }

    private static OptionalLong pauseMillis(FullHttpResponse response) {
        String value = response.headers().get(HttpHeaderNames.RETRY_AFTER);
        if (value == null || !response.status().equals(HttpResponseStatus.SERVICE_UNAVAILABLE)) {
            return OptionalLong.empty();
        }
        Double seconds = Doubles.tryParse(value.trim());
        return seconds == null || !(seconds > 0)
                ? OptionalLong.empty()
                : OptionalLong.of((long) (seconds * MILLIS_PER_SECOND));
    }

    /** Returns the target's load, if the response reports it. */
    public Optional<LoadReport> load(FullHttpResponse response) {
        String value = response.headers().get(names.load());
        if (value == null) {
            return Optional.empty();
        }
        List<Integer> figures =
                COMMA_SPLITTER.splitToStream(value).map(Ints::tryParse).collect(java.util.stream.Collectors.toList());
        if (figures.size() < 3 || figures.contains(null)) {
            return Optional.empty();
        }
        int slowdown = figures.size() > 3 ? figures.get(3) : NORMAL_SLOWDOWN_PERCENT;
        return Optional.of(new LoadReport(figures.get(0), figures.get(1), figures.get(2), Math.max(1, slowdown)));
    }

    /** Returns how much longer the target stays cold, if the response reports it. */
    public OptionalLong coldMillis(FullHttpResponse response) {
        String value = response.headers().get(names.coldMillis());
        Long millis = value == null ? null : Longs.tryParse(value);
        return millis == null ? OptionalLong.empty() : OptionalLong.of(millis);
    }
}
