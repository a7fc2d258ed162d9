package org.dragonflymux.core.ingress;

import io.vavr.control.Either;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.function.BiConsumer;
import org.dragonflymux.core.admission.AdmissionStateMachine;
import org.dragonflymux.core.assignment.KeyHash;
import org.dragonflymux.core.assignment.Routes;
import org.dragonflymux.core.configuration.ConfigurationReplica;
import org.dragonflymux.core.credential.CredentialRegistry;
import org.dragonflymux.core.dispatch.DispatchStateMachine;
import org.dragonflymux.core.dispatch.RouteCache;
import org.dragonflymux.core.document.CustomerDocument;
import org.dragonflymux.core.document.DocumentKey;
import org.dragonflymux.core.document.HostRecord;
import org.dragonflymux.core.document.Lane;
import org.dragonflymux.core.document.LaneState;
import org.dragonflymux.core.document.ServiceDocument;
import org.dragonflymux.core.idempotency.IdempotencyKey;
import org.dragonflymux.core.message.CallerRequest;
import org.dragonflymux.core.message.Effect;
import org.dragonflymux.core.message.Observation;
import org.dragonflymux.core.message.Outbox;
import org.dragonflymux.core.message.Outcome;
import org.dragonflymux.core.message.PeerMessage;
import org.dragonflymux.core.message.RefusalReason;
import org.dragonflymux.core.message.ServiceRequest;
import org.dragonflymux.core.message.UnknownReason;
import org.dragonflymux.core.name.CustomerName;
import org.dragonflymux.core.name.HostId;
import org.dragonflymux.core.name.ServiceName;

/** The duty towards callers: admits each request, brings it to its key's dispatcher and answers with the truth. */
public final class IngressStateMachine implements AdmissionStateMachine.Listener {

    /** After what time a held request looks for its owner again although the table has not changed. */
    public static final Duration HOLD = Duration.ofMillis(40);

    /** How often the hosts that write a table are asked for it at most. */
    public static final Duration TABLE_QUESTION_GAP = Duration.ofMillis(100);

    /** How often a repeatable request that may have run is sent again. */
    public static final int MAX_RETRIES = 2;

    private static final int MAX_KEY_CHARACTERS = 512;

    private final HostId self;
    private final ConfigurationReplica replica;
    private final RouteCache routes;
    private final DispatchStateMachine dispatch;
    private final Outbox outbox;
    private final Map<ServiceName, Instant> tableAskedAt = new HashMap<>();
    private final RetryBudget budget = RetryBudget.full();
    private final Map<Long, PendingRequest> pending = new LinkedHashMap<>();
    private AdmissionStateMachine admission;
    private BiConsumer<Collection<HostId>, Instant> tableQuestion = (_, _) -> {};
    private CredentialRegistry credentials = CredentialRegistry.of(List.of());

    private IngressStateMachine(
            HostId self,
            ConfigurationReplica replica,
            RouteCache routes,
            DispatchStateMachine dispatch,
            Outbox outbox) {
        this.self = self;
        this.replica = replica;
        this.routes = routes;
        this.dispatch = dispatch;
        this.outbox = outbox;
    }

    /** Returns the duty of a host that has no request yet; {@link #admitBy} completes it. */
    public static IngressStateMachine of(
            HostId self,
            ConfigurationReplica replica,
            RouteCache routes,
            DispatchStateMachine dispatch,
            Outbox outbox) {
        return new IngressStateMachine(self, replica, routes, dispatch, outbox);
    }

    /** Sets where tokens come from. */
    public void admitBy(AdmissionStateMachine duty) {
        this.admission = duty;
    }

    /** Sets how to ask hosts for what is newer than this host's copy. */
    public void askTablesBy(BiConsumer<Collection<HostId>, Instant> question) {
        this.tableQuestion = question;
    }

    /** Follows changed customers. */
    public void followCustomers() {
        credentials = CredentialRegistry.of(replica.all(CustomerDocument.class));
    }

    /** Takes in a caller's request. */
    public void arrived(long id, CallerRequest caller, Instant now) {
        budget.requestArrived();
        Either<RefusalReason, PendingRequest> checked = check(id, caller, now);
        if (checked.isLeft()) {
            answer(id, caller, Outcome.Refused.of(checked.getLeft()));
            return;
        }
        pending.put(id, checked.get());
        admission.arrive(id, checked.get().customer(), now);
    }

    private void answer(long id, CallerRequest caller, Outcome outcome) {
        outbox.add(new Effect.AnswerCaller(id, caller.service(), null, outcome));
    }

    private Either<RefusalReason, PendingRequest> check(long id, CallerRequest caller, Instant now) {
        Optional<CustomerDocument> customer =
                caller.credential() == null ? Optional.empty() : credentials.customer(caller.credential());
        if (customer.isEmpty()) {
            return Either.left(RefusalReason.UNAUTHENTICATED);
        }
        Optional<ServiceDocument> found = replica.find(DocumentKey.service(caller.service()), ServiceDocument.class);
        if (found.isEmpty()) {
            return Either.left(RefusalReason.UNKNOWN_SERVICE);
        }
        ServiceDocument service = found.get();
        if (replica.staleness(now).compareTo(service.credentialTrust()) > 0) {
            return Either.left(RefusalReason.CREDENTIALS_UNCONFIRMED);
        }
        if (caller.key().isEmpty() || caller.key().length() > MAX_KEY_CHARACTERS) {
            return Either.left(RefusalReason.MALFORMED_KEY);
        }
        boolean repeatable = service.repeatable(caller.method());
        if (!repeatable) {
            Either<RefusalReason, IdempotencyKey> key = IdempotencyKey.parse(caller.idempotencyKey(), now);
            if (key.isLeft()) {
                return Either.left(key.getLeft());
            }
        }
        Instant latest = now.plusMillis(service.deadlineMillis());
        Instant deadline = caller.deadline() == null || caller.deadline().isAfter(latest) ? latest : caller.deadline();
        ServiceRequest request = new ServiceRequest(
                caller.service(),
                customer.get().name(),
                caller.key(),
                caller.method(),
                caller.path(),
                caller.headers(),
                caller.body(),
                caller.idempotencyKey());
        return Either.right(PendingRequest.of(id, request, customer.get(), repeatable, deadline));
    }

    @Override
    public void admitted(long request, Instant now) {
        PendingRequest waiting = pending.get(request);
        if (waiting != null) {
            outbox.note(new Observation.Admitted(waiting.customer().name()));
            waiting.hold(now);
            route(waiting, now);
        }
    }

    @Override
    public void refused(long request, RefusalReason reason, Duration retryAfter, Instant now) {
        PendingRequest waiting = pending.get(request);
        if (waiting != null) {
            finish(waiting, new Outcome.Refused(reason, retryAfter));
        }
    }

    private void route(PendingRequest request, Instant now) {
        Optional<Routes> table = routes.routes(request.request().service());
        if (table.isEmpty()) {
            request.hold(now.plus(HOLD));
            return;
        }
        request.lookedUp(table.get().revision());
        int unit = table.get().unit(KeyHash.of(request.request().key()));
        Optional<Lane> lane = table.get()
                .owner(unit)
                .filter(found -> found.state() == LaneState.OPEN && found.dispatcher() != null)
                .filter(found -> !table.get().moving(unit));
        if (lane.isEmpty()) {
            request.hold(now.plus(HOLD));
            return;
        }
        send(request, lane.get().dispatcher(), now);
    }

    private void send(PendingRequest request, HostId dispatcher, Instant now) {
        if (self.equals(dispatcher)) {
            request.sent(dispatcher);
            dispatch.submit(
                    request.request(), request.deadline(), now, (outcome, at) -> outcome(request.id(), outcome, at));
            return;
        }
        Optional<HostRecord> host = replica.host(dispatcher);
        if (host.isEmpty()) {
            request.hold(now.plus(HOLD));
            return;
        }
        request.sent(dispatcher);
        long remaining = Duration.between(now, request.deadline()).toMillis();
        outbox.send(host.get().peerAddress(), new PeerMessage.Forward(request.id(), request.request(), remaining));
    }

    /** Takes in the outcome that a dispatcher reports. */
    public void outcome(long id, Outcome outcome, Instant now) {
        PendingRequest request = pending.get(id);
        if (request == null || request.stage() != PendingRequest.Stage.OUTCOME) {
            return;
        }
        switch (outcome) {
            case Outcome.Refused refused
            when refused.reason().passing() -> {
                askForTable(request, now);
                request.hold(now.plus(HOLD));
            }
            case Outcome.Unknown unknown when retriable(request, unknown) -> retry(request, now);
            default -> finish(request, truthful(request, outcome));
        }
    }

    private boolean retriable(PendingRequest request, Outcome.Unknown unknown) {
        return request.repeatable()
                && unknown.reason() != UnknownReason.DEADLINE_PASSED
                && request.retries() < MAX_RETRIES
                && budget.trySpend();
    }

    private void retry(PendingRequest request, Instant now) {
        outbox.note(new Observation.Retried(request.request().service()));
        request.retry(now.plus(HOLD));
    }

    // A refusal after an attempt whose end is not known does not mean that the request did not run.
    private static Outcome truthful(PendingRequest request, Outcome outcome) {
        boolean untrue = request.mayHaveRun() && outcome instanceof Outcome.Refused;
        return untrue ? new Outcome.Unknown(UnknownReason.TARGET_LOST) : outcome;
    }

    /** Takes in that a forwarded request could not be delivered, or that its link broke. */
    public void forwardFailed(long id, boolean mayHaveArrived, Instant now) {
        PendingRequest request = pending.get(id);
        if (request == null || request.stage() != PendingRequest.Stage.OUTCOME) {
            return;
        }
        if (mayHaveArrived) {
            outcome(id, new Outcome.Unknown(UnknownReason.DISPATCHER_LOST), now);
        } else {
            askForTable(request, now);
            request.hold(now.plus(HOLD));
        }
    }

    // The dispatcher may have changed: the hosts that write the table know first.
    private void askForTable(PendingRequest request, Instant now) {
        ServiceName service = request.request().service();
        Instant askedAt = tableAskedAt.getOrDefault(service, Instant.MIN);
        boolean lately = !askedAt.equals(Instant.MIN) && now.isBefore(askedAt.plus(TABLE_QUESTION_GAP));
        if (lately) {
            return;
        }
        tableAskedAt.put(service, now);
        routes.routes(service).map(Routes::table).ifPresent(table -> {
            List<HostId> pair = new ArrayList<>();
            pair.add(table.assigner());
            pair.add(table.standby());
            pair.removeIf(Objects::isNull);
            tableQuestion.accept(pair, now);
        });
    }

    private void finish(PendingRequest request, Outcome outcome) {
        pending.remove(request.id());
        CustomerName customer = request.customer().name();
        admission.abandon(request.id(), customer);
        outbox.add(new Effect.AnswerCaller(request.id(), request.request().service(), customer, outcome));
    }

    /** Routes held requests again, and ends those whose deadline passed or whose dispatcher is gone. */
    public void tick(Instant now) {
        for (PendingRequest request : new ArrayList<>(pending.values())) {
            if (!now.isBefore(request.deadline())) {
                finish(request, expired(request));
            } else if (request.stage() == PendingRequest.Stage.OWNER) {
                routeAgain(request, now);
            } else if (request.stage() == PendingRequest.Stage.OUTCOME && dispatcherGone(request)) {
                outcome(request.id(), new Outcome.Unknown(UnknownReason.DISPATCHER_LOST), now);
            }
        }
    }

    private void routeAgain(PendingRequest request, Instant now) {
        long revision =
                routes.routes(request.request().service()).map(Routes::revision).orElse(0L);
        if (request.routable(revision, now)) {
            route(request, now);
        }
    }

    private boolean dispatcherGone(PendingRequest request) {
        return !self.equals(request.askedHost())
                && replica.host(request.askedHost()).isEmpty();
    }

    private Outcome expired(PendingRequest request) {
        return switch (request.stage()) {
            case TOKEN -> Outcome.Refused.of(RefusalReason.RATE_UNCONFIRMED);
            case OWNER ->
                request.mayHaveRun()
                        ? new Outcome.Unknown(UnknownReason.DEADLINE_PASSED)
                        : Outcome.Refused.of(RefusalReason.NO_OWNER);
            case OUTCOME -> new Outcome.Unknown(UnknownReason.DEADLINE_PASSED);
        };
    }

    /** Tells whether any caller waits for an answer. */
    public boolean busy() {
        return !pending.isEmpty();
    }

    /** Returns how many callers wait for an answer. */
    public int waiting() {
        return pending.size();
    }
}
