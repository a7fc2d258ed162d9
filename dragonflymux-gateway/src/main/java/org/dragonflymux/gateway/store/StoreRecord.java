package org.dragonflymux.gateway.store;

import org.dragonflymux.core.balance.TargetEntry;
import org.dragonflymux.core.desired.DesiredState;
import org.dragonflymux.core.name.FailureDomain;

/** What others keep in the store, decoded. */
public sealed interface StoreRecord {

    /**
     * The operators' desired state.
     *
     * @param state the state
     */
    record Desired(DesiredState state) implements StoreRecord {}

    /**
     * A target's entry.
     *
     * @param entry the entry
     */
    record Target(TargetEntry entry) implements StoreRecord {}

    /**
     * The wish that a failure domain gets no work.
     *
     * @param domain the failure domain
     */
    record Drain(FailureDomain domain) implements StoreRecord {}
}
