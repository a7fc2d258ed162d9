package org.dragonflymux.core.shard;

import java.util.Optional;

/** How a call to a target's grants ended. */
public sealed interface GrantResult {

    /**
     * The target did it.
     *
     * @param handover what it hands over, if anything
     */
    record Done(Optional<String> handover) implements GrantResult {}

    /** The target knows a higher fencing token. */
    record Fenced() implements GrantResult {}

    /** The call never reached the target. */
    record NotSent() implements GrantResult {}

    /** Nobody knows whether the target did it. */
    record Unknown() implements GrantResult {}
}
