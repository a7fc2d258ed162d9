package org.dragonflymux.core.gateway;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;
import org.dragonflymux.core.balance.ColdPacer;
import org.dragonflymux.core.balance.LoadReport;
import org.dragonflymux.core.balance.TargetDirectory;
import org.dragonflymux.core.balance.TargetSelector;
import org.dragonflymux.core.balance.TargetState;
import org.dragonflymux.core.desired.CustomerSpec;
import org.dragonflymux.core.desired.DesiredState;
import org.dragonflymux.core.desired.Route;
import org.dragonflymux.core.desired.ServiceSpec;
import org.dragonflymux.core.desired.WeightedService;
import org.dragonflymux.core.membership.FleetMember;
import org.dragonflymux.core.name.CustomerName;
import org.dragonflymux.core.name.HostId;
import org.dragonflymux.core.name.ServiceName;
import org.dragonflymux.core.name.TargetId;
import org.dragonflymux.core.quota.DistributedRateLimiter;
import org.dragonflymux.core.quota.LenderPartition;
import org.dragonflymux.core.quota.LendingStats;
import org.dragonflymux.core.quota.RateDecision;
import org.dragonflymux.core.quota.RateMessage;
import org.dragonflymux.core.quota.Token;
import org.dragonflymux.core.shard.KeyRange;
import org.dragonflymux.core.shard.ShardTable;

/** A host's decisions about requests: whom to admit, what waits, where it goes, what is sent again, what is answered. */
public final class Gateway {

    private static final long DEADLINE_MARGIN_MILLIS = 10;
    private static final long RETRY_AFTER_FLOOR_MILLIS = 60;
    private static final long TARGET_RETURN_MILLIS = 500;
    private static final long MISDIRECTED_PAUSE_MILLIS = 60;
    private static final int QUEUED_AT_OWNER = 2;
    private static final int MAX_UNSENT = 4;
    /** Which share of the objective a request may be expected to wait for its turn; the rest is for the work. */
    private static final double WAIT_SHARE = 0.75;
    /** Which share of the objective a request may wait for a target that can't be reached. */
    private static final double HOPELESS_SHARE = 0.8;

    private final GatewaySettings settings;
    private final RandomGenerator random;
    private final TargetDirectory directory = TargetDirectory.empty();
    private final DistributedRateLimiter rates;
    private final FleetView fleet;
    private final ReportAggregator spread;
    private final ColdPacer pacer;
    private final TargetSelector choice;
    private final Map<Long, Exchange> exchanges = new HashMap<>();
    private final Map<Long, Attempt> attempts = new HashMap<>();
    private final Map<CustomerName, Integer> customersInFlight = new HashMap<>();
    private final Map<ServiceName, RetryAllowance> retries = new HashMap<>();
    private final WaitingRequests waiting;
    private final Map<ServiceName, List<Integer>> requestedKeys = new HashMap<>();
    private final PriorityQueue<Exchange> expiry =
            new PriorityQueue<>(Comparator.comparingLong((Exchange exchange) -> exchange.giveUpAt));
    private Optional<DesiredState> desired = Optional.empty();
    private long confirmedAt = Long.MIN_VALUE / 2;
    private long sleptMillis;
    private long lastAttempt;
    private long lastReport;
    private List<GatewayEffect> effects = new ArrayList<>();

    private Gateway(GatewaySettings settings, RandomGenerator random, long startedAt) {
        this.settings = settings;
        this.random = random;
        this.rates = DistributedRateLimiter.of(settings.host(), settings.incarnation(), startedAt);
        this.fleet = new FleetView(settings.host(), directory);
        this.spread = ReportAggregator.of(settings.host());
        this.pacer = ColdPacer.of(settings.host(), fleet::hosts);
        this.choice = TargetSelector.of(directory, pacer, settings.domain(), random);
        this.waiting = new WaitingRequests(directory, choice, fleet);
    }

    /**
     * Returns the gateway of a host that knows nothing yet.
     *
     * @param startedAt when the host's life began, at the latest
     */
    public static Gateway of(GatewaySettings settings, RandomGenerator random, long startedAt) {
        return new Gateway(settings, random, startedAt);
    }

    public TargetDirectory directory() {
        return directory;
    }

    public Optional<DesiredState> desired() {
        return desired;
    }

    /** Returns for how long the view of the store hasn't been confirmed. */
    public long staleMillis(long now) {
        return now - confirmedAt;
    }

    /** Returns whether callers are to be sent here. */
    public boolean ready(long now) {
        return desired.isPresent() && (!desired.get().credentialsRequired() || fresh(now));
    }

    private boolean fresh(long now) {
        return staleMillis(now) <= settings.maxStaleMillis();
    }

    private List<GatewayEffect> taken() {
        rates.drainMessages().forEach(message -> effects.add(new GatewayEffect.Tell(nextHost(message), message)));
        List<GatewayEffect> result = effects;
        effects = new ArrayList<>();
        return result;
    }

    private HostId nextHost(RateMessage message) {
        return message.via().filter(host -> !host.equals(settings.host())).orElse(message.to());
    }

    /** Takes in that the store had nothing newer at the given time. */
    public void storeConfirmed(long at) {
        confirmedAt = Math.max(confirmedAt, at);
    }

    /** Takes in that the machine was suspended, which the clock of requests doesn't count. */
    public void suspended(long millis) {
        confirmedAt -= millis;
        sleptMillis += millis;
    }

    /** Takes in a desired state; an older one than the present is ignored. */
    public void desiredState(DesiredState newer) {
        if (desired.isPresent() && desired.get().version() >= newer.version()) {
            return;
        }
        desired = Optional.of(newer);
        pacer.services(newer.services());
        rates.replaceCustomers(newer.customersByCredential().values());
    }

    /** Takes in who owns a service's keys. */
    public List<GatewayEffect> shardTable(ServiceName service, ShardTable table, long now) {
        waiting.table(service, table);
        dispatch(service, now);
        return taken();
    }

    /** Takes in which hosts are registered. */
    public void members(Collection<FleetMember> members, long now) {
        Set<HostId> hosts = members.stream().map(FleetMember::host).collect(Collectors.toSet());
        fleet.registered(hosts);
        rates.replaceMembers(hosts);
        spread.members(members, now);
    }

    /** Takes in which hosts lend customers' tokens. */
    public void lenders(Collection<LenderPartition> seats, long now) {
        rates.replacePartitions(seats, now + sleptMillis);
    }

    /**
     * Takes in that this host's lease surely holds.
     *
     * @param lease the lease
     * @param until for how long, by the clock of requests and what the machine was suspended
     */
    public void leaseConfirmed(long lease, long until, long now) {
        rates.updateLease(lease, until, now + sleptMillis);
    }

    /** Returns what this host did with the tokens that it lends since the last call. */
    public List<LendingStats> rateUses() {
        return rates.drainLendingStats();
    }

    /** Takes in what another host says about rates. */
    public List<GatewayEffect> rateMessageReceived(RateMessage message, long now) {
        decide(rates.received(message, now + sleptMillis), now);
        return taken();
    }

    /** Takes in what another host says. */
    public List<GatewayEffect> peerReportReceived(PeerReport report, long now) {
        spread.received(report, now).ifPresent(learnt -> fleet.reported(learnt, now));
        dispatchAll(now);
        return taken();
    }

    /** Returns whether this host is to tell others how things are. */
    public boolean reportDue(long now) {
        return spread.due(now);
    }

    /**
     * Returns a report of this host and those that it collects, and who is to have each.
     *
     * @param own this host's report
     * @param grantor who is to know the keys that were requested
     */
    public List<ReportAggregator.Outgoing> outgoingReports(PeerReport own, Optional<HostId> grantor, long now) {
        return spread.outgoing(own, grantor, now);
    }

    /** Returns what this host tells the others. */
    public PeerReport report(long now) {
        List<PeerReport.TargetUse> uses = new ArrayList<>();
        Map<TargetId, Integer> waitingForOwner = waiting.countByOwner();
        for (TargetState target : directory.all()) {
            TargetState.Completions done = target.takeCompletions();
            int forOwner = waitingForOwner.getOrDefault(target.entry().id(), 0);
            if (target.inFlight() > 0 || forOwner > 0 || done.count() > 0) {
                long age = now - target.slowdownAt();
                uses.add(new PeerReport.TargetUse(
                        target.nameHash(),
                        target.inFlight(),
                        forOwner,
                        done.count(),
                        (int) Math.round(done.meanMillis()),
                        target.slowdownPercent(),
                        age < 1_000 ? (int) age : -1));
            }
        }
        Map<ServiceName, int[]> keys = new HashMap<>();
        requestedKeys.forEach((service, list) ->
                keys.put(service, list.stream().mapToInt(Integer::intValue).toArray()));
        requestedKeys.clear();
        return new PeerReport(
                settings.host(), settings.incarnation(), ++lastReport, Map.of(), uses, waiting.countByService(), keys);
    }

    /** Takes in a request. */
    public List<GatewayEffect> requestArrived(ArrivedRequest request, long now) {
        admit(request, now);
        return taken();
    }

    private void admit(ArrivedRequest request, long now) {
        if (desired.isEmpty()) {
            refuse(request, RefusalReason.NO_DESIRED_STATE, TARGET_RETURN_MILLIS);
            return;
        }
        DesiredState state = desired.get();
        Optional<Route> route = state.route(request.hostName(), request.path());
        if (route.isEmpty()) {
            refuse(request, RefusalReason.NO_ROUTE, 0);
            return;
        }
        Optional<CustomerSpec> customer = Optional.empty();
        if (state.credentialsRequired() && !route.get().open()) {
            customer = request.credential().flatMap(state::customer);
            if (!fresh(now)) {
                refuse(request, RefusalReason.STALE_CREDENTIALS, TARGET_RETURN_MILLIS);
                return;
            }
            if (customer.isEmpty()) {
                refuse(request, RefusalReason.UNKNOWN_CREDENTIAL, 0);
                return;
            }
        }
        admit(request, route.get(), customer, now);
    }

    private void admit(ArrivedRequest request, Route route, Optional<CustomerSpec> customer, long now) {
        ServiceSpec service = chooseService(route);
        if (service == null) {
            refuse(request, RefusalReason.NO_TARGET, TARGET_RETURN_MILLIS);
            return;
        }
        long patience = request.waitMillis().orElse(Long.MAX_VALUE / 4) - DEADLINE_MARGIN_MILLIS;
        long giveUpAt = now + Math.max(1, Math.min(patience, route.timeoutMillis()));
        Exchange exchange = new Exchange(request, route, service, customer, now, giveUpAt);
        if (service.sharded()) {
            if (exchange.shardKey() < KeyRange.MIN_KEY || exchange.shardKey() > KeyRange.MAX_KEY) {
                refuse(request, RefusalReason.NO_SHARD_KEY, 0);
                return;
            }
            requestedKeys
                    .computeIfAbsent(service.name(), _ -> new ArrayList<>())
                    .add(exchange.shardKey());
        }
        retries(service.name(), now).requestArrived();
        if (waiting.ownerLost(exchange, now)) {
            refuse(request, customer, RefusalReason.NO_TARGET, spread(TARGET_RETURN_MILLIS));
            return;
        }
        double wait = waiting.expectedMillis(exchange, now);
        if (wait > longestWait(exchange, now)) {
            refuse(request, customer, RefusalReason.OVERLOADED, comeBackAfter(exchange, wait));
            return;
        }
        exchanges.put(request.exchange(), exchange);
        expiry.add(exchange);
        if (customer.filter(CustomerSpec::limited).isEmpty()) {
            enqueue(exchange, now);
            return;
        }
        exchange.awaitsToken = true;
        decide(rates.acquire(customer.get().name(), request.exchange(), now + sleptMillis), now);
    }

    private void enqueue(Exchange exchange, long now) {
        waiting.add(exchange);
        dispatch(exchange.service.name(), now);
    }

    private void decide(List<RateDecision> decisions, long now) {
        for (RateDecision decision : decisions) {
            Exchange exchange = exchanges.get(decision.request());
            switch (decision) {
                case RateDecision.Admitted admitted -> admitted(exchange, admitted.token(), now);
                case RateDecision.OverRate over -> {
                    exchange.awaitsToken = false;
                    finish(exchange, RefusalReason.OVER_RATE, spread(over.millisUntilNextToken()));
                }
                case RateDecision.NoLender _ -> {
                    exchange.awaitsToken = false;
                    finish(exchange, RefusalReason.RATE_UNKNOWN, spread(TARGET_RETURN_MILLIS));
                }
            }
        }
    }

    private void admitted(Exchange exchange, Token token, long now) {
        exchange.awaitsToken = false;
        exchange.token = Optional.of(token);
        enqueue(exchange, now);
    }

    private ServiceSpec chooseService(Route route) {
        DesiredState state = desired.orElseThrow();
        double total =
                route.services().stream().mapToDouble(WeightedService::weight).sum();
        double drawn = random.nextDouble() * total;
        for (WeightedService part : route.services()) {
            drawn -= part.weight();
            if (drawn < 0) {
                return state.services().get(part.service());
            }
        }
        return route.services().isEmpty()
                ? null
                : state.services().get(route.services().getLast().service());
    }

    private long longestWait(Exchange exchange, long now) {
        double work = directory.meanServiceMillis(exchange.service.name());
        long objective = exchange.route.objectiveMillis();
        long left = exchange.giveUpAt - now;
        return (long) Math.max(0, Math.min(left - work, objective * WAIT_SHARE));
    }

    private long comeBackAfter(Exchange exchange, double wait) {
        return spread((long) Math.max(RETRY_AFTER_FLOOR_MILLIS, wait - exchange.route.objectiveMillis() * 0.3));
    }

    private long spread(long millis) {
        return (long) (millis * (1 + 0.5 * random.nextDouble()));
    }

    private RetryAllowance retries(ServiceName service, long now) {
        return retries.computeIfAbsent(service, _ -> new RetryAllowance(settings, fleet::hosts, now));
    }

    private void dispatchAll(long now) {
        for (ServiceName service : waiting.services()) {
            dispatch(service, now);
        }
    }

    private void dispatch(ServiceName service, long now) {
        List<Exchange> list = waiting.of(service);
        if (list.isEmpty()) {
            return;
        }
        if (list.size() > 1) {
            list.sort(Comparator.comparingInt((Exchange exchange) -> exchange.priority)
                    .thenComparingInt(this::inFlightOfCustomer)
                    .thenComparingLong(exchange -> exchange.arrivedAt));
        }
        boolean room = true;
        for (Exchange exchange : List.copyOf(list)) {
            if (exchange.done) {
                list.remove(exchange);
            } else if (room && now >= exchange.retryAt) {
                Optional<TargetState> target = target(exchange, now);
                if (target.isPresent()) {
                    list.remove(exchange);
                    send(exchange, target.get(), now);
                } else {
                    // Where one that may go anywhere finds no target, the others find none either.
                    room = exchange.service.sharded() || !exchange.tried.isEmpty();
                }
            }
        }
    }

    private int inFlightOfCustomer(Exchange exchange) {
        return exchange.customer
                .map(customer -> customersInFlight.getOrDefault(customer.name(), 0))
                .orElse(0);
    }

    private Optional<TargetState> target(Exchange exchange, long now) {
        if (!exchange.service.sharded()) {
            return choice.best(exchange.service.name(), exchange.tried, exchange.route.largeAnswers(), now);
        }
        return waiting.owner(exchange)
                .filter(assignment -> assignment.move().isEmpty())
                .flatMap(assignment -> directory
                        .target(assignment.owner())
                        .filter(target -> target.entry().incarnation() == assignment.incarnation()))
                .filter(target -> choice.usable(target, now))
                .filter(target -> target.totalInFlight() < target.entry().slots() + QUEUED_AT_OWNER);
    }

    private void send(Exchange exchange, TargetState target, long now) {
        exchange.waiting = false;
        exchange.attempts++;
        exchange.tried.add(target.entry().id());
        exchange.token.ifPresent(rates::used);
        exchange.token = Optional.empty();
        target.sent(now);
        Attempt attempt = new Attempt(++lastAttempt, exchange, target, now, target.totalInFlight());
        attempts.put(attempt.number(), attempt);
        exchange.running.add(attempt);
        exchange.customer.ifPresent(customer -> customersInFlight.merge(customer.name(), 1, Integer::sum));
        effects.add(new GatewayEffect.Send(
                attempt.number(),
                exchange.request.exchange(),
                target.entry(),
                Math.max(1, exchange.giveUpAt - now),
                exchange.customer.map(CustomerSpec::name),
                exchange.route.repeatable()));
    }

    /** Takes in what a target says of its load. */
    public void loadReported(TargetId id, LoadReport report, long now) {
        directory.target(id).ifPresent(target -> target.slowdownReported(report.slowdownPercent(), now));
    }

    /** Takes in that a target is cold. */
    public void coldReported(TargetId id, long millis, long now) {
        directory.target(id).ifPresent(target -> target.markCold(millis, now));
    }

    /** Takes in how an attempt ended. */
    public List<GatewayEffect> attemptEnded(long number, AttemptResult result, long now) {
        Attempt attempt = forget(number);
        if (attempt != null) {
            attemptEnded(attempt, result, now);
            dispatch(attempt.exchange().service.name(), now);
        }
        return taken();
    }

    private Attempt forget(long number) {
        Attempt attempt = attempts.remove(number);
        if (attempt != null) {
            attempt.target().ended();
            attempt.exchange().running.remove(attempt);
            attempt.exchange()
                    .customer
                    .ifPresent(customer -> customersInFlight.computeIfPresent(
                            customer.name(), (_, count) -> count > 1 ? count - 1 : null));
        }
        return attempt;
    }

    private void attemptEnded(Attempt attempt, AttemptResult result, long now) {
        Exchange exchange = attempt.exchange();
        TargetState target = attempt.target();
        switch (result) {
            case AttemptResult.Answered answered -> answered(attempt, answered.grade(), now);
            case AttemptResult.NotRun notRun -> {
                if (notRun.misdirected()) {
                    exchange.retryAt = now + MISDIRECTED_PAUSE_MILLIS;
                } else {
                    target.failed(false, now);
                }
                retryOrRefuse(exchange, RefusalReason.TURNED_AWAY, now);
            }
            case AttemptResult.NotSent _ -> {
                target.failed(true, now);
                exchange.attempts--;
                if (exchange.tried.size() < MAX_UNSENT || exchange.service.sharded()) {
                    waiting.add(exchange);
                } else {
                    finish(exchange, RefusalReason.NO_TARGET, spread(TARGET_RETURN_MILLIS));
                }
            }
            case AttemptResult.Lost _ -> {
                target.failed(false, now);
                exchange.mayHaveRun = true;
                retryOrRefuse(exchange, RefusalReason.LOST_ANSWER, now);
            }
        }
    }

    private void answered(Attempt attempt, AttemptResult.Grade grade, long now) {
        Exchange exchange = attempt.exchange();
        switch (grade) {
            case SUCCESS -> {
                attempt.target().succeeded(now - attempt.sentAt(), attempt.busyAtSend(), now);
                deliver(attempt, now);
            }
            case REPLY -> deliver(attempt, now);
            case TARGET_ERROR -> {
                attempt.target().failed(false, now);
                exchange.mayHaveRun = true;
                boolean again = exchange.running.isEmpty()
                        && exchange.mayRetry()
                        && !exchange.done
                        && !exchange.service.sharded()
                        && retries(exchange.service.name(), now).trySpend(now);
                if (again) {
                    waiting.add(exchange);
                } else if (exchange.running.isEmpty()) {
                    deliver(attempt, now);
                }
            }
        }
    }

    private void deliver(Attempt attempt, long now) {
        Exchange exchange = attempt.exchange();
        if (exchange.done) {
            return;
        }
        GatewayEffect.Timing timing = new GatewayEffect.Timing(
                attempt.target().entry().id(),
                attempt.sentAt() - exchange.arrivedAt,
                now - attempt.sentAt(),
                attempt.busyAtSend(),
                exchange.attempts,
                now - exchange.arrivedAt > exchange.route.objectiveMillis());
        effects.add(new GatewayEffect.Deliver(exchange.request.exchange(), attempt.number(), timing));
        close(exchange);
    }

    private void retryOrRefuse(Exchange exchange, RefusalReason reason, long now) {
        if (exchange.done || !exchange.running.isEmpty()) {
            return;
        }
        if (exchange.mayRetry() && retries(exchange.service.name(), now).trySpend(now)) {
            waiting.add(exchange);
            return;
        }
        long comeBack = Math.max(RETRY_AFTER_FLOOR_MILLIS, (long) waiting.expectedMillis(exchange, now));
        finish(exchange, exchange.mayHaveRun ? RefusalReason.LOST_ANSWER : reason, spread(comeBack));
    }

    private void finish(Exchange exchange, RefusalReason reason, long retryAfter) {
        if (exchange.done) {
            return;
        }
        effects.add(new GatewayEffect.Refuse(
                exchange.request.exchange(), reason, retryAfter, exchange.customer.map(CustomerSpec::name)));
        close(exchange);
    }

    private void close(Exchange exchange) {
        exchange.done = true;
        exchanges.remove(exchange.request.exchange());
        for (Attempt other : List.copyOf(exchange.running)) {
            forget(other.number());
            effects.add(new GatewayEffect.Cancel(other.number()));
        }
        waiting.remove(exchange);
        exchange.token.ifPresent(rates::giveBack);
        if (exchange.awaitsToken) {
            exchange.customer.ifPresent(customer -> rates.cancel(customer.name(), exchange.request.exchange()));
        }
    }

    private void refuse(ArrivedRequest request, RefusalReason reason, long retryAfterMillis) {
        refuse(request, Optional.empty(), reason, retryAfterMillis);
    }

    private void refuse(
            ArrivedRequest request, Optional<CustomerSpec> customer, RefusalReason reason, long retryAfterMillis) {
        effects.add(new GatewayEffect.Refuse(
                request.exchange(), reason, retryAfterMillis, customer.map(CustomerSpec::name)));
    }

    /** Takes in that a caller has gone away. */
    public List<GatewayEffect> callerDisconnected(long exchangeNumber, long now) {
        Exchange exchange = exchanges.get(exchangeNumber);
        if (exchange != null) {
            close(exchange);
            dispatch(exchange.service.name(), now);
        }
        return taken();
    }

    /** Does what is due. */
    public List<GatewayEffect> tick(long now) {
        fleet.tick(spread.oldMillis(), now);
        decide(rates.tick(now + sleptMillis), now);
        while (!expiry.isEmpty() && (expiry.peek().done || expiry.peek().giveUpAt <= now)) {
            expired(expiry.poll());
        }
        refuseHopeless(now);
        dispatchAll(now);
        return taken();
    }

    private void expired(Exchange exchange) {
        if (exchange.done) {
            return;
        }
        boolean unsent = exchange.running.isEmpty() && !exchange.mayHaveRun;
        finish(
                exchange,
                unsent ? RefusalReason.EXPIRED_UNSENT : RefusalReason.EXPIRED,
                unsent ? spread(RETRY_AFTER_FLOOR_MILLIS) : 0);
    }

    /** Refuses what has waited so long that coming back later serves the caller better. */
    private void refuseHopeless(long now) {
        for (ServiceName service : waiting.services()) {
            for (Exchange exchange : List.copyOf(waiting.of(service))) {
                double longest = exchange.route.objectiveMillis() * HOPELESS_SHARE;
                boolean tooLong = now - exchange.arrivedAt > longest || waiting.ownerLost(exchange, now);
                if (tooLong && exchange.attempts == 0) {
                    finish(exchange, RefusalReason.NO_TARGET, spread(TARGET_RETURN_MILLIS / 2));
                }
            }
        }
    }
}
