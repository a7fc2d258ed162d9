package org.dragonflymux.core.ingress;

import java.time.Instant;
import org.dragonflymux.core.document.CustomerDocument;
import org.dragonflymux.core.message.ServiceRequest;
import org.dragonflymux.core.name.HostId;

/** A caller's request that has no outcome yet. */
final class PendingRequest {

    /** What a request waits for. */
    enum Stage {
        /** A token of the customer's rate. */
        TOKEN,
        /** A moment at which the key's owner can be reached. */
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
    private long askedRevision;
    private HostId askedHost;

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

    HostId askedHost() {
        return askedHost;
    }

    /** Tells whether the owner is worth looking up again. */
    boolean routable(long tableRevision, Instant now) {
        return stage == Stage.OWNER && (tableRevision != askedRevision || !now.isBefore(retryAt));
    }

    void hold(Instant until) {
        stage = Stage.OWNER;
        retryAt = until;
        askedHost = null;
    }

    void retry(Instant until) {
        retries++;
        mayHaveRun = true;
        hold(until);
    }

    void lookedUp(long tableRevision) {
        askedRevision = tableRevision;
    }

    void sent(HostId dispatcher) {
        stage = Stage.OUTCOME;
        askedHost = dispatcher;
    }
}
