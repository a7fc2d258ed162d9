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

/** Calls the platform's store over HTTP; each call ends with exactly one reply. */
public final class EtcdClient {

    /** How long one call may take. */
    public static final Duration CALL_TIMEOUT = Duration.ofMillis(800);

    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(400);
    private static final int MAX_ANSWER_BYTES = 64 << 20;
    private static final int POOL_SIZE = 8;
    private static final int STATUS_OK = 200;
    private static final int CODE_NOT_FOUND = 5;

    private final URI address;
    private final RatpackExecutor executor;
    private final HttpClient client;
    private final ObjectMapper mapper = new ObjectMapper();

    private EtcdClient(URI address, RatpackExecutor executor) {
        this.address = address;
        this.executor = executor;
        this.client = executor.client(POOL_SIZE, MAX_ANSWER_BYTES, CONNECT_TIMEOUT);
    }

    /** Returns a client of the store at an address. */
    public static EtcdClient of(URI address, RatpackExecutor executor) {
        return new EtcdClient(address, executor);
    }

    /** Makes a call; the reply may come on any thread. */
    public void call(StoreCall call, Consumer<StoreReply> handler) {
        Consumer<JsonNode> answered = answer -> handler.accept(read(call, answer));
        send(EtcdCodec.encode(call), answered, () -> handler.accept(new StoreReply.Unavailable()));
    }

    private static StoreReply read(StoreCall call, JsonNode answer) {
        if (!answer.has("code")) {
            return EtcdCodec.decode(call, answer);
        }
        boolean notFound = answer.path("code").asInt() == CODE_NOT_FOUND;
        return notFound ? new StoreReply.Conflict() : new StoreReply.Unavailable();
    }

    /**
     * Sends a request of the gateway.
     *
     * @param answered takes in the answer, which has a field {@code code} when the store reports an error
     * @param failed told that no answer came
     */
    public void send(EtcdRequest request, Consumer<JsonNode> answered, Runnable failed) {
        executor.execute(
                execution -> client.request(
                                address.resolve(request.path()),
                                spec -> spec.post()
                                        .readTimeout(CALL_TIMEOUT)
                                        .body(body -> body.type("application/json")
                                                .bytes(mapper.writeValueAsBytes(request.body()))))
                        .onError(error -> failed.run())
                        .then(response -> answer(response, answered, failed)),
                error -> failed.run());
    }

    private void answer(ReceivedResponse response, Consumer<JsonNode> answered, Runnable failed) {
        JsonNode node;
        try {
            node = mapper.readTree(response.getBody().getText());
        } catch (JsonProcessingException e) {
            failed.run();
            return;
        }
        boolean typed = response.getStatusCode() == STATUS_OK || node.has("code");
        if (typed) {
            answered.accept(node);
        } else {
            failed.run();
        }
    }
}
