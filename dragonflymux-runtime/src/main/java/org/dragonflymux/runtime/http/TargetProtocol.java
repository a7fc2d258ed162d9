package org.dragonflymux.runtime.http;

/** The headers and paths of the HTTP protocol between entry hosts and targets, which docs/TARGETS.md specifies. */
public final class TargetProtocol {

    /** The path to which grants are posted. */
    public static final String GRANT_PATH = "dragonflymux/grant";

    /** The fencing token of the grant under which a request is sent. */
    public static final String FENCE_HEADER = "Dragonfly-Fence";

    /** The time at which the caller stops waiting, in milliseconds since 1970-01-01T00:00Z. */
    public static final String DEADLINE_HEADER = "Dragonfly-Deadline";

    /** The decoded key of the request, which determines its target. */
    public static final String KEY_HEADER = "Dragonfly-Key";

    /** The customer whose credential authenticated the request. */
    public static final String CUSTOMER_HEADER = "Dragonfly-Customer";

    /** On a response: the reason why the request was not run. Absent if it ran. */
    public static final String NOT_RUN_HEADER = "Dragonfly-Not-Run";

    /** On a response to a caller: whether the request ran, as {@code ran}, {@code not-run} or {@code unknown}. */
    public static final String EXECUTION_HEADER = "Dragonfly-Execution";

    /** The caller's idempotency key. */
    public static final String IDEMPOTENCY_HEADER = "Idempotency-Key";

    private TargetProtocol() {}
}
