package org.dragonflymux.core.membership;

/**
 * One term of a grantor. All that a host does as the grantor belongs to a term: another lease of the same host doesn't
 * continue it, since others may have been the grantor in between.
 *
 * @param holder the host
 * @param lease the id of the lease that the grantor's key is bound to
 * @param revision the revision of the grantor's key, which identifies the term
 * @param formerGrantors the grantors of earlier terms that could renew grants when the term began
 * @param fenceFloor all fencing tokens of the term are above it; 0 if the store never came back from a copy. A table with lower
 *     ones is of an earlier epoch of the store, and its owners may be outdated
 * @param restored whether the record was written in an earlier epoch of the store than it was read in, so that the term is over
 */
public record GrantorTerm(
        FleetMember holder,
        long lease,
        long revision,
        FormerGrantors formerGrantors,
        long fenceFloor,
        boolean restored) {

    /** Creates a term of a store that never came back from a copy. */
    public GrantorTerm(FleetMember holder, long lease, long revision, FormerGrantors formerGrantors) {
        this(holder, lease, revision, formerGrantors, 0, false);
    }
}
