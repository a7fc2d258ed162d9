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
     * Records the last term, which may have ended.
     *
     * @param term the term, empty if there is no record of it or the record is unreadable
     * @param revision the revision of the record, 0 if there is none
     */
    public void lastTermChanged(Optional<GrantorTerm> term, long revision, long now) {
        if (revision != lastTermRevision) {
            lastTerm = term;
            lastTermRevision = revision;
            knownSince = now;
        }
    }

    /** Returns the former grantors of a term that this host claims now. */
    public FormerGrantors formerGrantors(Map<HostId, FleetMember> members, long now) {
        if (lastTermRevision == 0) {
            return FormerGrantors.NONE;
        }
        // An unreadable record may hide any grantor.
        return lastTerm.map(last -> formerGrantors(last, now).without(former -> hasEnded(former, members)))
                .orElse(FormerGrantors.unnamed(renewalGraceMillis));
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
