package org.dragonflymux.core.shard;

import java.util.Optional;

/** The result of a grant or release call to a target. */
public sealed interface GrantResult {

    /**
     * The target carried out the call.
     *
     * @param handover the handover token that the target returned, if any
     * @param proofLost whether the target ended the last proven connection with its answer, so that without a valid lease no grant
     *     can be sent to it any longer
     */
    record Done(Optional<String> handover, boolean proofLost) implements GrantResult {

        public Done(Optional<String> handover) {
            this(handover, false);
        }
    }

    /** The target refused the call because it has seen a higher fencing token. */
    record Fenced() implements GrantResult {}

    /**
     * Another process answers at the target's address. The target's process has ended, since it would hold the address
     * otherwise, and so have its grants.
     */
    record TargetEnded() implements GrantResult {}

    /** The call never reached the target. */
    record NotSent() implements GrantResult {}

    /** It is unknown whether the target carried out the call. */
    record Unknown() implements GrantResult {}
}
