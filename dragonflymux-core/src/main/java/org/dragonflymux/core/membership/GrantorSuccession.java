package org.dragonflymux.core.membership;

import java.util.Map;
import java.util.Optional;
import org.dragonflymux.core.name.HostId;

/**
 * Determines which earlier grantors may still renew grants, from the record of the last term. Times are those of a clock
 * that never runs ahead, since others' renewals must have ended when it says so.
 */
public final class GrantorSuccession {

    private final FleetMember self;
    private final long renewalGraceMillis;
    private Optional<GrantorTerm> lastTerm = Optional.empty();
    private long lastTermRevision;
    /** Since when this host has known the record of the last term, which is no earlier than its write. */
    private long knownSince;

    /** Whether no host has claimed the role in the present epoch. */
    private boolean beginsEpoch = true;

    private long epoch = -1;
    /** Since when this host has known the present epoch, which is no earlier than the return of the store. */
    private long epochKnownSince;

    /** Whether this host has seen the store come back from a copy. */
    private boolean restoreSeen;
    /**
     * The former grantors of this host's term in the epoch before, and since when they are known, if this host was the only
     * grantor until the store came back in the present epoch.
     */
    private Optional<FormerGrantors> formerBeforeRestore = Optional.empty();

    private long formerBeforeRestoreKnownSince;

    private GrantorSuccession(FleetMember self, long renewalGraceMillis) {
        this.self = self;
        this.renewalGraceMillis = renewalGraceMillis;
    }

    /**
     * Returns the succession as a host sees it that has not read the last term yet.
     *
     * @param renewalGraceMillis for how long a grantor continues to renew grants after its lease was last confirmed
     */
    public static GrantorSuccession of(FleetMember self, long renewalGraceMillis) {
        return new GrantorSuccession(self, renewalGraceMillis);
    }

    /**
     * Records the epoch of the store, as soon as any answer or record shows it.
     *
     * @param soleGrantor whether the lease of this host's term was still known to be valid in the epoch before, so that no other
     *     host was the grantor up to the end of that one
     */
    public void epochSeen(long seenEpoch, boolean soleGrantor, long now) {
        if (seenEpoch > epoch) {
            restoreSeen = epoch >= 0;
            formerBeforeRestore = restoreSeen && soleGrantor && seenEpoch == epoch + 1
                    ? lastTerm.map(GrantorTerm::formerGrantors)
                    : Optional.empty();
            formerBeforeRestoreKnownSince = knownSince;
            epoch = seenEpoch;
            epochKnownSince = now;
        }
    }

    /**
     * Records the last term, which may have ended.
     *
     * @param term the term, empty if there is no record of it or the record is unreadable
     * @param revision the revision of the record, 0 if there is none
     */
    public void lastTermChanged(Optional<GrantorTerm> term, long revision, long now) {
        if (revision != lastTermRevision) {
            // A term of an earlier epoch says nothing of the terms that the store has lost.
            lastTerm = term.filter(last -> !last.restored());
            beginsEpoch = revision == 0 || term.filter(GrantorTerm::restored).isPresent();
            lastTermRevision = revision;
            knownSince = now;
        }
    }

    /** Returns the former grantors of a term that this host claims now. */
    public FormerGrantors formerGrantors(Map<HostId, FleetMember> members, long now) {
        if (beginsEpoch && formerBeforeRestore.isPresent()) {
            return formerBeforeRestore
                    .get()
                    .remainingAfter(now - formerBeforeRestoreKnownSince)
                    .without(former -> hasEnded(former, members));
        }
        if (lastTermRevision == 0 && !restoreSeen) {
            return FormerGrantors.NONE;
        }
        if (beginsEpoch) {
            // The grantors of the earlier epoch had no lease confirmed since the store came back.
            return FormerGrantors.unnamed(renewalGraceMillis).remainingAfter(now - epochKnownSince);
        }
        // An unreadable record may hide any grantor.
        return lastTerm.map(last -> formerGrantors(last, now).without(former -> hasEnded(former, members)))
                .orElse(FormerGrantors.unnamed(renewalGraceMillis));
    }

    /**
     * Returns whether this host was the only grantor until the store came back in the present epoch, so that the tables it has
     * in memory name all owners.
     */
    public boolean soleGrantorBefore() {
        return formerBeforeRestore.isPresent();
    }

    /** Returns whether a term that this host claims now follows a return of the store from a copy, in whichever epoch. */
    public boolean followsRestore() {
        return lastTerm.map(last -> last.fenceFloor() > 0).orElse(lastTermRevision == 0 ? restoreSeen : epoch > 0);
    }

    private FormerGrantors formerGrantors(GrantorTerm last, long now) {
        FleetMember holder = last.holder();
        return last.formerGrantors()
                .remainingAfter(now - knownSince)
                .with(new FormerGrantor(holder.host(), holder.incarnation(), renewalGraceMillis));
    }

    /** Returns whether a former grantor is this host, which acts in one term at a time, or its host has started again. */
    private boolean hasEnded(FormerGrantor former, Map<HostId, FleetMember> members) {
        if (former.host().equals(self.host())) {
            return former.incarnation() <= self.incarnation();
        }
        FleetMember present = members.get(former.host());
        return present != null && present.incarnation() > former.incarnation();
    }

    /**
     * Returns whether the record of a term still names former grantors though the renewals of all have ended. A host that starts
     * later can't tell how old the record is, and would wait for them.
     */
    public boolean hasOutdatedFormerGrantors(GrantorTerm term, long now) {
        FormerGrantors former = term.formerGrantors();
        return lastTermRevision == term.revision()
                && !former.equals(FormerGrantors.NONE)
                && now - knownSince >= former.renewForMillis();
    }
}
