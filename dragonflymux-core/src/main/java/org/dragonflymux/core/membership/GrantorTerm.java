package org.dragonflymux.core.membership;

/**
 * One term of a grantor. All that a host does as the grantor belongs to a term: another lease of the same host doesn't
 * continue it, since others may have been the grantor in between.
 *
 * @param holder the host
 * @param lease the id of the lease that the grantor's key is bound to
 * @param revision the revision of the grantor's key, which identifies the term
 * @param formerGrantors the grantors of earlier terms that could renew grants when the term began
 */
public record GrantorTerm(FleetMember holder, long lease, long revision, FormerGrantors formerGrantors) {}
