package org.dragonflymux.entry;

import io.vavr.control.Either;
import java.net.InetSocketAddress;
import java.net.URI;
import java.security.SecureRandom;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CountDownLatch;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.dragonflymux.core.document.HostRecord;
import org.dragonflymux.core.host.EntryHost;
import org.dragonflymux.core.message.Effect;
import org.dragonflymux.core.message.Event;
import org.dragonflymux.core.message.PeerMessage;
import org.dragonflymux.core.name.FailureDomain;
import org.dragonflymux.core.name.HostId;
import org.dragonflymux.entry.caller.CallerServer;
import org.dragonflymux.entry.target.TargetClient;
import org.dragonflymux.entry.telemetry.EntryMetrics;
import org.dragonflymux.entry.telemetry.ObservationLog;
import org.dragonflymux.runtime.http.RatpackExecutor;
import org.dragonflymux.runtime.peer.PeerListener;
import org.dragonflymux.runtime.peer.PeerNetwork;
import org.dragonflymux.runtime.peer.PeerProtocolError;
import org.dragonflymux.runtime.settings.Program;
import org.dragonflymux.runtime.settings.Setting;
import org.dragonflymux.runtime.settings.SettingType;
import org.dragonflymux.runtime.settings.Settings;
import org.dragonflymux.runtime.store.EtcdClient;
import org.dragonflymux.runtime.time.MonotonicClock;
import ratpack.server.RatpackServer;

/** The program {@code dragonfly-entry}: one entry host. */
public final class Entry {

    private static final Logger LOG = LogManager.getLogger(Entry.class);
    private static final int RUN_ID_BOUND = 1 << 30;
    private static final int NAME_SUFFIX_RADIX = 36;
    private static final long EXIT_DELAY_MILLIS = 500;

    static final Setting<String> NAME = Setting.required(
            "name",
            "the host's name; each run appends a suffix of its own",
            SettingType.of("at most 50 of a-z, 0-9, '-'", Entry::validHostName));
    static final Setting<FailureDomain> DOMAIN = Setting.required(
            "domain", "the host's failure domain", SettingType.of("a name of a-z, 0-9, '-'", FailureDomain::of));
    static final Setting<InetSocketAddress> LISTEN =
            Setting.required("listen", "where to listen for callers", SettingType.ADDRESS);
    static final Setting<InetSocketAddress> PEER =
            Setting.required("peer", "where to listen for other entry hosts", SettingType.ADDRESS);
    static final Setting<InetSocketAddress> ADMIN =
            Setting.required("admin", "where to listen for the load balancer and operators", SettingType.ADDRESS);
    static final Setting<URI> STORE = Setting.required("store", "the platform's store", SettingType.HTTP_URI);
    static final Setting<List<InetSocketAddress>> SEEDS = Setting.optional(
            "seeds",
            "",
            "peer addresses of other entry hosts, for starting while the store is unavailable",
            SettingType.ADDRESSES);
    static final Setting<String> SECRET = Setting.required(
            "secret",
            "the secret shared by all entry hosts; safer set by the variable than by the flag",
            SettingType.TEXT);
    static final Setting<Integer> THREADS =
            Setting.optional("threads", "2", "event-loop threads for callers and targets", SettingType.number(1, 64));
    static final Setting<Integer> MAX_BODY_BYTES = Setting.optional(
            "max-body-bytes",
            "1048576",
            "the maximum size of a request body, in bytes",
            SettingType.number(0, 64 << 20));

    static final Program PROGRAM = new Program(
            "dragonfly-entry",
            "Receives requests from callers and routes each to the target that owns its key.",
            List.of(NAME, DOMAIN, LISTEN, PEER, ADMIN, STORE, SEEDS, SECRET, THREADS, MAX_BODY_BYTES));

    private final HostLoop loop;
    private final CallerServer callers;
    private final EtcdClient store;
    private final ObservationLog log;
    private final RatpackExecutor executor;
    private final CountDownLatch drained = new CountDownLatch(1);
    private volatile boolean exiting;
    private PeerNetwork peers;
    private TargetClient targets;

    private Entry(HostLoop loop, CallerServer callers, EtcdClient store, ObservationLog log, RatpackExecutor executor) {
        this.loop = loop;
        this.callers = callers;
        this.store = store;
        this.log = log;
        this.executor = executor;
    }

    private static String validHostName(String text) {
        if (text.length() > 50) {
            throw new IllegalHostNameException(text);
        }
        return HostId.of(text).value();
    }

    public static void main(String[] arguments) throws Exception {
        Either<Integer, Settings> settings = PROGRAM.settingsOrExitCode(arguments, System.getenv());
        if (settings.isLeft()) {
            System.exit(settings.getLeft());
        }
        run(settings.get());
    }

    private static void run(Settings settings) throws Exception {
        SecureRandom random = new SecureRandom();
        String nameSuffix = Integer.toString(random.nextInt(RUN_ID_BOUND), NAME_SUFFIX_RADIX);
        HostRecord record = new HostRecord(
                HostId.of(settings.value(NAME) + "." + nameSuffix),
                settings.value(DOMAIN),
                PeerNetwork.format(settings.value(PEER)),
                random.nextInt(RUN_ID_BOUND),
                false);
        List<String> seeds =
                settings.value(SEEDS).stream().map(PeerNetwork::format).toList();
        EntryHost host = EntryHost.start(record, seeds, new Random(random.nextLong()));
        HostLoop loop = HostLoop.of(host, MonotonicClock.start());
        EntryMetrics metrics = EntryMetrics.create();
        CallerServer callers = CallerServer.of(loop, metrics);
        RatpackExecutor executor = RatpackExecutor.withThreads(1);
        Entry entry = new Entry(
                loop, callers, EtcdClient.of(settings.value(STORE), executor), ObservationLog.of(metrics), executor);
        entry.start(settings, metrics);
        LOG.info("started entry host {} in failure domain {}", record.host(), record.domain());
    }

    private void start(Settings settings, EntryMetrics metrics) throws Exception {
        peers = PeerNetwork.listen(settings.value(PEER), settings.value(SECRET), new PeerEvents());
        targets = TargetClient.of(RatpackExecutor.withThreads(settings.value(THREADS)), loop::submit);
        loop.start(this::perform);
        callers.listen(settings.value(LISTEN), settings.value(THREADS), settings.value(MAX_BODY_BYTES));
        RatpackServer admin = AdminServer.start(settings.value(ADMIN), loop, metrics);
        LOG.debug("admin server listens on port {}", admin.getBindPort());
        Runtime.getRuntime().addShutdownHook(new Thread(this::drainAndWait, "shutdown"));
    }

    private void perform(Effect effect) {
        switch (effect) {
            case Effect.AnswerCaller answer -> callers.answer(answer);
            case Effect.SendPeer send -> peers.send(send.address(), send.message());
            case Effect.CallStore call ->
                store.call(call.body(), reply -> loop.submit(new Event.StoreReplied(call.call(), reply)));
            case Effect.CallTarget call -> targets.call(call);
            case Effect.SendGrant grant -> targets.grant(grant);
            case Effect.Note note -> log.recordObservation(note.observation());
            case Effect.Exit _ -> handleExit();
        }
    }

    // On a termination signal, drains the host. The process ends once no caller waits for a response and the host has
    // handed over its lanes.
    private void drainAndWait() {
        if (exiting) {
            return;
        }
        loop.submit(new Event.ShutdownRequested());
        try {
            drained.await();
            Thread.sleep(EXIT_DELAY_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void handleExit() {
        exiting = true;
        drained.countDown();
        LOG.info("drained");
        new Thread(this::exitAfterDelay, "exit").start();
    }

    private void exitAfterDelay() {
        try {
            Thread.sleep(EXIT_DELAY_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        peers.close();
        executor.close();
        System.exit(0);
    }

    /** Submits the events of peer links to the host loop. */
    private final class PeerEvents implements PeerListener {

        @Override
        public void messageReceived(String fromAddress, PeerMessage message) {
            loop.submit(new Event.PeerArrived(fromAddress, message));
        }

        @Override
        public void forwardFailed(long request, boolean mayHaveArrived) {
            loop.submit(new Event.ForwardFailed(request, mayHaveArrived));
        }

        @Override
        public void linkClosed(String address, PeerProtocolError reason) {
            LOG.info("closed the link to {}: {}", address, reason);
        }
    }
}
