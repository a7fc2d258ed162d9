package org.dragonflymux.runtime.store;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.net.URI;
import java.time.Duration;
import java.util.function.Consumer;
import org.dragonflymux.core.message.StoreCall;
import org.dragonflymux.core.message.StoreReply;
import org.dragonflymux.runtime.http.RatpackExecutor;
import ratpack.http.client.HttpClient;
import ratpack.http.client.ReceivedResponse;

/** Calls the platform's store over HTTP. Each call yields exactly one reply. */
public final class EtcdClient {

    /** The read time-out of one call. */
    public static final Duration CALL_TIMEOUT = Duration.ofMillis(800);

    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(400);
    private static final int MAX_RESPONSE_BYTES = 64 << 20;
    private static final int POOL_SIZE = 8;
    private static final int STATUS_OK = 200;
    private static final int GRPC_CODE_NOT_FOUND = 5;

    private final URI address;
    private final RatpackExecutor executor;
    private final HttpClient client;
    private final ObjectMapper mapper = new ObjectMapper();

    private EtcdClient(URI address, RatpackExecutor executor) {
        this.address = address;
        this.executor = executor;
        this.client = executor.client(POOL_SIZE, MAX_RESPONSE_BYTES, CONNECT_TIMEOUT);
    }

    /** Returns a client of the store at an address. */
    public static EtcdClient of(URI address, RatpackExecutor executor) {
        return new EtcdClient(address, executor);
    }

    /** Calls the store, and passes the reply to the handler on any thread. */
    public void call(StoreCall call, Consumer<StoreReply> handler) {
        Consumer<JsonNode> onResponse = response -> handler.accept(decode(call, response));
        send(EtcdCodec.encode(call), onResponse, () -> handler.accept(new StoreReply.Unavailable()));
    }

    private static StoreReply decode(StoreCall call, JsonNode response) {
        if (!response.has("code")) {
            return EtcdCodec.decode(call, response);
        }
        boolean notFound = response.path("code").asInt() == GRPC_CODE_NOT_FOUND;
        return notFound ? new StoreReply.Conflict() : new StoreReply.Unavailable();
    }

    /**
     * Sends a request to the gateway.
     *
     * @param onResponse receives the response, which has a field {@code code} if the store reports an error
     * @param onFailure called if no valid response was received
     */
    public void send(EtcdRequest request, Consumer<JsonNode> onResponse, Runnable onFailure) {
        executor.execute(
                execution -> client.request(
                                address.resolve(request.path()),
                                spec -> spec.post()
                                        .readTimeout(CALL_TIMEOUT)
                                        .body(body -> body.type("application/json")
                                                .bytes(mapper.writeValueAsBytes(request.body()))))
                        .onError(error -> onFailure.run())
                        .then(response -> handleResponse(response, onResponse, onFailure)),
                error -> onFailure.run());
    }

    private void handleResponse(ReceivedResponse response, Consumer<JsonNode> onResponse, Runnable onFailure) {
        JsonNode node;
        try {
            node = mapper.readTree(response.getBody().getText());
        } catch (JsonProcessingException e) {
            onFailure.run();
            return;
        }
        boolean valid = response.getStatusCode() == STATUS_OK || node.has("code");
        if (valid) {
            onResponse.accept(node);
        } else {
            onFailure.run();
        }
    }
}
