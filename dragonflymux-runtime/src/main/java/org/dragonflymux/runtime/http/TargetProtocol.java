package org.dragonflymux.runtime.http;

/** The headers and paths that entry hosts and targets agree on; described in docs/TARGETS.md. */
public final class TargetProtocol {

    /** The path that takes grants. */
    public static final String GRANT_PATH = "dragonflymux/grant";

    /** The fencing token of the grant that a request is sent under. */
    public static final String FENCE_HEADER = "Dragonfly-Fence";

    /** When the caller gives up, in milliseconds since 1970-01-01T00:00Z. */
    public static final String DEADLINE_HEADER = "Dragonfly-Deadline";

    /** The key. */
    public static final String KEY_HEADER = "Dragonfly-Key";

    /** The customer whose credential came with the request. */
    public static final String CUSTOMER_HEADER = "Dragonfly-Customer";

    /** On an answer: the request was not run, and why. */
    public static final String NOT_RUN_HEADER = "Dragonfly-Not-Run";

    /** On an answer to a caller: whether the request ran, as ran, not-run or unknown. */
    public static final String EXECUTION_HEADER = "Dragonfly-Execution";

    /** The caller's idempotency key. */
    public static final String IDEMPOTENCY_HEADER = "Idempotency-Key";

    private TargetProtocol() {}
}
