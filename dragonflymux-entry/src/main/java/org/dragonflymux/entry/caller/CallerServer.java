package org.dragonflymux.entry.caller;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import org.dragonflymux.core.message.CallerRequest;
import org.dragonflymux.core.message.Effect;
import org.dragonflymux.core.message.Event;
import org.dragonflymux.core.message.Outcome;
import org.dragonflymux.core.message.RefusalReason;
import org.dragonflymux.core.name.CustomerName;
import org.dragonflymux.entry.HostLoop;
import org.dragonflymux.entry.telemetry.EntryMetrics;
import ratpack.error.ServerErrorHandler;
import ratpack.exec.Downstream;
import ratpack.exec.Promise;
import ratpack.handling.Context;
import ratpack.http.RequestBodyTooLargeException;
import ratpack.server.RatpackServer;

/** Serves callers over HTTP. */
public final class CallerServer {

    private static final int MAX_HEADER_BYTES = 16 << 10;
    private static final int MAX_PENDING_REQUESTS = 10_000;
    private static final int STATUS_TOO_LARGE = 413;
    private static final int STATUS_ERROR = 500;

    private final HostLoop loop;
    private final EntryMetrics metrics;
    private final Map<Long, Downstream<? super Effect.AnswerCaller>> pendingRequests = new ConcurrentHashMap<>();
    private final AtomicLong lastRequestId = new AtomicLong();

    private CallerServer(HostLoop loop, EntryMetrics metrics) {
        this.loop = loop;
        this.metrics = metrics;
    }

    /** Returns a server that is not listening yet. */
    public static CallerServer of(HostLoop loop, EntryMetrics metrics) {
        return new CallerServer(loop, metrics);
    }

    /**
     * Starts listening.
     *
     * @param threads the number of event-loop threads
     * @param maxBodyBytes the size above which a request body is rejected, in bytes
     */
    public RatpackServer listen(InetSocketAddress address, int threads, int maxBodyBytes) throws Exception {
        return RatpackServer.start(server -> server.serverConfig(config -> config.address(address.getAddress())
                        .port(address.getPort())
                        .threads(threads)
                        .maxContentLength(maxBodyBytes)
                        .maxHeaderSize(MAX_HEADER_BYTES)
                        .registerShutdownHook(false)
                        .development(false))
                .registryOf(registry -> registry.add(ServerErrorHandler.class, CallerServer::handleError))
                .handlers(chain -> chain.all(this::handle)));
    }

    private static void handleError(Context context, Throwable error) {
        boolean tooLarge = error instanceof RequestBodyTooLargeException;
        context.getResponse().status(tooLarge ? STATUS_TOO_LARGE : STATUS_ERROR).send();
    }

    private void handle(Context context) {
        Optional<CallerPath> path = CallerPath.parse(context.getRequest().getRawUri());
        if (path.isEmpty()) {
            OutcomeWriter.write(context.getResponse(), Outcome.Refused.of(RefusalReason.MALFORMED_KEY));
        } else if (pendingRequests.size() >= MAX_PENDING_REQUESTS) {
            OutcomeWriter.write(context.getResponse(), Outcome.Refused.of(RefusalReason.QUEUE_FULL));
        } else {
            context.getRequest().getBody().then(body -> {
                Instant arrivedAt = loop.clock().instant();
                CallerRequest request =
                        RequestReader.read(context.getRequest(), path.get(), body.getBytes(), arrivedAt);
                submit(context, request, arrivedAt);
            });
        }
    }

    private void submit(Context context, CallerRequest request, Instant arrivedAt) {
        long id = lastRequestId.incrementAndGet();
        Promise.<Effect.AnswerCaller>async(downstream -> {
                    pendingRequests.put(id, downstream);
                    loop.submit(new Event.CallerArrived(id, request));
                })
                .then(answer -> {
                    metrics.recordAnswer(
                            request.service(),
                            Optional.ofNullable(answer.customer()).map(CustomerName::value),
                            answer.outcome(),
                            Duration.between(arrivedAt, loop.clock().instant()));
                    OutcomeWriter.write(context.getResponse(), answer.outcome());
                });
    }

    /** Sends the response to a caller. */
    public void answer(Effect.AnswerCaller answer) {
        Downstream<? super Effect.AnswerCaller> downstream = pendingRequests.remove(answer.request());
        if (downstream != null) {
            downstream.success(answer);
        }
    }
}
