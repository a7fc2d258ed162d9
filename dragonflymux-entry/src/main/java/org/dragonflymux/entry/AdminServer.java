package org.dragonflymux.entry;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.InetSocketAddress;
import java.time.Instant;
import org.dragonflymux.core.document.ServiceDocument;
import org.dragonflymux.core.host.EntryHost;
import org.dragonflymux.core.message.Event;
import org.dragonflymux.entry.telemetry.EntryMetrics;
import ratpack.exec.Blocking;
import ratpack.handling.Context;
import ratpack.server.RatpackServer;

/** Serves health, readiness, drain, state and metrics to the platform's load balancer and to operators. */
final class AdminServer {

    private static final int STATUS_UNAVAILABLE = 503;
    private static final String METRICS_TYPE = "text/plain; version=0.0.4; charset=utf-8";

    private final HostLoop loop;
    private final ObjectMapper mapper = new ObjectMapper();

    private AdminServer(HostLoop loop) {
        this.loop = loop;
    }

    static RatpackServer start(InetSocketAddress address, HostLoop loop, EntryMetrics metrics) throws Exception {
        AdminServer admin = new AdminServer(loop);
        return RatpackServer.start(server -> server.serverConfig(config -> config.address(address.getAddress())
                        .port(address.getPort())
                        .threads(1)
                        .registerShutdownHook(false)
                        .development(false))
                .handlers(chain -> chain.get("health", context -> context.render("ok"))
                        .get("ready", admin::ready)
                        .get("state", admin::state)
                        .get("metrics", context -> context.getResponse().send(METRICS_TYPE, metrics.text()))
                        .post("drain", admin::drain)));
    }

    private void ready(Context context) {
        Blocking.get(() -> loop.ask(() -> loop.host().ready(loop.clock().instant())))
                .then(ready -> {
                    context.getResponse().status(ready ? 200 : STATUS_UNAVAILABLE);
                    context.render(ready ? "ready" : "not ready");
                });
    }

    private void drain(Context context) {
        loop.submit(new Event.ShutdownRequested());
        context.render("draining");
    }

    private void state(Context context) {
        Blocking.get(() -> loop.ask(this::hostState))
                .then(state -> context.getResponse().send("application/json", state.toString()));
    }

    private ObjectNode hostState() {
        EntryHost host = loop.host();
        Instant now = loop.clock().instant();
        ObjectNode state = mapper.createObjectNode()
                .put("revision", host.replica().revision())
                .put("stale-millis", host.replica().staleness(now).toMillis())
                .put("ready", host.ready(now));
        ObjectNode load = state.putObject("load");
        host.load().forEach(load::put);
        ObjectNode authority = state.putObject("authority-millis");
        for (ServiceDocument service : host.replica().all(ServiceDocument.class)) {
            Instant until = host.authorityUntil(service.name());
            long millis = until.isAfter(now) ? until.toEpochMilli() - now.toEpochMilli() : 0;
            authority.put(service.name().value(), millis);
        }
        return state;
    }
}
