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

/** Serves a {@link KeyValueModel} over HTTP. {@code POST /fault} sets its faults. */
public final class StoreServer {

    private static final int MAX_BODY_BYTES = 8 << 20;
    private static final int STATUS_OK = 200;
    private static final int STATUS_ERROR = 400;
    private static final Duration NEVER = Duration.ofHours(1);

    private final KeyValueModel model = KeyValueModel.empty();
    private final ObjectMapper mapper = new ObjectMapper();
    private final Clock clock;
    private volatile StoreFaults faults = StoreFaults.NONE;

    private StoreServer(Clock clock) {
        this.clock = clock;
    }

    /** Starts a server. */
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
        StoreFaults now = faults;
        context.getRequest().getBody().then(body -> {
            JsonNode request = mapper.readTree(body.getText());
            if (now.down()) {
                hold(NEVER).then(done -> context.render(""));
                return;
            }
            ObjectNode answer = model.handle("/" + context.getRequest().getPath(), request, clock.instant());
            Duration delay = now.loseAnswers() ? NEVER : Duration.ofMillis(now.delayMillis());
            hold(delay).then(done -> answer(context, answer));
        });
    }

    private static Promise<Boolean> hold(Duration delay) {
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

    private void answer(Context context, ObjectNode answer) throws com.fasterxml.jackson.core.JsonProcessingException {
        context.getResponse()
                .status(answer.has("code") ? STATUS_ERROR : STATUS_OK)
                .send("application/json", mapper.writeValueAsString(answer));
    }
}
