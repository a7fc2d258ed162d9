package org.dragonflymux.gateway.store;

import org.dragonflymux.core.balance.TargetEntry;
import org.dragonflymux.core.desired.DesiredState;
import org.dragonflymux.core.name.FailureDomain;

/** A decoded record that operators or targets keep in the store. */
public sealed interface StoreRecord {

    /**
     * The desired state, as set by operators.
     *
     * @param state the state
     */
    record Desired(DesiredState state) implements StoreRecord {}

    /**
     * The entry of a target.
     *
     * @param entry the entry
     */
    record Target(TargetEntry entry) implements StoreRecord {}

    /**
     * The instruction to send no work to a failure domain.
     *
     * @param domain the failure domain
     */
    record Drain(FailureDomain domain) implements StoreRecord {}
}
