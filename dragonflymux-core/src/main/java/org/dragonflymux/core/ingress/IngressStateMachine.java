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

/**
 * Handles callers' requests: authenticates and admits each request, forwards it to the dispatcher of its key, and
 * answers the caller. A response says that the request did not run only if that is certain.
 */
public final class IngressStateMachine implements AdmissionStateMachine.Listener {

    /** The interval at which a waiting request looks up its owner again while the table is unchanged. */
    public static final Duration OWNER_LOOKUP_INTERVAL = Duration.ofMillis(40);

    /** The minimum interval between requests for the newest table of a service. */
    public static final Duration MIN_TABLE_REQUEST_INTERVAL = Duration.ofMillis(100);

    /** The maximum number of retries of a repeatable request that may have run. */
    public static final int MAX_RETRIES = 2;

    private static final int MAX_KEY_CHARACTERS = 512;

    private final HostId self;
    private final ConfigurationReplica replica;
    private final RouteCache routeCache;
    private final DispatchStateMachine dispatch;
    private final Outbox outbox;
    private final Map<ServiceName, Instant> tableRequestedAt = new HashMap<>();
    private final RetryBudget retryBudget = RetryBudget.full();
    private final Map<Long, PendingRequest> pending = new LinkedHashMap<>();
    private AdmissionStateMachine admission;
    private BiConsumer<Collection<HostId>, Instant> tableRefresh = (_, _) -> {};
    private CredentialRegistry credentials = CredentialRegistry.of(List.of());

    private IngressStateMachine(
            HostId self,
            ConfigurationReplica replica,
            RouteCache routeCache,
            DispatchStateMachine dispatch,
            Outbox outbox) {
        this.self = self;
        this.replica = replica;
        this.routeCache = routeCache;
        this.dispatch = dispatch;
        this.outbox = outbox;
    }

    /** Returns a state machine without requests. {@link #setAdmission} must be called before it is used. */
    public static IngressStateMachine of(
            HostId self,
            ConfigurationReplica replica,
            RouteCache routeCache,
            DispatchStateMachine dispatch,
            Outbox outbox) {
        return new IngressStateMachine(self, replica, routeCache, dispatch, outbox);
    }

    /** Sets the state machine that supplies rate-limit tokens. */
    public void setAdmission(AdmissionStateMachine stateMachine) {
        this.admission = stateMachine;
    }

    /** Sets the function that requests newer configuration entries from the given hosts. */
    public void setTableRefresh(BiConsumer<Collection<HostId>, Instant> refresh) {
        this.tableRefresh = refresh;
    }

    /** Applies changed customer documents. */
    public void applyCustomers() {
        credentials = CredentialRegistry.of(replica.all(CustomerDocument.class));
    }

    /** Handles a request from a caller. */
    public void handleRequest(long id, CallerRequest caller, Instant now) {
        retryBudget.recordRequest();
        Either<RefusalReason, PendingRequest> checked = validate(id, caller, now);
        if (checked.isLeft()) {
            answer(id, caller, Outcome.Refused.of(checked.getLeft()));
            return;
        }
        pending.put(id, checked.get());
        admission.requestToken(id, checked.get().customer(), now);
    }

    private void answer(long id, CallerRequest caller, Outcome outcome) {
        outbox.add(new Effect.AnswerCaller(id, caller.service(), null, outcome));
    }

    private Either<RefusalReason, PendingRequest> validate(long id, CallerRequest caller, Instant now) {
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
            waiting.awaitOwner(now);
            route(waiting, now);
        }
    }

    @Override
    public void refused(long request, RefusalReason reason, Duration retryAfter, Instant now) {
        PendingRequest waiting = pending.get(request);
        if (waiting != null) {
            complete(waiting, new Outcome.Refused(reason, retryAfter));
        }
    }

    private void route(PendingRequest request, Instant now) {
        Optional<Routes> routes = routeCache.routes(request.request().service());
        if (routes.isEmpty()) {
            request.awaitOwner(now.plus(OWNER_LOOKUP_INTERVAL));
            return;
        }
        request.recordLookup(routes.get().revision());
        int unit = routes.get().unit(KeyHash.of(request.request().key()));
        Optional<Lane> lane = routes.get()
                .owner(unit)
                .filter(found -> found.state() == LaneState.OPEN && found.dispatcher() != null)
                .filter(found -> !routes.get().moving(unit));
        if (lane.isEmpty()) {
            request.awaitOwner(now.plus(OWNER_LOOKUP_INTERVAL));
            return;
        }
        send(request, lane.get().dispatcher(), now);
    }

    private void send(PendingRequest request, HostId dispatcher, Instant now) {
        if (self.equals(dispatcher)) {
            request.awaitOutcome(dispatcher);
            dispatch.submit(
                    request.request(),
                    request.deadline(),
                    now,
                    (outcome, at) -> handleOutcome(request.id(), outcome, at));
            return;
        }
        Optional<HostRecord> host = replica.host(dispatcher);
        if (host.isEmpty()) {
            request.awaitOwner(now.plus(OWNER_LOOKUP_INTERVAL));
            return;
        }
        request.awaitOutcome(dispatcher);
        long remaining = Duration.between(now, request.deadline()).toMillis();
        outbox.send(host.get().peerAddress(), new PeerMessage.Forward(request.id(), request.request(), remaining));
    }

    /** Handles the outcome reported by a dispatcher. */
    public void handleOutcome(long id, Outcome outcome, Instant now) {
        PendingRequest request = pending.get(id);
        if (request == null || request.stage() != PendingRequest.Stage.OUTCOME) {
            return;
        }
        switch (outcome) {
            case Outcome.Refused refused
            when refused.reason().retryable() -> {
                requestTable(request, now);
                request.awaitOwner(now.plus(OWNER_LOOKUP_INTERVAL));
            }
            case Outcome.Unknown unknown when mayRetry(request, unknown) -> retry(request, now);
            default -> complete(request, withoutFalseRefusal(request, outcome));
        }
    }

    private boolean mayRetry(PendingRequest request, Outcome.Unknown unknown) {
        return request.repeatable()
                && unknown.reason() != UnknownReason.DEADLINE_PASSED
                && request.retries() < MAX_RETRIES
                && retryBudget.trySpend();
    }

    private void retry(PendingRequest request, Instant now) {
        outbox.note(new Observation.Retried(request.request().service()));
        request.retry(now.plus(OWNER_LOOKUP_INTERVAL));
    }

    // After an attempt with an unknown result, a refusal does not imply that the request did not run.
    private static Outcome withoutFalseRefusal(PendingRequest request, Outcome outcome) {
        boolean contradicted = request.mayHaveRun() && outcome instanceof Outcome.Refused;
        return contradicted ? new Outcome.Unknown(UnknownReason.TARGET_LOST) : outcome;
    }

    /** Handles the failure to deliver a forwarded request, or the loss of the connection to its dispatcher. */
    public void forwardFailed(long id, boolean mayHaveArrived, Instant now) {
        PendingRequest request = pending.get(id);
        if (request == null || request.stage() != PendingRequest.Stage.OUTCOME) {
            return;
        }
        if (mayHaveArrived) {
            handleOutcome(id, new Outcome.Unknown(UnknownReason.DISPATCHER_LOST), now);
        } else {
            requestTable(request, now);
            request.awaitOwner(now.plus(OWNER_LOOKUP_INTERVAL));
        }
    }

    // The dispatcher may have changed; the assigner and the standby have the newest table.
    private void requestTable(PendingRequest request, Instant now) {
        ServiceName service = request.request().service();
        Instant requestedAt = tableRequestedAt.getOrDefault(service, Instant.MIN);
        boolean recentlyRequested =
                !requestedAt.equals(Instant.MIN) && now.isBefore(requestedAt.plus(MIN_TABLE_REQUEST_INTERVAL));
        if (recentlyRequested) {
            return;
        }
        tableRequestedAt.put(service, now);
        routeCache.routes(service).map(Routes::table).ifPresent(table -> {
            List<HostId> writers = new ArrayList<>();
            writers.add(table.assigner());
            writers.add(table.standby());
            writers.removeIf(Objects::isNull);
            tableRefresh.accept(writers, now);
        });
    }

    private void complete(PendingRequest request, Outcome outcome) {
        pending.remove(request.id());
        CustomerName customer = request.customer().name();
        admission.cancel(request.id(), customer);
        outbox.add(new Effect.AnswerCaller(request.id(), request.request().service(), customer, outcome));
    }

    /**
     * Looks up the owners of waiting requests again, and ends requests whose deadline passed or whose dispatcher is
     * gone.
     */
    public void tick(Instant now) {
        for (PendingRequest request : new ArrayList<>(pending.values())) {
            if (!now.isBefore(request.deadline())) {
                complete(request, outcomeAtDeadline(request));
            } else if (request.stage() == PendingRequest.Stage.OWNER) {
                lookUpAgain(request, now);
            } else if (request.stage() == PendingRequest.Stage.OUTCOME && dispatcherGone(request)) {
                handleOutcome(request.id(), new Outcome.Unknown(UnknownReason.DISPATCHER_LOST), now);
            }
        }
    }

    private void lookUpAgain(PendingRequest request, Instant now) {
        long revision = routeCache
                .routes(request.request().service())
                .map(Routes::revision)
                .orElse(0L);
        if (request.lookupDue(revision, now)) {
            route(request, now);
        }
    }

    private boolean dispatcherGone(PendingRequest request) {
        return !self.equals(request.dispatcher())
                && replica.host(request.dispatcher()).isEmpty();
    }

    private Outcome outcomeAtDeadline(PendingRequest request) {
        return switch (request.stage()) {
            case TOKEN -> Outcome.Refused.of(RefusalReason.RATE_UNCONFIRMED);
            case OWNER ->
                request.mayHaveRun()
                        ? new Outcome.Unknown(UnknownReason.DEADLINE_PASSED)
                        : Outcome.Refused.of(RefusalReason.NO_OWNER);
            case OUTCOME -> new Outcome.Unknown(UnknownReason.DEADLINE_PASSED);
        };
    }

    /** Returns whether any caller is waiting for a response. */
    public boolean hasPendingRequests() {
        return !pending.isEmpty();
    }

    /** Returns the number of callers waiting for a response. */
    public int pendingCount() {
        return pending.size();
    }
}
