package org.dragonflymux.gateway;

import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import java.net.InetSocketAddress;
import java.nio.channels.spi.SelectorProvider;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.apache.commons.rng.simple.RandomSource;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.dragonflymux.core.desired.DesiredState;
import org.dragonflymux.core.desired.RequestLimits;
import org.dragonflymux.core.gateway.Gateway;
import org.dragonflymux.core.membership.FleetMember;
import org.dragonflymux.core.membership.MembershipStateMachine;
import org.dragonflymux.core.membership.UpdateSourceSelector;
import org.dragonflymux.core.name.HostId;
import org.dragonflymux.core.name.ServiceName;
import org.dragonflymux.core.quota.LenderPartition;
import org.dragonflymux.core.shard.ShardTable;
import org.dragonflymux.gateway.caller.CallerServer;
import org.dragonflymux.gateway.clock.HostClock;
import org.dragonflymux.gateway.control.ControlLoop;
import org.dragonflymux.gateway.control.GrantClient;
import org.dragonflymux.gateway.http.ConnectionPool;
import org.dragonflymux.gateway.http.PollTracker;
import org.dragonflymux.gateway.http.ProvenConnections;
import org.dragonflymux.gateway.http.ResponseLimits;
import org.dragonflymux.gateway.store.CountingStoreClient;
import org.dragonflymux.gateway.store.RecordDecoder;
import org.dragonflymux.gateway.store.StoreClient;
import org.dragonflymux.gateway.store.StoreMirror;

/** A gateway process: its sockets and timers, which all run on one event loop. */
public final class GatewayProcess {

    private static final Logger LOG = LogManager.getLogger(GatewayProcess.class);
    private static final int MAX_RESPONSE_BYTES = 16 << 20;
    /** Responses to grants have no content. */
    private static final ResponseLimits GRANT_RESPONSE_LIMITS = new ResponseLimits(16 << 10, 1 << 20);

    private static final long TICK_MILLIS = 30;
    private static final long CONTROL_TICK_MILLIS = 50;
    /** Intervals while there is no work; each wake-up of an idle host costs processor time. */
    private static final long IDLE_TICK_MILLIS = 100;

    private static final long IDLE_CONTROL_TICK_MILLIS = 100;
    private static final long RELAY_INTERVAL_MILLIS = 300;
    private static final long RATE_LOG_INTERVAL_MILLIS = 1_000;
    private static final long COUNTS_LOG_INTERVAL_MILLIS = 10_000;
    private static final long WATCH_WAIT_MILLIS = 500;
    private static final long LISTEN_WHILE_STOPPING_MILLIS = 3_000;
    /** How long before the end of a shutdown the requests that are still open get their final answers. */
    private static final long FINAL_ANSWERS_MILLIS = 300;

    private static final long UNUSED_MILLIS_BEFORE_CLOSE = 300;
    private static final int RELAY_PORT_OFFSET = 1;
    private static final int WARM_UP_GATEWAY_PORT_OFFSET = 2;
    private static final int WARM_UP_TARGET_PORT_OFFSET = 3;
    private static final RequestLimits LIMITS_WITHOUT_DESIRED_STATE = new RequestLimits(16_384, 1 << 20, 5_000, 15_000);

    private final HostClock clock = HostClock.system();
    private final GatewayOptions options;
    private final EventLoop loop;
    private final CountingStoreClient store;
    private final Gateway gateway;
    private final RequestPath requests;
    private final CallerServer callers;
    private final ControlLoop control;
    private final ConnectionPool pool;
    private final ProvenConnections provenConnections;
    private final StoreUpdates storeUpdates;
    private final UpdateSourceSelector updateSourceSelector;
    private final CountDownLatch stopped = new CountDownLatch(1);
    private final PollTracker pollTracker;
    private final HeaderNames names;
    private PeerExchange peers;
    private StoreMirror mirror;
    private volatile boolean listening;
    private boolean stopping;

    /** Creates the client for grants to targets. */
    @FunctionalInterface
    public interface GrantClientFactory {

        /**
         * Returns a client.
         *
         * @param pool the connections that calls share with requests
         * @param provenConnections the connections for grants only
         * @param names the header names
         */
        GrantClient create(ConnectionPool pool, ProvenConnections provenConnections, HeaderNames names);
    }

    private GatewayProcess(
            GatewayOptions options,
            EventLoop loop,
            PollTracker pollTracker,
            HeaderNames names,
            RecordDecoder decoder,
            Function<EventLoop, StoreClient> stores,
            GrantClientFactory grants) {
        this.options = options;
        this.loop = loop;
        this.pollTracker = pollTracker;
        this.names = names;
        this.store = CountingStoreClient.of(stores.apply(loop));
        var random = RandomSource.XO_RO_SHI_RO_128_PP.create();
        this.gateway = Gateway.of(options.gateway(), random::nextLong, options.monotonicStart());
        this.updateSourceSelector = UpdateSourceSelector.of(options.self());
        this.pool = ConnectionPool.on(loop, ResponseLimits.ofHeap(MAX_RESPONSE_BYTES), pollTracker);
        this.provenConnections = ProvenConnections.on(loop, GRANT_RESPONSE_LIMITS, pollTracker);
        this.requests = new RequestPath(
                gateway, pool, names, clock, options.callerLimits().targetBodyBytes(), this::limits);
        this.callers =
                CallerServer.on(loop, requests, this::limits, this::requestTime, pollTracker, options.callerLimits());
        this.control = ControlLoop.of(
                store,
                grants.create(pool, provenConnections, names),
                MembershipStateMachine.of(options.self(), options.grants().renewalGraceMillis()),
                options.grants(),
                gateway.directory(),
                clock.leaseClock(),
                clock.holdClock(),
                new ControlListener());
        this.storeUpdates = StoreUpdates.of(loop, decoder, gateway, control, updateSourceSelector, clock);
    }

    /**
     * Starts a gateway.
     *
     * @param names the header names
     * @param decoder decodes the records that others keep in the store
     * @param stores creates the store client for an event loop
     * @param grants creates the client for grants to targets
     */
    public static GatewayProcess start(
            GatewayOptions options,
            HeaderNames names,
            RecordDecoder decoder,
            Function<EventLoop, StoreClient> stores,
            GrantClientFactory grants) {
        PollTracker pollTracker = PollTracker.of(() -> TimeUnit.NANOSECONDS.toMillis(System.nanoTime()));
        NioEventLoopGroup loops = new NioEventLoopGroup(1, (Executor) null, SelectorProvider.provider(), pollTracker);
        // Each iteration runs all due tasks without a time limit, so that callers' disconnects do not queue behind
        // later work.
        loops.setIoRatio(100);
        EventLoop loop = loops.next();
        GatewayProcess process = new GatewayProcess(options, loop, pollTracker, names, decoder, stores, grants);
        process.listen();
        return process;
    }

    /** Returns the time used for leases and updates from the store, which includes suspensions of the machine. */
    private long now() {
        return clock.leaseClock().nowMillis();
    }

    /** Returns the time used for requests, which excludes suspensions of the machine. */
    private long requestTime() {
        return clock.monotonicMillis();
    }

    private RequestLimits limits() {
        return gateway.desired().map(DesiredState::limits).orElse(LIMITS_WITHOUT_DESIRED_STATE);
    }

    private void listen() {
        peers = PeerExchange.start(loop, options.peers(), gateway, requests, control, this::requestTime);
        ReadinessServer.listen(loop, options.readiness(), () -> listening && !stopping && gateway.ready(requestTime()));
        mirror = StoreMirror.start(
                loop,
                store,
                storeUpdates.prefix(),
                WATCH_WAIT_MILLIS,
                clock.leaseClock(),
                clock.holdClock(),
                relayAddress(options.peers()),
                storeUpdates);
        AdaptiveTimer requestTimer = AdaptiveTimer.start(
                loop,
                gateway::hasWaitingRequests,
                TICK_MILLIS,
                IDLE_TICK_MILLIS,
                interval -> guarded(() -> requests.tick(interval)));
        requests.onArrival(requestTimer::wake);
        AdaptiveTimer.start(
                loop, control::busy, CONTROL_TICK_MILLIS, IDLE_CONTROL_TICK_MILLIS, _ -> guarded(this::controlTick));
        every(RELAY_INTERVAL_MILLIS, this::keepRelayAlive);
        ActivityLog activityLog = ActivityLog.of(gateway, requests, store);
        every(RATE_LOG_INTERVAL_MILLIS, activityLog::logLending);
        every(COUNTS_LOG_INTERVAL_MILLIS, activityLog::logCounts);
        every(COUNTS_LOG_INTERVAL_MILLIS, callers::logCounts);
        every(TimeUnit.SECONDS.toMillis(1), pool::closeIdle);
        every(TimeUnit.SECONDS.toMillis(1), provenConnections::closeIdle);
        if (options.firstStart()) {
            warmUp();
        }
        callers.listen(options.callers());
        listening = true;
        LOG.info(
                "event=started host={} incarnation={} bootTime={}",
                options.self().host(),
                options.self().incarnation(),
                clock.exact());
    }

    private void warmUp() {
        WarmUp.run(
                loop,
                pollTracker,
                names,
                options.self(),
                internalAddress(options.peers(), WARM_UP_GATEWAY_PORT_OFFSET),
                internalAddress(options.peers(), WARM_UP_TARGET_PORT_OFFSET),
                clock);
    }

    private void every(long millis, Runnable action) {
        loop.scheduleWithFixedDelay(() -> guarded(action), millis, millis, TimeUnit.MILLISECONDS);
    }

    /** Runs the action of a timer; an unexpected failure must not end the timer. */
    static void guarded(Runnable action) {
        try {
            action.run();
        } catch (RuntimeException failure) {
            LOG.error("event=timer_failed", failure);
        }
    }

    private void controlTick() {
        storeUpdates.dropExpiredEntries();
        control.collectsReports(gateway.collector().isEmpty());
        control.tick();
        applyUpdateSource();
    }

    /** Returns the address on which a host relays updates of the store: the port after the one for reports. */
    private static InetSocketAddress relayAddress(InetSocketAddress reports) {
        return internalAddress(reports, RELAY_PORT_OFFSET);
    }

    private static InetSocketAddress internalAddress(InetSocketAddress reports, int portOffset) {
        return new InetSocketAddress(reports.getAddress(), reports.getPort() + portOffset);
    }

    private void applyUpdateSource() {
        updateSourceSelector.collectorChanged(gateway.collector(), now());
        boolean watchStore = updateSourceSelector.mustWatchStore(now());
        mirror.setUpdateSources(
                watchStore,
                updateSourceSelector
                        .source(now())
                        .map(source -> relayAddress(SocketAddresses.parse(source.peerAddress()))));
    }

    /** Confirms to subscribers that there are no newer changes, or tells the source of updates the time of this host. */
    private void keepRelayAlive() {
        if (control.leading()) {
            mirror.sendHeartbeat();
        } else {
            mirror.sendEchoTimestamp();
        }
    }

    /** Passes updates from the control loop to the gateway. */
    private final class ControlListener implements ControlLoop.Listener {

        @Override
        public void tableChanged(ServiceName service, ShardTable table) {
            if (control.leading()) {
                LOG.info(
                        "event=table service={} assignments={} lastFence={}",
                        service,
                        table.assignments().size(),
                        table.lastFence());
            }
            requests.run(gateway.replaceTable(service, table, requestTime()));
        }

        @Override
        public void hostsChanged(Map<HostId, FleetMember> members) {
            gateway.replaceMembers(members.values(), requestTime());
            Map<HostId, InetSocketAddress> others = new HashMap<>();
            for (FleetMember member : members.values()) {
                if (!member.host().equals(options.self().host())) {
                    others.put(member.host(), SocketAddresses.parse(member.peerAddress()));
                }
            }
            peers.replaceAddresses(others);
        }

        @Override
        public void lenderPartitionsChanged(Collection<LenderPartition> partitions) {
            gateway.replacePartitions(partitions, requestTime());
        }

        @Override
        public void leaseUpdated(long lease, long until) {
            gateway.updateLease(lease, until, requestTime());
        }
    }

    /** Shuts down after all open requests were answered. Returns when that is done or the stop timeout has passed. */
    public void stop() {
        loop.execute(this::beginStop);
        try {
            if (!stopped.await(options.stopTimeoutMillis(), TimeUnit.MILLISECONDS)) {
                LOG.warn("event=stop_incomplete open={}", requests.openRequests());
            }
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    private void beginStop() {
        LOG.info("event=stopping open={}", requests.openRequests());
        stopping = true;
        long startedAt = requestTime();
        long margin = Math.min(FINAL_ANSWERS_MILLIS, options.stopTimeoutMillis() / 4);
        long endsAt = startedAt + options.stopTimeoutMillis() - margin;
        gateway.stopping(endsAt);
        control.stop();
        callers.drain();
        long listenUntil = Math.min(startedAt + LISTEN_WHILE_STOPPING_MILLIS, endsAt);
        every(TICK_MILLIS, () -> continueStop(listenUntil, endsAt));
    }

    private void continueStop(long listenUntil, long endsAt) {
        if (requestTime() < listenUntil) {
            return;
        }
        callers.stopListening();
        callers.closeUnused(UNUSED_MILLIS_BEFORE_CLOSE);
        if (requestTime() >= endsAt) {
            requests.endRequests();
        }
        if (requests.openRequests() == 0 && callers.connections() == 0) {
            stopped.countDown();
        }
    }
}
