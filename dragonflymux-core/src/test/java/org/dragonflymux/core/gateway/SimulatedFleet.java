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
 * Simulates hosts in virtual time that share customers' rate limits. The simulated network can delay, lose and block
 * datagrams; the simulated store registers the hosts. Targets have slots for all requests, so requests are refused only
 * because of rate limits. Times are milliseconds.
 */
final class SimulatedFleet {

    private static final long LEASE_MILLIS = 2_500;
    /** Less than the lease's duration because a host's clock may run slightly slower than the store's. */
    private static final long SAFE_LEASE_MILLIS = 2_400;

    private static final long STORE_POLL_MILLIS = 20;
    private static final ServiceName SERVICE = ServiceName.of("s");
    private static final FailureDomain DOMAIN = FailureDomain.of("a");
    private static final long TICK_MILLIS = 30;
    private static final long NEVER = Long.MAX_VALUE / 4;
    private static final int SUFFICIENT_SLOTS = 1_000_000;

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
    private final Map<Integer, LenderPartition> partitions = new HashMap<>();
    private Map<String, CustomerSpec> customers;
    private BiPredicate<Integer, Integer> dropDatagram = (_, _) -> false;
    private BiPredicate<Integer, Long> cutOffFromStore = (_, _) -> false;
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
        private long suspendedUntil;
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
            return now >= upSince && now >= suspendedUntil;
        }

        void start() {
            incarnation++;
            inbox.clear();
            lease = 0;
            election = LenderElection.of(member());
            gateway = Gateway.of(
                    new GatewaySettings(id(), incarnation, DOMAIN, NEVER, 2_000, 0.2, 50, 10_000),
                    new SplittableRandom(random.nextLong()),
                    upSince);
            gateway.directory()
                    .replace(
                            List.of(new TargetEntry(
                                    TargetId.of("t"), SERVICE, "127.0.0.1:1", DOMAIN, SUFFICIENT_SLOTS, false, 0, 1)),
                            now);
            applyState(state);
        }

        FleetMember member() {
            return new FleetMember(id(), incarnation, DOMAIN, "127.0.0.1:" + number);
        }

        void applyState(DesiredState newer) {
            state = newer;
            gateway.updateDesiredState(newer);
        }
    }

    SimulatedFleet(int hostCount, long seed, List<CustomerSpec> specs) {
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

    /** Adds a host that accepts requests immediately. */
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

    /** Sets which datagrams are dropped, by the numbers of sender and receiver. */
    void dropDatagrams(BiPredicate<Integer, Integer> rule) {
        dropDatagram = rule;
    }

    /** Sets which hosts are disconnected from the store, by number and time. */
    void cutOffFromStore(BiPredicate<Integer, Long> rule) {
        cutOffFromStore = rule;
    }

    /** Sets the share of datagrams that are lost at random. */
    void loseDatagrams(double ratio) {
        lossRatio = ratio;
    }

    /** Suspends a host. Requests and datagrams that arrive meanwhile are queued until it resumes. */
    void suspend(int host, long millis) {
        hosts.get(host).suspendedUntil = now + millis;
    }

    /** Kills a host. It restarts after a down time and then, because its start is slow, sends nothing for another period. */
    void restart(int host, long downMillis, long silentMillis) {
        Host restarted = hosts.get(host);
        restarted.upSince = now + downMillis;
        restarted.silentUntil = now + downMillis + silentMillis;
        restarted.suspendedUntil = 0;
        restarted.start();
    }

    /** Replaces the customers' limits. Each host learns the new limits after a random delay. */
    void replaceLimits(List<CustomerSpec> specs, long latestMillis) {
        customers = byCredential(specs);
        version++;
        DesiredState newer = state();
        for (Host host : hosts) {
            schedule(host.number, random.nextLong(latestMillis + 1), () -> host.applyState(newer));
        }
    }

    /** Sends a request of a customer to a host. A host that is down receives none. */
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
                case GatewayEffect.Tell tell -> sendRateMessage(host, tell);
                case GatewayEffect.Cancel _, GatewayEffect.Deliver _ -> {}
            }
        }
    }

    private void schedule(int to, long delay, Runnable action) {
        network.add(new Delivery(now + delay, ++sent, to, action));
    }

    /** Advances the time by one millisecond. */
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
        List<Runnable> queued = List.copyOf(host.inbox);
        host.inbox.clear();
        queued.forEach(Runnable::run);
        boolean silent = now < host.silentUntil;
        if (now % TICK_MILLIS == host.number % TICK_MILLIS) {
            run(host, host.gateway.tick(now));
        }
        if (now % STORE_POLL_MILLIS == host.number % STORE_POLL_MILLIS
                && !silent
                && !cutOffFromStore.test(host.number, now)) {
            callStore(host);
        }
        if (!silent && host.gateway.reportDue(now)) {
            sendReports(host);
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
        host.election.replacePartitions(List.copyOf(partitions.values()));
        List<LenderElection.Claim> claims = host.election.due(Map.copyOf(registered), host.lease, now);
        for (LenderElection.Claim claim : claims) {
            LenderPartition current = partitions.get(claim.number());
            if ((current == null ? 0 : current.epoch()) == claim.expectedRevision()) {
                partitions.put(
                        claim.number(), new LenderPartition(claim.number(), host.member(), host.lease, ++revision));
            }
        }
        if (!claims.isEmpty()) {
            host.election.claimEnded(now);
        }
        host.gateway.storeConfirmed(now);
        host.gateway.replaceMembers(List.copyOf(registered.values()), now);
        host.gateway.replacePartitions(List.copyOf(partitions.values()), now);
        host.gateway.updateLease(host.lease, now + SAFE_LEASE_MILLIS, now);
    }

    private void expireLeases() {
        leases.values().removeIf(until -> until <= now);
        partitions.values().removeIf(partition -> !leases.containsKey(partition.lease()));
        registeredLease.values().removeIf(lease -> !leases.containsKey(lease));
        registered.keySet().retainAll(registeredLease.keySet());
    }

    private boolean lost(Host from, Host to) {
        return now < from.silentUntil || dropDatagram.test(from.number, to.number) || random.nextDouble() < lossRatio;
    }

    private void sendReports(Host from) {
        for (ReportAggregator.Outgoing outgoing :
                from.gateway.outgoingReports(from.gateway.report(now), Optional.empty(), now)) {
            for (HostId each : outgoing.to()) {
                Host to = host(each);
                if (!lost(from, to)) {
                    schedule(
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

    private void sendRateMessage(Host from, GatewayEffect.Tell tell) {
        Host to = host(tell.to());
        if (!lost(from, to)) {
            schedule(
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

    /** Returns the maximum number of a customer's requests admitted in any window that begins at the given time or later. */
    int maxAdmitted(String customer, long windowMillis, long from) {
        List<Long> times = admittedAt.getOrDefault(customer, List.of());
        int max = 0;
        for (int first = 0, last = 0; last < times.size(); last++) {
            while (times.get(first) < from || times.get(first) <= times.get(last) - windowMillis) {
                if (first == last) {
                    break;
                }
                first++;
            }
            if (times.get(first) >= from) {
                max = Math.max(max, last - first + 1);
            }
        }
        return max;
    }
}
