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
 * <p>The answer to a request names the target, the key, the customer and how often the request's id ran here, so that a
 * load tool can check it. {@code POST /standin/fault} sets faults; {@code POST /standin/leave} asks for no new work.
 */
public final class TargetServer {

    /**
     * How a stand-in target behaves.
     *
     * @param name the name that answers carry
     * @param fencing what it checks
     * @param slots how many requests it runs at once
     * @param serviceTime how long a request takes when warm
     * @param coldRequests how many requests after a start take five times as long
     */
    public record Behaviour(String name, Fencing fencing, int slots, Duration serviceTime, int coldRequests) {}

    private static final double COLD_FACTOR = 5;
    private static final int EXIT_CRASHED = 3;
    private static final int STATUS_DECLINED = 503;
    private static final int MAX_BODY_BYTES = 64 << 20;

    private final Behaviour behaviour;
    private final Clock clock;
    private final TargetModel model;
    private final ObjectMapper mapper = new ObjectMapper();
    private final Map<Long, Downstream<? super Optional<DeclineReason>>> waiting = new HashMap<>();
    private final Map<String, Integer> runsByIdempotencyKey = new HashMap<>();
    private final Set<InetSocketAddress> silenced = new HashSet<>();
    private final Set<InetSocketAddress> seen = new HashSet<>();
    private ScheduledExecutorService executor;
    private TargetFaults faults = TargetFaults.NONE;
    private long lastWork;
    private int served;

    private TargetServer(Behaviour behaviour, Clock clock) {
        this.behaviour = behaviour;
        this.clock = clock;
        this.model = TargetModel.started(
                behaviour.fencing(), behaviour.slots(), Long.toHexString(System.nanoTime()), clock.instant());
    }

    /** Starts a server. */
    public static RatpackServer start(InetSocketAddress address, Behaviour behaviour, Clock clock) throws Exception {
        TargetServer target = new TargetServer(behaviour, clock);
        return RatpackServer.start(server -> server.serverConfig(config -> config.address(address.getAddress())
                        .port(address.getPort())
                        .maxContentLength(MAX_BODY_BYTES)
                        .threads(1)
                        .development(false))
                .handlers(chain -> chain.post("standin/fault", target::fault)
                        .post("standin/leave", target::leave)
                        .get("standin/load", context -> context.render(Integer.toString(target.load())))
                        .post(TargetProtocol.GRANT_PATH, target::grant)
                        .all(target::request)));
    }

    private synchronized int load() {
        return model.load();
    }

    private void fault(Context context) {
        context.getRequest().getBody().then(body -> {
            setFaults(mapper.readValue(body.getText(), TargetFaults.class));
            context.render("ok");
        });
    }

    private synchronized void setFaults(TargetFaults changed) {
        faults = changed;
        silenced.clear();
        if (changed.silentConnections()) {
            silenced.addAll(seen);
        }
    }

    private synchronized void leave(Context context) {
        model.leave();
        context.render("ok");
    }

    private void grant(Context context) {
        context.getRequest().getBody().then(body -> {
            var request = mapper.readTree(body.getText());
            Optional<GrantReply> reply = granted(
                    request.path("fence").asLong(),
                    request.path("boot").asText(),
                    request.path("validUntilMillis").asLong());
            if (reply.isPresent() && reply.get() instanceof GrantReply.Answered held) {
                context.getResponse().send("application/json", mapper.writeValueAsString(held));
            } else {
                silence(context);
            }
        });
    }

    private synchronized Optional<GrantReply> granted(long fence, String boot, long until) {
        return faults.frozen() ? Optional.empty() : Optional.of(model.grant(fence, boot, until, clock.instant()));
    }

    private static void silence(Context context) {
        Promise.<Boolean>async(downstream -> context.getExecution()
                        .getController()
                        .getExecutor()
                        .schedule(() -> downstream.success(true), 1, TimeUnit.HOURS))
                .then(done -> context.render(""));
    }

    private void request(Context context) {
        executor = context.getExecution().getController().getExecutor();
        context.getRequest().getBody().then(body -> run(context, body.getBytes()));
    }

    private void run(Context context, byte[] body) {
        InetSocketAddress remote = new InetSocketAddress(
                context.getRequest().getRemoteAddress().getHost(),
                context.getRequest().getRemoteAddress().getPort());
        if (silent(remote)) {
            silence(context);
            return;
        }
        crashIfAsked(context.getRequest().getPath());
        Headers headers = context.getRequest().getHeaders();
        TargetModel.Work work = work(headers);
        Promise.<Optional<DeclineReason>>async(downstream -> arrive(work, downstream))
                .then(declined -> {
                    if (declined.isPresent()) {
                        decline(context, declined.get());
                    } else {
                        answer(context, work, body.length);
                    }
                });
    }

    private synchronized boolean silent(InetSocketAddress remote) {
        seen.add(remote);
        return faults.frozen() || silenced.contains(remote);
    }

    private synchronized void crashIfAsked(String path) {
        if (!faults.crashOnPath().isEmpty() && path.contains(faults.crashOnPath())) {
            Runtime.getRuntime().halt(EXIT_CRASHED);
        }
    }

    private synchronized TargetModel.Work work(Headers headers) {
        String fence = headers.get(TargetProtocol.FENCE_HEADER);
        String deadline = headers.get(TargetProtocol.DEADLINE_HEADER);
        Instant until = deadline == null ? Instant.MAX : Instant.ofEpochMilli(Long.parseLong(deadline));
        return new TargetModel.Work(
                ++lastWork, headers.get(TargetProtocol.KEY_HEADER), fence == null ? 0 : Long.parseLong(fence), until);
    }

    private synchronized void arrive(TargetModel.Work work, Downstream<? super Optional<DeclineReason>> downstream) {
        Optional<DeclineReason> declined =
                faults.shed() ? Optional.of(DeclineReason.SHED) : model.arrive(work, clock.instant());
        if (declined.isPresent()) {
            downstream.success(declined);
            return;
        }
        waiting.put(work.id(), downstream);
        startNext();
    }

    private synchronized void startNext() {
        Optional<TargetModel.Start> start = model.start(clock.instant());
        while (start.isPresent()) {
            TargetModel.Work work = start.get().work();
            if (start.get().refusal().isPresent()) {
                waiting.remove(work.id()).success(start.get().refusal());
            } else {
                executor.schedule(() -> finished(work), nextServiceNanos(), TimeUnit.NANOSECONDS);
            }
            start = model.start(clock.instant());
        }
    }

    private long nextServiceNanos() {
        double cold = served++ < behaviour.coldRequests() ? COLD_FACTOR : 1;
        return (long) (behaviour.serviceTime().toNanos() * cold * faults.slowFactor());
    }

    private synchronized void finished(TargetModel.Work work) {
        if (faults.frozen()) {
            executor.schedule(() -> finished(work), 50, TimeUnit.MILLISECONDS);
            return;
        }
        model.finish(work.id());
        boolean mayFinish = model.mayFinish(work, clock.instant());
        waiting.remove(work.id()).success(mayFinish ? Optional.empty() : Optional.of(DeclineReason.FENCED));
        startNext();
    }

    private static void decline(Context context, DeclineReason reason) {
        context.getResponse().getHeaders().set(TargetProtocol.NOT_RUN_HEADER, reason.name());
        context.getResponse().status(STATUS_DECLINED).send();
    }

    private void answer(Context context, TargetModel.Work work, int bodyBytes) throws Exception {
        Headers headers = context.getRequest().getHeaders();
        String idempotencyKey = headers.get(TargetProtocol.IDEMPOTENCY_HEADER);
        ObjectNode answer = mapper.createObjectNode()
                .put("target", behaviour.name())
                .put("key", work.key())
                .put("customer", headers.get(TargetProtocol.CUSTOMER_HEADER))
                .put("path", context.getRequest().getRawUri())
                .put("bytes", bodyBytes)
                .put("credentialSeen", headers.contains("Authorization"));
        if (idempotencyKey != null) {
            answer.put("runs", runs(idempotencyKey));
        }
        byte[] text = mapper.writeValueAsBytes(answer);
        if (cutAnswers()) {
            context.getResponse().getHeaders().set("Content-Length", Integer.toString(2 * text.length));
            context.getDirectChannelAccess()
                    .getChannel()
                    .eventLoop()
                    .schedule(
                            () -> context.getDirectChannelAccess().getChannel().close(), 5, TimeUnit.MILLISECONDS);
        }
        padded(context, text);
    }

    private static void padded(Context context, byte[] text) {
        String wanted = context.getRequest().getQueryParams().get("size");
        int size = wanted == null ? text.length : Math.clamp(Long.parseLong(wanted), text.length, MAX_BODY_BYTES);
        byte[] body = java.util.Arrays.copyOf(text, size);
        java.util.Arrays.fill(body, text.length, size, (byte) ' ');
        context.getResponse().send("application/json", body);
    }

    private synchronized boolean cutAnswers() {
        return faults.cutAnswers();
    }

    private synchronized int runs(String idempotencyKey) {
        return runsByIdempotencyKey.merge(idempotencyKey, 1, Integer::sum);
    }
}
