package org.dragonflymux.core.membership;

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
     * Become the grantor if the grantor's key is unchanged.
     *
     * @param lease the id of the lease that the key is bound to
     * @param record the record of this host
     * @param expectedRevision the expected revision of the key, 0 if the key must not exist
     */
    record ClaimGrantorRole(long lease, FleetMember record, long expectedRevision) implements MembershipEffect {}

    /**
     * Report that this host became the grantor or stopped being it.
     *
     * @param leading whether this host is the grantor
     * @param predecessorEnded whether the previous grantor is known to have ended, so that no other host renews grants
     */
    record GrantorRoleChanged(boolean leading, boolean predecessorEnded) implements MembershipEffect {}
}
