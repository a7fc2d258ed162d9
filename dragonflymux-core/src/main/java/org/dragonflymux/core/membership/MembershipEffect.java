package org.dragonflymux.core.membership;

/** What the membership duty wants of the store. */
public sealed interface MembershipEffect {

    /**
     * Obtain a lease.
     *
     * @param millis for how long it is to hold
     */
    record ObtainLease(long millis) implements MembershipEffect {}

    /**
     * Renew the lease.
     *
     * @param lease the lease
     */
    record RenewLease(long lease) implements MembershipEffect {}

    /**
     * Write the host's own record, bound to the lease.
     *
     * @param lease the lease
     * @param record the record
     */
    record Register(long lease, FleetMember record) implements MembershipEffect {}

    /**
     * Become the grantor, under the condition that the grantor's key is unchanged.
     *
     * @param lease the lease that the key is bound to
     * @param record the host's own record
     * @param expectedRevision the revision of the key, 0 where there is none
     */
    record ClaimGrants(long lease, FleetMember record, long expectedRevision) implements MembershipEffect {}

    /**
     * Tell whether this host grants.
     *
     * @param leading whether it does
     * @param predecessorEnded whether no other host can still be renewing grants
     */
    record GrantsChanged(boolean leading, boolean predecessorEnded) implements MembershipEffect {}
}
