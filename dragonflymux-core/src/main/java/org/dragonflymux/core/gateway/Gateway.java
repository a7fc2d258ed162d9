package org.dragonflymux.core.gateway;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;
import org.dragonflymux.core.balance.ColdPacer;
import org.dragonflymux.core.balance.CrossDomainCost;
import org.dragonflymux.core.balance.TargetDirectory;
import org.dragonflymux.core.balance.TargetEntry;
import org.dragonflymux.core.balance.TargetSelector;
import org.dragonflymux.core.balance.TargetSignals;
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

/** A host's decisions about requests: admission, queueing, selection of targets, retries and answers. */
public final class Gateway {

    private static final long DEADLINE_MARGIN_MILLIS = 10;
    private static final long MIN_RETRY_AFTER_MILLIS = 60;
    private static final long RETRY_AFTER_UNAVAILABLE_MILLIS = 500;
    private static final long MISDIRECTED_RETRY_DELAY_MILLIS = 60;
    private static final int MAX_QUEUED_AT_OWNER = 2;
    private static final int MAX_UNREACHABLE_TARGETS = 4;
    /** Maximum expected waiting time, as a share of the latency objective. The rest is left for the target's work. */
    private static final double MAX_EXPECTED_WAIT_SHARE = 0.75;
    /** Share of the latency objective after which a request that has reached no target is refused. */
    private static final double MAX_UNSENT_WAIT_SHARE = 0.8;

    private final GatewaySettings settings;
    private final RandomGenerator random;
    private final TargetDirectory directory = TargetDirectory.empty();
    private final DistributedRateLimiter rateLimiter;
    private final FleetView fleet;
    private final ReportAggregator reportAggregator;
    private final ColdPacer pacer;
    private final TargetSelector targetSelector;
    private final CrossDomainCost crossDomainCost;
    private final CrossDomainTraffic crossDomainTraffic = new CrossDomainTraffic();
    private final Map<Long, Exchange> exchanges = new HashMap<>();
    private final Map<Long, Attempt> attempts = new HashMap<>();
    private final Map<CustomerName, Integer> inFlightByCustomer = new HashMap<>();
    private final Map<ServiceName, RetryBudget> retryBudgets = new HashMap<>();
    private final WaitingRequests waiting;
    private final Map<ServiceName, List<Integer>> requestedKeys = new HashMap<>();
    private final PriorityQueue<Exchange> exchangesByDeadline =
            new PriorityQueue<>(Comparator.comparingLong((Exchange exchange) -> exchange.deadline));
    private Optional<DesiredState> desired = Optional.empty();
    private long storeConfirmedAt = Long.MIN_VALUE / 2;
    private long suspendedMillis;
    /** When this host ends; requests that it may still work on then are refused. */
    private long endsAt = Long.MAX_VALUE;

    private long lastAttemptNumber;
    private long lastReportSequence;
    private List<GatewayEffect> effects = new ArrayList<>();

    private Gateway(GatewaySettings settings, RandomGenerator random, long startedAt) {
        this.settings = settings;
        this.random = random;
        this.rateLimiter = DistributedRateLimiter.of(settings.host(), settings.incarnation(), startedAt);
        this.fleet = new FleetView(settings.host(), directory);
        this.reportAggregator = ReportAggregator.of(settings.host());
        this.pacer = ColdPacer.of(settings.host(), fleet::hostCount);
        this.targetSelector = TargetSelector.of(directory, pacer, settings.domain(), random);
        this.crossDomainCost = CrossDomainCost.of(settings.crossDomainMillisPerKibibyte());
        this.waiting = new WaitingRequests(directory, targetSelector, fleet, settings.leavingGraceMillis());
    }

    /**
     * Creates the gateway of a host that has no information about the fleet yet.
     *
     * @param startedAt the latest possible time at which the host's incarnation started
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

    /** Returns the time since this host's view of the store was last confirmed to be current. */
    public long staleMillis(long now) {
        return now - storeConfirmedAt;
    }

    /** Returns whether this host can serve callers. */
    public boolean ready(long now) {
        return desired.isPresent() && (!desired.get().credentialsRequired() || fresh(now));
    }

    private boolean fresh(long now) {
        return staleMillis(now) <= settings.maxStaleMillis();
    }

    private List<GatewayEffect> drainEffects() {
        rateLimiter.drainMessages().forEach(message -> effects.add(new GatewayEffect.Tell(nextHost(message), message)));
        List<GatewayEffect> result = effects;
        effects = new ArrayList<>();
        return result;
    }

    private HostId nextHost(RateMessage message) {
        return message.via().filter(host -> !host.equals(settings.host())).orElse(message.to());
    }

    /** Records that this host's view of the store was current at the given time. */
    public void storeConfirmed(long at) {
        storeConfirmedAt = Math.max(storeConfirmedAt, at);
    }

    /** Records that the machine was suspended. The clock of requests does not advance during a suspension. */
    public void suspended(long millis) {
        storeConfirmedAt -= millis;
        suspendedMillis += millis;
    }

    /** Applies a desired state; one that is not newer than the current version is ignored. */
    public void updateDesiredState(DesiredState newer) {
        if (desired.isPresent() && desired.get().version() >= newer.version()) {
            return;
        }
        desired = Optional.of(newer);
        pacer.replaceServices(newer.services());
        crossDomainCost.retainRoutes(
                newer.routesByHost().values().stream().flatMap(List::stream).toList());
        rateLimiter.replaceCustomers(newer.customersByCredential().values());
    }

    /** Replaces the table of the owners of a service's keys. */
    public List<GatewayEffect> replaceTable(ServiceName service, ShardTable table, long now) {
        waiting.replaceTable(service, table);
        dispatch(service, now);
        return drainEffects();
    }

    /** Replaces the registered hosts. */
    public void replaceMembers(Collection<FleetMember> members, long now) {
        Set<HostId> hosts = members.stream().map(FleetMember::host).collect(Collectors.toSet());
        fleet.replaceMembers(hosts);
        rateLimiter.replaceMembers(hosts);
        reportAggregator.replaceMembers(members, now);
    }

    /** Replaces the lender partitions, which determine the hosts that lend customers' tokens. */
    public void replacePartitions(Collection<LenderPartition> partitions, long now) {
        rateLimiter.replacePartitions(partitions, now + suspendedMillis);
    }

    /**
     * Records until when this host's lease is certain to be valid.
     *
     * @param lease the lease
     * @param until the end of its validity, on the clock of requests plus the time that the machine was suspended
     */
    public void updateLease(long lease, long until, long now) {
        rateLimiter.updateLease(lease, until, now + suspendedMillis);
    }

    /** Returns what this host did with the tokens that it lends since the last call. */
    public List<LendingStats> drainLendingStats() {
        return rateLimiter.drainLendingStats();
    }

    /** Handles a rate message of another host. */
    public List<GatewayEffect> rateMessageReceived(RateMessage message, long now) {
        applyRateDecisions(rateLimiter.messageReceived(message, now + suspendedMillis), now);
        return drainEffects();
    }

    /** Handles a report of another host. */
    public List<GatewayEffect> peerReportReceived(PeerReport report, long now) {
        reportAggregator.reportReceived(report, now).ifPresent(othersReport -> fleet.reportReceived(othersReport, now));
        dispatchAll(now);
        return drainEffects();
    }

    /**
     * Records that this host shuts down. A request with a later deadline is refused from now on, since it might be cut off.
     *
     * @param at the time at which the host ends
     */
    public void stopping(long at) {
        endsAt = at;
    }

    /** Gives all open requests their final answers, because this host ends now. */
    public List<GatewayEffect> endRequests() {
        for (Exchange exchange : List.copyOf(exchanges.values())) {
            boolean unsent = exchange.running.isEmpty() && !exchange.mayHaveRun;
            closeWithRefusal(
                    exchange,
                    unsent ? RefusalReason.STOPPING : RefusalReason.LOST_ANSWER,
                    unsent ? withJitter(MIN_RETRY_AFTER_MILLIS) : 0);
        }
        return drainEffects();
    }

    /** Returns the time until this host's next report is due, in milliseconds. */
    public long millisUntilReport(long now) {
        return reportAggregator.millisUntilDue(now);
    }

    /** Returns whether this host's next report is due, and if so schedules the one after it. */
    public boolean reportDue(long now) {
        return reportAggregator.due(now);
    }

    /** Returns the collector of this host's group, if it is another host. */
    public Optional<FleetMember> collector() {
        return reportAggregator.collector();
    }

    /** Returns whether requests wait for a target or a token. */
    public boolean hasWaitingRequests() {
        return rateLimiter.hasPendingRequests() || waiting.any();
    }

    /**
     * Returns the reports to send, each with its recipients: this host's own, and aggregates of those that it collects.
     *
     * @param own this host's report
     * @param grantor the host that needs the requested shard keys
     */
    public List<ReportAggregator.Outgoing> outgoingReports(PeerReport own, Optional<HostId> grantor, long now) {
        return reportAggregator.outgoing(own, grantor, now);
    }

    /** Returns the report of this host, and resets what is counted per report. */
    public PeerReport report(long now) {
        List<PeerReport.TargetUse> uses = new ArrayList<>();
        Map<TargetId, Integer> waitingForOwner = waiting.countByOwner();
        for (TargetState target : directory.all()) {
            TargetState.Completions completions = target.drainCompletions();
            int waitingForTarget = waitingForOwner.getOrDefault(target.entry().id(), 0);
            if (target.inFlight() > 0 || waitingForTarget > 0 || completions.count() > 0) {
                long age = now - target.slowdownAt();
                uses.add(new PeerReport.TargetUse(
                        target.nameHash(),
                        target.inFlight(),
                        waitingForTarget,
                        completions.count(),
                        (int) Math.round(completions.meanMillis()),
                        target.slowdownPercent(),
                        age < 1_000 ? (int) age : -1));
            }
        }
        Map<ServiceName, int[]> keys = new HashMap<>();
        requestedKeys.forEach((service, list) ->
                keys.put(service, list.stream().mapToInt(Integer::intValue).toArray()));
        requestedKeys.clear();
        return new PeerReport(
                settings.host(),
                settings.incarnation(),
                ++lastReportSequence,
                Map.of(),
                uses,
                waiting.countByService(),
                waiting.countByClass(),
                keys);
    }

    /** Handles a request of a caller. */
    public List<GatewayEffect> requestArrived(ArrivedRequest request, long now) {
        admit(request, now);
        return drainEffects();
    }

    private void admit(ArrivedRequest request, long now) {
        if (desired.isEmpty()) {
            refuse(request, RefusalReason.NO_DESIRED_STATE, RETRY_AFTER_UNAVAILABLE_MILLIS);
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
                refuse(request, RefusalReason.STALE_CREDENTIALS, RETRY_AFTER_UNAVAILABLE_MILLIS);
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
            refuse(request, RefusalReason.NO_TARGET, RETRY_AFTER_UNAVAILABLE_MILLIS);
            return;
        }
        long callerWaitMillis = request.waitMillis().orElse(Long.MAX_VALUE / 4) - DEADLINE_MARGIN_MILLIS;
        long deadline = now + Math.max(1, Math.min(callerWaitMillis, route.timeoutMillis()));
        if (deadline > endsAt) {
            refuse(request, customer, RefusalReason.STOPPING, withJitter(MIN_RETRY_AFTER_MILLIS));
            return;
        }
        Exchange exchange = new Exchange(request, route, service, customer, now, deadline);
        if (service.sharded()) {
            if (exchange.shardKey() < KeyRange.MIN_KEY || exchange.shardKey() > KeyRange.MAX_KEY) {
                refuse(request, RefusalReason.NO_SHARD_KEY, 0);
                return;
            }
            requestedKeys
                    .computeIfAbsent(service.name(), _ -> new ArrayList<>())
                    .add(exchange.shardKey());
        }
        retryBudget(service.name(), now).recordRequest();
        OptionalLong unavailableMillis = unavailableMillis(exchange, now);
        if (unavailableMillis.isPresent()) {
            refuse(request, customer, RefusalReason.NO_TARGET, withJitter(unavailableMillis.getAsLong()));
            return;
        }
        double expectedWaitMillis = waiting.expectedWaitMillis(exchange, now);
        if (expectedWaitMillis > maxExpectedWaitMillis(exchange, now)) {
            refuse(request, customer, RefusalReason.OVERLOADED, retryAfterMillis(exchange, expectedWaitMillis));
            return;
        }
        exchanges.put(request.exchange(), exchange);
        exchangesByDeadline.add(exchange);
        if (customer.filter(CustomerSpec::limited).isEmpty()) {
            enqueue(exchange, now);
            return;
        }
        exchange.awaitsToken = true;
        applyRateDecisions(rateLimiter.acquire(customer.get().name(), request.exchange(), now + suspendedMillis), now);
    }

    /** Returns when to retry a request that no target can run now, or empty if one can or may soon. */
    private OptionalLong unavailableMillis(Exchange exchange, long now) {
        if (exchange.service.sharded()) {
            return waiting.millisUntilOwnerReturns(exchange, now);
        }
        OptionalLong untilUsable = targetSelector.millisUntilUsable(exchange.service.name(), now);
        if (untilUsable.isEmpty()) {
            return OptionalLong.of(RETRY_AFTER_UNAVAILABLE_MILLIS);
        }
        return untilUsable.getAsLong() > maxExpectedWaitMillis(exchange, now) ? untilUsable : OptionalLong.empty();
    }

    private void enqueue(Exchange exchange, long now) {
        waiting.add(exchange);
        dispatch(exchange.service.name(), now);
    }

    private void applyRateDecisions(List<RateDecision> decisions, long now) {
        for (RateDecision decision : decisions) {
            Exchange exchange = exchanges.get(decision.request());
            switch (decision) {
                case RateDecision.Admitted admitted -> tokenAcquired(exchange, admitted.token(), now);
                case RateDecision.OverRate over -> {
                    exchange.awaitsToken = false;
                    closeWithRefusal(exchange, RefusalReason.OVER_RATE, withJitter(over.millisUntilNextToken()));
                }
                case RateDecision.NoLender _ -> {
                    exchange.awaitsToken = false;
                    closeWithRefusal(exchange, RefusalReason.RATE_UNKNOWN, withJitter(RETRY_AFTER_UNAVAILABLE_MILLIS));
                }
            }
        }
    }

    private void tokenAcquired(Exchange exchange, Token token, long now) {
        exchange.awaitsToken = false;
        exchange.token = Optional.of(token);
        enqueue(exchange, now);
    }

    private ServiceSpec chooseService(Route route) {
        DesiredState state = desired.orElseThrow();
        double total =
                route.services().stream().mapToDouble(WeightedService::weight).sum();
        double drawn = random.nextDouble() * total;
        for (WeightedService weighted : route.services()) {
            drawn -= weighted.weight();
            if (drawn < 0) {
                return state.services().get(weighted.service());
            }
        }
        return route.services().isEmpty()
                ? null
                : state.services().get(route.services().getLast().service());
    }

    private long maxExpectedWaitMillis(Exchange exchange, long now) {
        double work = directory.meanServiceMillis(exchange.service.name());
        long objective = exchange.route.objectiveMillis();
        long left = exchange.deadline - now;
        return (long) Math.max(0, Math.min(left - work, objective * MAX_EXPECTED_WAIT_SHARE));
    }

    private long retryAfterMillis(Exchange exchange, double expectedWaitMillis) {
        double millis = Math.min(expectedWaitMillis, exchange.route.timeoutMillis());
        return withJitter((long) Math.max(MIN_RETRY_AFTER_MILLIS, millis - exchange.route.objectiveMillis() * 0.3));
    }

    private long withJitter(long millis) {
        return (long) (millis * (1 + 0.5 * random.nextDouble()));
    }

    private RetryBudget retryBudget(ServiceName service, long now) {
        return retryBudgets.computeIfAbsent(service, _ -> new RetryBudget(settings, fleet::hostCount, now));
    }

    private void dispatchAll(long now) {
        for (ServiceName service : waiting.services()) {
            dispatch(service, now);
        }
    }

    private void dispatch(ServiceName service, long now) {
        List<Exchange> list = waiting.forService(service);
        if (list.isEmpty()) {
            return;
        }
        if (list.size() > 1) {
            list.sort(Comparator.comparingInt((Exchange exchange) -> exchange.priority)
                    .thenComparingInt(this::inFlightOfCustomer)
                    .thenComparingLong(exchange -> exchange.arrivedAt));
        }
        boolean mayFindTarget = true;
        for (Exchange exchange : List.copyOf(list)) {
            if (exchange.done) {
                list.remove(exchange);
            } else if (mayFindTarget && now >= exchange.retryAt) {
                Optional<TargetState> target = selectTarget(exchange, now);
                if (target.isPresent()) {
                    list.remove(exchange);
                    send(exchange, target.get(), now);
                } else {
                    // If a request that may go to any target finds none, the requests behind it find none either.
                    mayFindTarget = exchange.service.sharded() || !exchange.tried.isEmpty();
                }
            }
        }
    }

    private int inFlightOfCustomer(Exchange exchange) {
        return exchange.customer
                .map(customer -> inFlightByCustomer.getOrDefault(customer.name(), 0))
                .orElse(0);
    }

    private Optional<TargetState> selectTarget(Exchange exchange, long now) {
        if (!exchange.service.sharded()) {
            return targetSelector.best(
                    exchange.service.name(), exchange.tried, crossDomainCost.millis(exchange.route), now);
        }
        return waiting.availableOwner(exchange, MAX_QUEUED_AT_OWNER, now);
    }

    private void send(Exchange exchange, TargetState target, long now) {
        exchange.waiting = false;
        exchange.attempts++;
        boolean resent = !exchange.tried.add(target.entry().id());
        exchange.token.ifPresent(rateLimiter::recordUsed);
        exchange.token = Optional.empty();
        target.sent(now);
        targetSelector.recordSend(target, now);
        Attempt attempt = new Attempt(++lastAttemptNumber, exchange, target, now, target.totalInFlight());
        attempts.put(attempt.number(), attempt);
        exchange.running.add(attempt);
        exchange.customer.ifPresent(customer -> inFlightByCustomer.merge(customer.name(), 1, Integer::sum));
        effects.add(new GatewayEffect.Send(
                attempt.number(),
                exchange.request.exchange(),
                target.entry(),
                Math.max(1, exchange.deadline - now),
                exchange.customer.map(CustomerSpec::name),
                exchange.route.repeatable(),
                resent));
    }

    /**
     * Records what a target said about itself in an answer. The incarnation that the request was sent to may have ended before, and a
     * later one have answered; therefore a pause counts for both.
     *
     * @param sentTo the entry by which the request was sent
     */
    public void signalsReceived(TargetEntry sentTo, TargetSignals signals, long now) {
        directory.target(sentTo.id()).ifPresent(target -> {
            signals.pauseMillis().ifPresent(millis -> target.pause(millis, now));
            if (target.entry().incarnation() == sentTo.incarnation()) {
                signals.load().ifPresent(load -> target.slowdownReported(load.slowdownPercent(), now));
                if (signals.leaving()) {
                    target.markLeaving(now);
                }
            }
        });
    }

    /**
     * Records how many bytes the bodies of a request and of its successful answer have.
     *
     * @param number the attempt that was answered, whose result is yet to be handled
     */
    public void bytesTransferred(long number, long bytes) {
        Attempt attempt = attempts.get(number);
        if (attempt != null) {
            crossDomainCost.recordTransfer(attempt.exchange().route, bytes);
            if (!attempt.exchange().service.sharded()) {
                crossDomainTraffic.recordAnswer(targetSelector.leavesDomain(attempt.target()), bytes);
            }
        }
    }

    /**
     * Returns the successful answers since the last call, by whether their requests left this host's failure domain. Requests
     * for shard keys don't count, since they go to the owners of their keys.
     */
    public CrossDomainTraffic.Totals drainCrossDomainTraffic() {
        return crossDomainTraffic.drain();
    }

    /** Records that a target reported itself as cold. */
    public void coldReported(TargetId id, long millis, long now) {
        directory.target(id).ifPresent(target -> target.markCold(millis, now));
    }

    /** Handles the result of an attempt. */
    public List<GatewayEffect> attemptEnded(long number, AttemptResult result, long now) {
        Attempt attempt = removeAttempt(number);
        if (attempt != null) {
            attemptEnded(attempt, result, now);
            dispatch(attempt.exchange().service.name(), now);
        }
        return drainEffects();
    }

    private Attempt removeAttempt(long number) {
        Attempt attempt = attempts.remove(number);
        if (attempt != null) {
            attempt.target().ended();
            attempt.exchange().running.remove(attempt);
            attempt.exchange()
                    .customer
                    .ifPresent(customer -> inFlightByCustomer.computeIfPresent(
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
                    exchange.retryAt = now + MISDIRECTED_RETRY_DELAY_MILLIS;
                } else {
                    target.turnedAway(now);
                }
                retryOrRefuse(exchange, RefusalReason.TURNED_AWAY, now);
            }
            case AttemptResult.NotSent _ -> {
                target.failed(true, now);
                exchange.attempts--;
                if (exchange.tried.size() < MAX_UNREACHABLE_TARGETS || exchange.service.sharded()) {
                    waiting.add(exchange);
                } else {
                    closeWithRefusal(exchange, RefusalReason.NO_TARGET, withJitter(RETRY_AFTER_UNAVAILABLE_MILLIS));
                }
            }
            case AttemptResult.Withheld _ -> {
                exchange.attempts--;
                waitForOtherTarget(exchange, now);
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
                boolean retry = exchange.running.isEmpty()
                        && exchange.mayRetry()
                        && !exchange.done
                        && !exchange.service.sharded()
                        && retryBudget(exchange.service.name(), now).trySpend(now);
                if (retry) {
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

    /** Leaves a request to targets that it was not tried at, or refuses it if none of them may get it. */
    private void waitForOtherTarget(Exchange exchange, long now) {
        if (exchange.done || !exchange.running.isEmpty()) {
            return;
        }
        boolean hasOther = !exchange.service.sharded()
                && directory.forService(exchange.service.name()).stream()
                        .anyMatch(other ->
                                !exchange.tried.contains(other.entry().id()) && targetSelector.usable(other, now));
        if (hasOther) {
            waiting.add(exchange);
        } else {
            closeWithRefusal(
                    exchange,
                    exchange.mayHaveRun ? RefusalReason.LOST_ANSWER : RefusalReason.OVERLOADED,
                    retryAfterMillis(exchange, waiting.expectedWaitMillis(exchange, now)));
        }
    }

    private void retryOrRefuse(Exchange exchange, RefusalReason reason, long now) {
        if (exchange.done || !exchange.running.isEmpty()) {
            return;
        }
        if (exchange.mayRetry() && retryBudget(exchange.service.name(), now).trySpend(now)) {
            waiting.add(exchange);
            return;
        }
        closeWithRefusal(
                exchange,
                exchange.mayHaveRun ? RefusalReason.LOST_ANSWER : reason,
                retryAfterMillis(exchange, waiting.expectedWaitMillis(exchange, now)));
    }

    private void closeWithRefusal(Exchange exchange, RefusalReason reason, long retryAfterMillis) {
        if (exchange.done) {
            return;
        }
        effects.add(new GatewayEffect.Refuse(
                exchange.request.exchange(), reason, retryAfterMillis, exchange.customer.map(CustomerSpec::name)));
        close(exchange);
    }

    private void close(Exchange exchange) {
        exchange.done = true;
        exchanges.remove(exchange.request.exchange());
        for (Attempt other : List.copyOf(exchange.running)) {
            removeAttempt(other.number());
            effects.add(new GatewayEffect.Cancel(other.number()));
        }
        waiting.remove(exchange);
        exchange.token.ifPresent(rateLimiter::recordReturned);
        if (exchange.awaitsToken) {
            exchange.customer.ifPresent(customer -> rateLimiter.cancel(customer.name(), exchange.request.exchange()));
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

    /** Closes the exchange of a caller that has disconnected. */
    public List<GatewayEffect> callerDisconnected(long exchangeNumber, long now) {
        Exchange exchange = exchanges.get(exchangeNumber);
        if (exchange != null) {
            close(exchange);
            dispatch(exchange.service.name(), now);
        }
        return drainEffects();
    }

    /** Performs the periodic work: expiry of peers and requests, pending rate decisions and dispatching. */
    public List<GatewayEffect> tick(long now) {
        fleet.tick(reportAggregator.staleAfterMillis(), now);
        applyRateDecisions(rateLimiter.tick(now + suspendedMillis), now);
        while (!exchangesByDeadline.isEmpty()
                && (exchangesByDeadline.peek().done || exchangesByDeadline.peek().deadline <= now)) {
            expired(exchangesByDeadline.poll());
        }
        refuseUnservable(now);
        dispatchAll(now);
        return drainEffects();
    }

    private void expired(Exchange exchange) {
        if (exchange.done) {
            return;
        }
        boolean unsent = exchange.running.isEmpty() && !exchange.mayHaveRun;
        closeWithRefusal(
                exchange,
                unsent ? RefusalReason.EXPIRED_UNSENT : RefusalReason.EXPIRED,
                unsent ? withJitter(MIN_RETRY_AFTER_MILLIS) : 0);
    }

    /** Refuses requests that can't be served in time, because the caller does better to retry later than to keep waiting. */
    private void refuseUnservable(long now) {
        for (ServiceName service : waiting.services()) {
            for (Exchange exchange : List.copyOf(waiting.forService(service))) {
                OptionalLong unavailableMillis = unavailableMillis(exchange, now);
                double maxWaitMillis = exchange.route.objectiveMillis() * MAX_UNSENT_WAIT_SHARE;
                boolean overdue = exchange.attempts == 0 && now - exchange.arrivedAt > maxWaitMillis;
                if (unavailableMillis.isPresent() || overdue) {
                    closeWithRefusal(
                            exchange,
                            exchange.mayHaveRun ? RefusalReason.LOST_ANSWER : RefusalReason.NO_TARGET,
                            withJitter(unavailableMillis.orElse(RETRY_AFTER_UNAVAILABLE_MILLIS / 2)));
                }
            }
        }
    }
}
