package org.dragonflymux.core.ingress;

import java.time.Instant;
import org.dragonflymux.core.document.CustomerDocument;
import org.dragonflymux.core.message.ServiceRequest;
import org.dragonflymux.core.name.HostId;

/** A caller's request that has not been answered. */
final class PendingRequest {

    /** What a request is waiting for. */
    enum Stage {
        /** A token of the customer's rate limit. */
        TOKEN,
        /** An open lane of the key's owner, with a known dispatcher. */
        OWNER,
        /** The outcome from the dispatcher. */
        OUTCOME
    }

    private final long id;
    private final ServiceRequest request;
    private final CustomerDocument customer;
    private final boolean repeatable;
    private final Instant deadline;
    private Stage stage = Stage.TOKEN;
    private boolean mayHaveRun;
    private int retries;
    private Instant retryAt = Instant.MIN;
    private long lookupRevision;
    private HostId dispatcher;

    private PendingRequest(
            long id, ServiceRequest request, CustomerDocument customer, boolean repeatable, Instant deadline) {
        this.id = id;
        this.request = request;
        this.customer = customer;
        this.repeatable = repeatable;
        this.deadline = deadline;
    }

    static PendingRequest of(
            long id, ServiceRequest request, CustomerDocument customer, boolean repeatable, Instant deadline) {
        return new PendingRequest(id, request, customer, repeatable, deadline);
    }

    long id() {
        return id;
    }

    ServiceRequest request() {
        return request;
    }

    CustomerDocument customer() {
        return customer;
    }

    boolean repeatable() {
        return repeatable;
    }

    Instant deadline() {
        return deadline;
    }

    Stage stage() {
        return stage;
    }

    boolean mayHaveRun() {
        return mayHaveRun;
    }

    int retries() {
        return retries;
    }

    HostId dispatcher() {
        return dispatcher;
    }

    /** Returns whether the owner should be looked up again: the table has changed, or the retry delay has passed. */
    boolean lookupDue(long tableRevision, Instant now) {
        return stage == Stage.OWNER && (tableRevision != lookupRevision || !now.isBefore(retryAt));
    }

    void awaitOwner(Instant until) {
        stage = Stage.OWNER;
        retryAt = until;
        dispatcher = null;
    }

    void retry(Instant until) {
        retries++;
        mayHaveRun = true;
        awaitOwner(until);
    }

    void recordLookup(long tableRevision) {
        lookupRevision = tableRevision;
    }

    void awaitOutcome(HostId forwardedTo) {
        stage = Stage.OUTCOME;
        dispatcher = forwardedTo;
    }
}
