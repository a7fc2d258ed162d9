package org.dragonflymux.core.gateway;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.function.BiPredicate;
import org.dragonflymux.core.balance.TargetEntry;
import org.dragonflymux.core.desired.CustomerSpec;
import org.dragonflymux.core.desired.DesiredState;
import org.dragonflymux.core.desired.RequestLimits;
import org.dragonflymux.core.desired.Route;
import org.dragonflymux.core.desired.ServiceSpec;
import org.dragonflymux.core.desired.WeightedService;
import org.dragonflymux.core.membership.FleetMember;
import org.dragonflymux.core.name.FailureDomain;
import org.dragonflymux.core.name.HostId;
import org.dragonflymux.core.name.ServiceName;
import org.dragonflymux.core.name.TargetId;
import org.dragonflymux.core.quota.LenderElection;
import org.dragonflymux.core.quota.LenderPartition;

/**
 * Hosts on virtual time that share customers' rates, over a network that delays, loses and cuts, with a store that lists
 * them. Targets have room for all, so what is refused is refused for its rate. Times are milliseconds.
 */
final class RateFleet {

    private static final long LEASE_MILLIS = 2_500;
    /** A host's clock may run a little slower than the store's. */
    private static final long SAFE_LEASE_MILLIS = 2_400;

    private static final long STORE_MILLIS = 20;
    private static final ServiceName SERVICE = ServiceName.of("s");
    private static final FailureDomain DOMAIN = FailureDomain.of("a");
    private static final long TICK_MILLIS = 30;
    private static final long NEVER = Long.MAX_VALUE / 4;
    private static final int ENOUGH_SLOTS = 1_000_000;

    private final SplittableRandom random;
    private final List<Host> hosts = new ArrayList<>();
    private final PriorityQueue<Delivery> network =
            new PriorityQueue<>(Comparator.comparingLong(Delivery::at).thenComparingLong(Delivery::number));
    private final Map<String, List<Long>> admittedAt = new HashMap<>();
    private final Map<String, Integer> refused = new HashMap<>();
    private final Map<Long, String> customerOf = new HashMap<>();
    private final Map<Long, Long> leases = new HashMap<>();
    private final Map<HostId, FleetMember> registered = new HashMap<>();
    private final Map<HostId, Long> registeredLease = new HashMap<>();
    private final Map<Integer, LenderPartition> seats = new HashMap<>();
    private Map<String, CustomerSpec> customers;
    private BiPredicate<Integer, Integer> cut = (_, _) -> false;
    private BiPredicate<Integer, Long> cutFromStore = (_, _) -> false;
    private double lossRatio;
    private long version = 1;
    private long now;
    private long sent;
    private long exchanges;
    private long revision;
    private long lastLease;

    private record Delivery(long at, long number, int to, Runnable action) {}

    private final class Host {
        private final int number;
        private long incarnation;
        private Gateway gateway;
        private DesiredState state;
        private long upSince;
        private long silentUntil;
        private long pausedUntil;
        private long lease;
        private LenderElection election;
        private final List<Runnable> inbox = new ArrayList<>();

        Host(int number) {
            this.number = number;
        }

        HostId id() {
            return HostId.of("h" + number);
        }

        boolean runs() {
            return now >= upSince && now >= pausedUntil;
        }

        void start() {
            incarnation++;
            inbox.clear();
            lease = 0;
            election = LenderElection.of(member());
            gateway = Gateway.of(
                    new GatewaySettings(id(), incarnation, DOMAIN, NEVER, 0.2, 50, 10_000),
                    new SplittableRandom(random.nextLong()),
                    upSince);
            gateway.directory()
                    .replace(
                            List.of(new TargetEntry(
                                    TargetId.of("t"), SERVICE, "127.0.0.1:1", DOMAIN, ENOUGH_SLOTS, false, 0, 1)),
                            now);
            learn(state);
        }

        FleetMember member() {
            return new FleetMember(id(), incarnation, DOMAIN, "127.0.0.1:" + number);
        }

        void learn(DesiredState newer) {
            state = newer;
            gateway.desiredState(newer);
        }
    }

    RateFleet(int hostCount, long seed, List<CustomerSpec> specs) {
        random = new SplittableRandom(seed);
        customers = byCredential(specs);
        for (int i = 0; i < hostCount; i++) {
            addHost();
        }
    }

    private static Map<String, CustomerSpec> byCredential(List<CustomerSpec> specs) {
        Map<String, CustomerSpec> result = new HashMap<>();
        specs.forEach(spec -> result.put(spec.name().value(), spec));
        return result;
    }

    private DesiredState state() {
        Route route =
                new Route("r", "/", true, false, 1_000, 300, 1, List.of(new WeightedService(SERVICE, 1)), 2, false);
        return new DesiredState(
                version,
                Map.of("host", List.of(route)),
                Map.of(SERVICE, new ServiceSpec(SERVICE, "/health", 100, 3_000, 10, false)),
                customers,
                true,
                new RequestLimits(8_192, 1 << 20, 3_000, 15_000));
    }

    /** Adds a host that begins to take requests at once. */
    int addHost() {
        Host host = new Host(hosts.size());
        host.state = state();
        hosts.add(host);
        host.start();
        return host.number;
    }

    int size() {
        return hosts.size();
    }

    long now() {
        return now;
    }

    /** Sets which datagrams never arrive, by the numbers of sender and receiver. */
    void cut(BiPredicate<Integer, Integer> newCut) {
        cut = newCut;
    }

    /** Sets which hosts don't reach the store, by number and time. */
    void cutFromStore(BiPredicate<Integer, Long> newCut) {
        cutFromStore = newCut;
    }

    /** Sets which share of the datagrams is lost. */
    void lose(double ratio) {
        lossRatio = ratio;
    }

    /** Suspends a host; what reaches it meanwhile lies there until it goes on. */
    void pause(int host, long millis) {
        hosts.get(host).pausedUntil = now + millis;
    }

    /** Kills a host; it is back after a time, and says nothing for another time, since its start is slow. */
    void restart(int host, long downMillis, long silentMillis) {
        Host restarted = hosts.get(host);
        restarted.upSince = now + downMillis;
        restarted.silentUntil = now + downMillis + silentMillis;
        restarted.pausedUntil = 0;
        restarted.start();
    }

    /** Replaces the customers' limits; each host learns of it after a time of its own. */
    void limits(List<CustomerSpec> specs, long latestMillis) {
        customers = byCredential(specs);
        version++;
        DesiredState newer = state();
        for (Host host : hosts) {
            deliver(host.number, random.nextLong(latestMillis + 1), () -> host.learn(newer));
        }
    }

    /** Has a customer's request come to a host; one that doesn't run takes none. */
    void request(int host, String customer) {
        Host at = hosts.get(host);
        if (now < at.upSince) {
            return;
        }
        long exchange = ++exchanges;
        customerOf.put(exchange, customer);
        Runnable arrival = () -> run(
                at,
                at.gateway.requestArrived(
                        new ArrivedRequest(
                                exchange,
                                "id",
                                "host",
                                "/x",
                                Optional.of(customer),
                                OptionalInt.empty(),
                                OptionalLong.of(2_000)),
                        now));
        if (at.runs()) {
            arrival.run();
        } else {
            at.inbox.add(arrival);
        }
    }

    private void run(Host host, List<GatewayEffect> effects) {
        for (GatewayEffect effect : effects) {
            switch (effect) {
                case GatewayEffect.Send send -> {
                    admittedAt
                            .computeIfAbsent(customerOf.get(send.exchange()), _ -> new ArrayList<>())
                            .add(now);
                    run(
                            host,
                            host.gateway.attemptEnded(
                                    send.attempt(), new AttemptResult.Answered(AttemptResult.Grade.SUCCESS), now));
                }
                case GatewayEffect.Refuse refusal -> refused.merge(customerOf.get(refusal.exchange()), 1, Integer::sum);
                case GatewayEffect.Tell tell -> tell(host, tell);
                case GatewayEffect.Cancel _, GatewayEffect.Deliver _ -> {}
            }
        }
    }

    private void deliver(int to, long delay, Runnable action) {
        network.add(new Delivery(now + delay, ++sent, to, action));
    }

    /** Lets a millisecond pass. */
    void step() {
        now++;
        while (!network.isEmpty() && network.peek().at() <= now) {
            Delivery delivery = network.poll();
            Host host = hosts.get(delivery.to());
            if (now < host.upSince) {
                continue;
            }
            if (host.runs()) {
                delivery.action().run();
            } else {
                host.inbox.add(delivery.action());
            }
        }
        for (Host host : hosts) {
            if (host.runs()) {
                step(host);
            }
        }
    }

    private void step(Host host) {
        List<Runnable> late = List.copyOf(host.inbox);
        host.inbox.clear();
        late.forEach(Runnable::run);
        boolean silent = now < host.silentUntil;
        if (now % TICK_MILLIS == host.number % TICK_MILLIS) {
            run(host, host.gateway.tick(now));
        }
        if (now % STORE_MILLIS == host.number % STORE_MILLIS && !silent && !cutFromStore.test(host.number, now)) {
            callStore(host);
        }
        if (!silent && host.gateway.reportDue(now)) {
            report(host);
        }
    }

    private void callStore(Host host) {
        expireLeases();
        if (!leases.containsKey(host.lease)) {
            host.lease = ++lastLease;
            registered.put(host.id(), host.member());
            registeredLease.put(host.id(), host.lease);
        }
        leases.put(host.lease, now + LEASE_MILLIS);
        host.election.replacePartitions(List.copyOf(seats.values()));
        List<LenderElection.Claim> claims = host.election.due(Map.copyOf(registered), host.lease, now);
        for (LenderElection.Claim claim : claims) {
            LenderPartition present = seats.get(claim.number());
            if ((present == null ? 0 : present.epoch()) == claim.expectedRevision()) {
                seats.put(claim.number(), new LenderPartition(claim.number(), host.member(), host.lease, ++revision));
            }
        }
        if (!claims.isEmpty()) {
            host.election.claimEnded(now);
        }
        host.gateway.storeConfirmed(now);
        host.gateway.members(List.copyOf(registered.values()), now);
        host.gateway.lenders(List.copyOf(seats.values()), now);
        host.gateway.leaseConfirmed(host.lease, now + SAFE_LEASE_MILLIS, now);
    }

    private void expireLeases() {
        leases.values().removeIf(until -> until <= now);
        seats.values().removeIf(seat -> !leases.containsKey(seat.lease()));
        registeredLease.values().removeIf(lease -> !leases.containsKey(lease));
        registered.keySet().retainAll(registeredLease.keySet());
    }

    private boolean lost(Host from, Host to) {
        return now < from.silentUntil || cut.test(from.number, to.number) || random.nextDouble() < lossRatio;
    }

    private void report(Host from) {
        for (ReportAggregator.Outgoing outgoing :
                from.gateway.outgoingReports(from.gateway.report(now), Optional.empty(), now)) {
            for (HostId each : outgoing.to()) {
                Host to = host(each);
                if (!lost(from, to)) {
                    deliver(
                            to.number,
                            1 + random.nextLong(3),
                            () -> run(to, to.gateway.peerReportReceived(outgoing.report(), now)));
                }
            }
        }
    }

    private Host host(HostId id) {
        return hosts.get(Integer.parseInt(id.value().substring(1)));
    }

    private void tell(Host from, GatewayEffect.Tell tell) {
        Host to = host(tell.to());
        if (!lost(from, to)) {
            deliver(
                    to.number,
                    1 + random.nextLong(3),
                    () -> run(to, to.gateway.rateMessageReceived(tell.message(), now)));
        }
    }

    /** Returns how many requests of a customer were refused. */
    int refused(String customer) {
        return refused.getOrDefault(customer, 0);
    }

    /** Returns how many requests of a customer were admitted. */
    int admitted(String customer) {
        return admittedAt.getOrDefault(customer, List.of()).size();
    }

    /** Returns the most requests of a customer that were admitted in any window that begins at a time or later. */
    int mostAdmitted(String customer, long windowMillis, long from) {
        List<Long> times = admittedAt.getOrDefault(customer, List.of());
        int most = 0;
        for (int first = 0, last = 0; last < times.size(); last++) {
            while (times.get(first) < from || times.get(first) <= times.get(last) - windowMillis) {
                if (first == last) {
                    break;
                }
                first++;
            }
            if (times.get(first) >= from) {
                most = Math.max(most, last - first + 1);
            }
        }
        return most;
    }
}
