package org.dragonflymux.entry.target;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.channel.ConnectTimeoutException;
import io.netty.handler.codec.TooLongFrameException;
import java.net.ConnectException;
import java.net.URI;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.function.Consumer;
import org.dragonflymux.core.message.Effect;
import org.dragonflymux.core.message.Event;
import org.dragonflymux.core.message.GrantReply;
import org.dragonflymux.core.message.Header;
import org.dragonflymux.core.message.Outcome;
import org.dragonflymux.core.message.ServiceRequest;
import org.dragonflymux.core.message.TargetResult;
import org.dragonflymux.runtime.http.RatpackExecutor;
import org.dragonflymux.runtime.http.TargetProtocol;
import ratpack.http.client.HttpClient;
import ratpack.http.client.HttpClientReadTimeoutException;
import ratpack.http.client.ReceivedResponse;
import ratpack.http.client.RequestSpec;

/** Sends requests and grants to targets over HTTP. Each of them results in exactly one event. */
public final class TargetClient {

    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(500);
    private static final Duration GRANT_TIMEOUT = Duration.ofMillis(600);
    private static final int POOL_SIZE = 16;
    private static final int NO_POOL = 0;
    private static final int MAX_GRANT_RESPONSE_BYTES = 4096;
    private static final int MAX_RESPONSE_BYTES = 64 << 20;

    private final RatpackExecutor executor;
    private final Consumer<Event> events;
    private final HttpClient pooledClient;
    private final HttpClient unpooledClient;
    private final HttpClient grantClient;
    private final ObjectMapper mapper = new ObjectMapper();

    private TargetClient(RatpackExecutor executor, Consumer<Event> events) {
        this.executor = executor;
        this.events = events;
        this.pooledClient = executor.client(POOL_SIZE, MAX_RESPONSE_BYTES, CONNECT_TIMEOUT);
        this.unpooledClient = executor.client(NO_POOL, MAX_RESPONSE_BYTES, CONNECT_TIMEOUT);
        this.grantClient = executor.client(1, MAX_GRANT_RESPONSE_BYTES, CONNECT_TIMEOUT);
    }

    /**
     * Returns a client.
     *
     * @param events receives the results, on any thread
     */
    public static TargetClient of(RatpackExecutor executor, Consumer<Event> events) {
        return new TargetClient(executor, events);
    }

    public void call(Effect.CallTarget call) {
        HttpClient client = call.freshConnection() ? unpooledClient : pooledClient;
        URI address = URI.create("http://" + call.address() + call.request().path());
        executor.execute(
                execution -> client.request(address, spec -> prepareRequest(spec, call))
                        .onError(error -> submitResult(call, failureResult(error)))
                        .then(response -> submitResult(call, targetResult(response))),
                error -> submitResult(call, failureResult(error)));
    }

    private void submitResult(Effect.CallTarget call, TargetResult result) {
        events.accept(new Event.AttemptEnded(call.attempt(), result));
    }

    private static void prepareRequest(RequestSpec spec, Effect.CallTarget call) throws Exception {
        ServiceRequest request = call.request();
        spec.method(request.method())
                .redirects(0)
                .decompressResponse(false)
                .maxContentLength(call.maxAnswerBytes())
                .readTimeout(call.timeout());
        spec.headers(headers -> {
            for (Header header : request.headers()) {
                headers.add(header.name(), header.value());
            }
            headers.set(TargetProtocol.FENCE_HEADER, Long.toString(call.fence()));
            headers.set(
                    TargetProtocol.DEADLINE_HEADER,
                    Long.toString(call.deadline().toEpochMilli()));
            headers.set(TargetProtocol.KEY_HEADER, request.key());
            headers.set(TargetProtocol.CUSTOMER_HEADER, request.customer().value());
        });
        if (request.body().length > 0) {
            spec.getBody().bytes(request.body());
        }
    }

    private static TargetResult targetResult(ReceivedResponse response) {
        String notRun = response.getHeaders().get(TargetProtocol.NOT_RUN_HEADER);
        if (notRun != null) {
            return new TargetResult.Declined(declineReason(notRun));
        }
        List<Header> headers = new ArrayList<>();
        response.getHeaders()
                .asMultiValueMap()
                .getAll()
                .forEach((name, values) -> values.forEach(value -> headers.add(new Header(name, value))));
        byte[] body = response.getBody().getBytes();
        return new TargetResult.Completed(new Outcome.Answered(response.getStatusCode(), headers, body));
    }

    private static TargetResult.DeclineReason declineReason(String text) {
        try {
            return TargetResult.DeclineReason.valueOf(text.toUpperCase(Locale.ROOT));
        } catch (IllegalArgumentException e) {
            return TargetResult.DeclineReason.SHED;
        }
    }

    private static TargetResult failureResult(Throwable error) {
        return switch (error) {
            case ConnectTimeoutException _ -> new TargetResult.NotSent(false);
            case ConnectException _ -> new TargetResult.NotSent(true);
            case HttpClientReadTimeoutException _ -> new TargetResult.TimedOut();
            case TooLongFrameException _ -> new TargetResult.TooLarge();
            default -> new TargetResult.Broken();
        };
    }

    public void grant(Effect.SendGrant grant) {
        URI address = URI.create("http://" + grant.address() + "/" + TargetProtocol.GRANT_PATH);
        String body = mapper.createObjectNode()
                .put("fence", grant.fence())
                .put("boot", grant.boot())
                .put("validUntilMillis", grant.validUntilMillis())
                .toString();
        executor.execute(
                execution -> grantClient
                        .request(
                                address,
                                spec -> spec.post()
                                        .readTimeout(GRANT_TIMEOUT)
                                        .body(content ->
                                                content.type("application/json").text(body)))
                        .onError(error -> submitGrantReply(grant, grantFailure(error)))
                        .then(response -> submitGrantReply(grant, grantReply(response))),
                error -> submitGrantReply(grant, new GrantReply.TimedOut()));
    }

    private void submitGrantReply(Effect.SendGrant grant, GrantReply reply) {
        events.accept(new Event.GrantReplied(grant.service(), grant.target(), grant.grant(), reply));
    }

    private static GrantReply grantFailure(Throwable error) {
        boolean refused = error instanceof ConnectException && !(error instanceof ConnectTimeoutException);
        return refused ? new GrantReply.ConnectionRefused() : new GrantReply.TimedOut();
    }

    private GrantReply grantReply(ReceivedResponse response) {
        try {
            JsonNode answer = mapper.readTree(response.getBody().getText());
            return new GrantReply.Answered(
                    answer.path("accepted").asBoolean(),
                    answer.path("boot").asText(),
                    answer.path("clockMillis").asLong(),
                    answer.path("leaving").asBoolean());
        } catch (JsonProcessingException e) {
            return new GrantReply.TimedOut();
        }
    }
}
