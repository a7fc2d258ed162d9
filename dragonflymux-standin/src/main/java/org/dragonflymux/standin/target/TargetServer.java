package org.dragonflymux.standin.target;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.InetSocketAddress;
import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.dragonflymux.core.document.Fencing;
import org.dragonflymux.core.message.GrantReply;
import org.dragonflymux.core.message.TargetResult.DeclineReason;
import org.dragonflymux.runtime.http.TargetProtocol;
import ratpack.exec.Downstream;
import ratpack.exec.Promise;
import ratpack.handling.Context;
import ratpack.http.Headers;
import ratpack.server.RatpackServer;

/**
 * Serves a {@link TargetModel} over HTTP.
 *
 * <p>The response to a request contains the target's name, the key, the customer and how often the request's
 * idempotency key ran on this target, so that a load generator can verify it. {@code POST /standin/fault} sets
 * {@link TargetFaults}, {@code POST /standin/leave} makes the target ask not to be sent new requests, and
 * {@code GET /standin/load} returns the number of queued and running requests.
 */
public final class TargetServer {

    /**
     * The configuration of a stand-in target.
     *
     * @param name the target's name in its responses
     * @param fencing what the target checks before it runs a request
     * @param slots the maximum number of requests that run concurrently
     * @param serviceTime how long a request takes on a warmed-up target
     * @param coldRequests the number of requests after a start that take five times as long
     */
    public record Behaviour(String name, Fencing fencing, int slots, Duration serviceTime, int coldRequests) {}

    private static final double COLD_SLOWDOWN_FACTOR = 5;
    private static final int EXIT_CRASHED = 3;
    private static final int STATUS_DECLINED = 503;
    private static final int MAX_BODY_BYTES = 64 << 20;

    private final Behaviour behaviour;
    private final Clock clock;
    private final TargetModel model;
    private final ObjectMapper mapper = new ObjectMapper();
    private final Map<Long, Downstream<? super Optional<DeclineReason>>> pending = new HashMap<>();
    private final Map<String, Integer> runsByIdempotencyKey = new HashMap<>();
    private final Set<InetSocketAddress> silentRemotes = new HashSet<>();
    private final Set<InetSocketAddress> knownRemotes = new HashSet<>();
    private ScheduledExecutorService executor;
    private TargetFaults faults = TargetFaults.NONE;
    private long lastRequestId;
    private int startedRequests;

    private TargetServer(Behaviour behaviour, Clock clock) {
        this.behaviour = behaviour;
        this.clock = clock;
        this.model = TargetModel.started(
                behaviour.fencing(), behaviour.slots(), Long.toHexString(System.nanoTime()), clock.instant());
    }

    /** Starts a server for a target that was just started. */
    public static RatpackServer start(InetSocketAddress address, Behaviour behaviour, Clock clock) throws Exception {
        TargetServer target = new TargetServer(behaviour, clock);
        return RatpackServer.start(server -> server.serverConfig(config -> config.address(address.getAddress())
                        .port(address.getPort())
                        .maxContentLength(MAX_BODY_BYTES)
                        .threads(1)
                        .development(false))
                .handlers(chain -> chain.post("standin/fault", target::handleFaults)
                        .post("standin/leave", target::handleLeave)
                        .get("standin/load", context -> context.render(Integer.toString(target.load())))
                        .post(TargetProtocol.GRANT_PATH, target::handleGrant)
                        .all(target::handleRequest)));
    }

    private synchronized int load() {
        return model.load();
    }

    private void handleFaults(Context context) {
        context.getRequest().getBody().then(body -> {
            setFaults(mapper.readValue(body.getText(), TargetFaults.class));
            context.render("ok");
        });
    }

    private synchronized void setFaults(TargetFaults newFaults) {
        faults = newFaults;
        silentRemotes.clear();
        if (newFaults.silentConnections()) {
            silentRemotes.addAll(knownRemotes);
        }
    }

    private synchronized void handleLeave(Context context) {
        model.leave();
        context.render("ok");
    }

    private void handleGrant(Context context) {
        context.getRequest().getBody().then(body -> {
            var grant = mapper.readTree(body.getText());
            Optional<GrantReply> reply = applyGrant(
                    grant.path("fence").asLong(),
                    grant.path("boot").asText(),
                    grant.path("validUntilMillis").asLong());
            if (reply.isPresent() && reply.get() instanceof GrantReply.Answered answered) {
                context.getResponse().send("application/json", mapper.writeValueAsString(answered));
            } else {
                leaveUnanswered(context);
            }
        });
    }

    private synchronized Optional<GrantReply> applyGrant(long fence, String boot, long until) {
        return faults.frozen() ? Optional.empty() : Optional.of(model.grant(fence, boot, until, clock.instant()));
    }

    private static void leaveUnanswered(Context context) {
        Promise.<Boolean>async(downstream -> context.getExecution()
                        .getController()
                        .getExecutor()
                        .schedule(() -> downstream.success(true), 1, TimeUnit.HOURS))
                .then(done -> context.render(""));
    }

    private void handleRequest(Context context) {
        executor = context.getExecution().getController().getExecutor();
        context.getRequest().getBody().then(body -> run(context, body.getBytes()));
    }

    private void run(Context context, byte[] body) {
        InetSocketAddress remote = new InetSocketAddress(
                context.getRequest().getRemoteAddress().getHost(),
                context.getRequest().getRemoteAddress().getPort());
        if (ignores(remote)) {
            leaveUnanswered(context);
            return;
        }
        crashIfConfigured(context.getRequest().getPath());
        Headers headers = context.getRequest().getHeaders();
        TargetModel.TargetRequest request = parseRequest(headers);
        Promise.<Optional<DeclineReason>>async(downstream -> submit(request, downstream))
                .then(declined -> {
                    if (declined.isPresent()) {
                        decline(context, declined.get());
                    } else {
                        respond(context, request, body.length);
                    }
                });
    }

    private synchronized boolean ignores(InetSocketAddress remote) {
        knownRemotes.add(remote);
        return faults.frozen() || silentRemotes.contains(remote);
    }

    private synchronized void crashIfConfigured(String path) {
        if (!faults.crashOnPath().isEmpty() && path.contains(faults.crashOnPath())) {
            Runtime.getRuntime().halt(EXIT_CRASHED);
        }
    }

    private synchronized TargetModel.TargetRequest parseRequest(Headers headers) {
        String fence = headers.get(TargetProtocol.FENCE_HEADER);
        String deadline = headers.get(TargetProtocol.DEADLINE_HEADER);
        Instant until = deadline == null ? Instant.MAX : Instant.ofEpochMilli(Long.parseLong(deadline));
        return new TargetModel.TargetRequest(
                ++lastRequestId,
                headers.get(TargetProtocol.KEY_HEADER),
                fence == null ? 0 : Long.parseLong(fence),
                until);
    }

    private synchronized void submit(
            TargetModel.TargetRequest request, Downstream<? super Optional<DeclineReason>> downstream) {
        Optional<DeclineReason> declined =
                faults.shed() ? Optional.of(DeclineReason.SHED) : model.submit(request, clock.instant());
        if (declined.isPresent()) {
            downstream.success(declined);
            return;
        }
        pending.put(request.id(), downstream);
        startNext();
    }

    private synchronized void startNext() {
        Optional<TargetModel.DequeuedRequest> next = model.startNext(clock.instant());
        while (next.isPresent()) {
            TargetModel.TargetRequest request = next.get().request();
            if (next.get().declineReason().isPresent()) {
                pending.remove(request.id()).success(next.get().declineReason());
            } else {
                executor.schedule(() -> finish(request), nextServiceTimeNanos(), TimeUnit.NANOSECONDS);
            }
            next = model.startNext(clock.instant());
        }
    }

    private long nextServiceTimeNanos() {
        double cold = startedRequests++ < behaviour.coldRequests() ? COLD_SLOWDOWN_FACTOR : 1;
        return (long) (behaviour.serviceTime().toNanos() * cold * faults.slowFactor());
    }

    private synchronized void finish(TargetModel.TargetRequest request) {
        if (faults.frozen()) {
            executor.schedule(() -> finish(request), 50, TimeUnit.MILLISECONDS);
            return;
        }
        model.finish(request.id());
        boolean mayTakeEffect = model.mayTakeEffect(request, clock.instant());
        pending.remove(request.id()).success(mayTakeEffect ? Optional.empty() : Optional.of(DeclineReason.FENCED));
        startNext();
    }

    private static void decline(Context context, DeclineReason reason) {
        context.getResponse().getHeaders().set(TargetProtocol.NOT_RUN_HEADER, reason.name());
        context.getResponse().status(STATUS_DECLINED).send();
    }

    private void respond(Context context, TargetModel.TargetRequest request, int bodyBytes) throws Exception {
        Headers headers = context.getRequest().getHeaders();
        String idempotencyKey = headers.get(TargetProtocol.IDEMPOTENCY_HEADER);
        ObjectNode response = mapper.createObjectNode()
                .put("target", behaviour.name())
                .put("key", request.key())
                .put("customer", headers.get(TargetProtocol.CUSTOMER_HEADER))
                .put("path", context.getRequest().getRawUri())
                .put("bytes", bodyBytes)
                .put("credentialSeen", headers.contains("Authorization"));
        if (idempotencyKey != null) {
            response.put("runs", countRun(idempotencyKey));
        }
        byte[] json = mapper.writeValueAsBytes(response);
        if (cutsAnswers()) {
            context.getResponse().getHeaders().set("Content-Length", Integer.toString(2 * json.length));
            context.getDirectChannelAccess()
                    .getChannel()
                    .eventLoop()
                    .schedule(
                            () -> context.getDirectChannelAccess().getChannel().close(), 5, TimeUnit.MILLISECONDS);
        }
        sendPadded(context, json);
    }

    private static void sendPadded(Context context, byte[] json) {
        String requestedSize = context.getRequest().getQueryParams().get("size");
        int size = requestedSize == null
                ? json.length
                : Math.clamp(Long.parseLong(requestedSize), json.length, MAX_BODY_BYTES);
        byte[] body = java.util.Arrays.copyOf(json, size);
        java.util.Arrays.fill(body, json.length, size, (byte) ' ');
        context.getResponse().send("application/json", body);
    }

    private synchronized boolean cutsAnswers() {
        return faults.cutAnswers();
    }

    private synchronized int countRun(String idempotencyKey) {
        return runsByIdempotencyKey.merge(idempotencyKey, 1, Integer::sum);
    }
}
