package org.dragonflymux.core.membership;

import java.util.Optional;

/** An action requested by the membership state machine. */
public sealed interface MembershipEffect {

    /**
     * Obtain a lease.
     *
     * @param millis the requested validity of the lease
     */
    record ObtainLease(long millis) implements MembershipEffect {}

    /**
     * Renew the lease.
     *
     * @param lease the id of the lease
     */
    record RenewLease(long lease) implements MembershipEffect {}

    /**
     * Write the record of this host, bound to the lease.
     *
     * @param lease the id of the lease
     * @param record the record of this host
     */
    record Register(long lease, FleetMember record) implements MembershipEffect {}

    /**
     * Become the grantor if both keys are unchanged.
     *
     * @param lease the id of the lease that the grantor's key is bound to
     * @param record the record of this host
     * @param expectedRevision the expected revision of the grantor's key, 0 if the key must not exist
     * @param expectedLastGrantorRevision the expected revision of the last grantor's key, 0 if the key must not exist
     */
    record ClaimGrantorRole(long lease, FleetMember record, long expectedRevision, long expectedLastGrantorRevision)
            implements MembershipEffect {}

    /**
     * Report that a term of this host as the grantor began or ended.
     *
     * @param term the term, empty if this host is not the grantor
     */
    record GrantorRoleChanged(Optional<GrantorTerm> term) implements MembershipEffect {

        public boolean leading() {
            return term.isPresent();
        }
    }
}
