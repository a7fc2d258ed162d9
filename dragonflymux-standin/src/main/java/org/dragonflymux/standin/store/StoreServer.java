package org.dragonflymux.standin.store;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.InetSocketAddress;
import java.time.Clock;
import java.time.Duration;
import ratpack.exec.Execution;
import ratpack.exec.Promise;
import ratpack.handling.Context;
import ratpack.server.RatpackServer;

/**
 * Serves a {@link KeyValueModel} over HTTP.
 *
 * <p>{@code POST /fault} sets {@link StoreFaults}, and {@code GET /calls} returns the number of calls handled so far.
 */
public final class StoreServer {

    private static final int MAX_BODY_BYTES = 8 << 20;
    private static final int STATUS_OK = 200;
    private static final int STATUS_ERROR = 400;
    private static final Duration NO_RESPONSE = Duration.ofHours(1); // longer than any client's timeout

    private final KeyValueModel model = KeyValueModel.empty();
    private final ObjectMapper mapper = new ObjectMapper();
    private final Clock clock;
    private volatile StoreFaults faults = StoreFaults.NONE;

    private StoreServer(Clock clock) {
        this.clock = clock;
    }

    /** Starts a server with an empty store. */
    public static RatpackServer start(InetSocketAddress address, Clock clock) throws Exception {
        StoreServer store = new StoreServer(clock);
        return RatpackServer.start(server -> server.serverConfig(config -> config.address(address.getAddress())
                        .port(address.getPort())
                        .maxContentLength(MAX_BODY_BYTES)
                        .threads(2)
                        .development(false))
                .handlers(chain -> chain.post("fault", store::fault)
                        .get("calls", context -> context.render(Long.toString(store.model.calls())))
                        .post("v3/::.*", store::call)));
    }

    private void fault(Context context) {
        context.getRequest().getBody().then(body -> {
            faults = mapper.readValue(body.getText(), StoreFaults.class);
            context.render("ok");
        });
    }

    private void call(Context context) {
        StoreFaults active = faults;
        context.getRequest().getBody().then(body -> {
            JsonNode request = mapper.readTree(body.getText());
            if (active.down()) {
                delay(NO_RESPONSE).then(done -> context.render(""));
                return;
            }
            ObjectNode response = model.handle("/" + context.getRequest().getPath(), request, clock.instant());
            Duration responseDelay = active.loseAnswers() ? NO_RESPONSE : Duration.ofMillis(active.delayMillis());
            delay(responseDelay).then(done -> respond(context, response));
        });
    }

    private static Promise<Boolean> delay(Duration delay) {
        return delay.isZero()
                ? Promise.value(true)
                : Promise.async(downstream -> Execution.current()
                        .getController()
                        .getExecutor()
                        .schedule(
                                () -> downstream.success(true),
                                delay.toMillis(),
                                java.util.concurrent.TimeUnit.MILLISECONDS));
    }

    private void respond(Context context, ObjectNode response)
            throws com.fasterxml.jackson.core.JsonProcessingException {
        context.getResponse()
                .status(response.has("code") ? STATUS_ERROR : STATUS_OK)
                .send("application/json", mapper.writeValueAsString(response));
    }
}
