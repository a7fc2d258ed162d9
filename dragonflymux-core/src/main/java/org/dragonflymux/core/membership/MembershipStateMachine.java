package org.dragonflymux.core.membership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.dragonflymux.core.name.HostId;

/**
 * A host's own lease and record in the store, and the election of the one host that grants keys: whoever writes the
 * grantor's key first holds it for as long as its lease holds.
 */
public final class MembershipStateMachine {

    /** For how long a lease holds, in milliseconds. */
    public static final long LEASE_MILLIS = 2_500;

    private static final long CLOCK_MARGIN_MILLIS = 100;
    private static final long RENEW_EVERY_MILLIS = 700;
    private static final long RETRY_MILLIS = 300;
    private static final long CALL_TIMEOUT_MILLIS = 1_500;
    private static final long CLAIM_STAGGER_MILLIS = 150;

    private final FleetMember self;
    private final long renewsWithoutStore;
    private final Map<HostId, FleetMember> members = new HashMap<>();
    private long lease;
    private long confirmedAt = Long.MIN_VALUE / 2;
    private long nextLeaseCall = Long.MIN_VALUE;
    private long nextWrite = Long.MIN_VALUE;
    private Optional<FleetMember> grantor = Optional.empty();
    private Optional<FleetMember> lastGrantor = Optional.empty();
    private boolean predecessorEnded;
    private long grantorRevision;
    private long grantorAbsentSince = Long.MAX_VALUE;
    private boolean synced;
    private boolean leading;
    private boolean stopping;

    private MembershipStateMachine(FleetMember self, long renewsWithoutStore) {
        this.self = self;
        this.renewsWithoutStore = renewsWithoutStore;
    }

    /**
     * Returns the duty of a host that isn't registered yet.
     *
     * @param renewsWithoutStore for how long the grantor goes on renewing without news from the store, in milliseconds
     */
    public static MembershipStateMachine of(FleetMember self, long renewsWithoutStore) {
        return new MembershipStateMachine(self, renewsWithoutStore);
    }

    /** Takes in that the store's records have been read as a whole. */
    public void synced(long now) {
        synced = true;
        if (grantor.isEmpty() && grantorAbsentSince == Long.MAX_VALUE) {
            grantorAbsentSince = now;
        }
    }

    /** Takes in a host's record. */
    public void member(FleetMember member) {
        members.put(member.host(), member);
    }

    /** Takes in that a host's record is gone. */
    public void memberGone(HostId host) {
        members.remove(host);
    }

    /** Takes in who the grantor is. */
    public void grantor(Optional<FleetMember> record, long revision, long now) {
        if (record.isPresent()) {
            grantorAbsentSince = Long.MAX_VALUE;
        } else if (grantor.isPresent() || grantorAbsentSince == Long.MAX_VALUE) {
            grantorAbsentSince = now;
        }
        grantor = record;
        grantorRevision = revision;
    }

    /** Takes in who claimed the grants last, whether or not its lease still holds. */
    public void lastGrantor(Optional<FleetMember> record) {
        lastGrantor = record;
    }

    /** Takes in a new lease; it runs from the arrival of the call at the store, at the earliest from its sending. */
    public void leased(long newLease, long sentAt) {
        lease = newLease;
        renewed(sentAt);
    }

    /** Takes in that the lease was renewed. */
    public void renewed(long sentAt) {
        confirmedAt = Math.max(confirmedAt, sentAt);
        nextLeaseCall = sentAt + RENEW_EVERY_MILLIS;
    }

    /** Takes in that the lease has ended in the store. */
    public void leaseEnded() {
        lease = 0;
        nextLeaseCall = Long.MIN_VALUE;
    }

    /** Takes in that a call about the lease failed. */
    public void leaseCallFailed(long now) {
        nextLeaseCall = now + RETRY_MILLIS;
    }

    /** Takes in that a write ended, in whatever way. */
    public void writeEnded(boolean done, long now) {
        nextWrite = done ? now : now + RETRY_MILLIS;
    }

    /** Takes in that the host is stopping: it claims nothing any more. */
    public void stopping() {
        stopping = true;
    }

    /** Returns whether the lease surely holds in the store. */
    public boolean leaseConfirmed(long now) {
        return lease != 0 && now < confirmedAt + LEASE_MILLIS;
    }

    /** Returns until when the lease surely holds, also where this clock runs a little slower than the store's. */
    public long leaseHoldsUntil() {
        return stopping ? Long.MIN_VALUE : confirmedAt + LEASE_MILLIS - CLOCK_MARGIN_MILLIS;
    }

    /** Returns whether this host may take on lending: it is registered and isn't about to leave. */
    public boolean mayClaimSeats() {
        return registered() && !stopping;
    }

    private boolean registered() {
        return self.equals(members.get(self.host()));
    }

    public Map<HostId, FleetMember> members() {
        return members;
    }

    public long lease() {
        return lease;
    }

    public Optional<FleetMember> grantor() {
        return grantor;
    }

    public long grantorRevision() {
        return grantorRevision;
    }

    public FleetMember self() {
        return self;
    }

    /** Does what is due. */
    public List<MembershipEffect> tick(long now) {
        List<MembershipEffect> effects = new ArrayList<>();
        keepLease(now, effects);
        if (lease != 0 && synced && now >= nextWrite) {
            write(now, effects);
        }
        lead(now, effects);
        return effects;
    }

    private void keepLease(long now, List<MembershipEffect> effects) {
        if (now < nextLeaseCall || stopping) {
            return;
        }
        nextLeaseCall = now + CALL_TIMEOUT_MILLIS;
        effects.add(
                lease == 0 ? new MembershipEffect.ObtainLease(LEASE_MILLIS) : new MembershipEffect.RenewLease(lease));
    }

    private void write(long now, List<MembershipEffect> effects) {
        if (stopping) {
            return;
        }
        if (!registered()) {
            nextWrite = now + CALL_TIMEOUT_MILLIS;
            effects.add(new MembershipEffect.Register(lease, self));
        } else if (mayClaim(now)) {
            nextWrite = now + CALL_TIMEOUT_MILLIS;
            predecessorEnded = lastGrantor
                    .map(last -> last.host().equals(self.host()) || ended(last))
                    .orElse(true);
            effects.add(new MembershipEffect.ClaimGrants(lease, self, grantorRevision));
        }
    }

    private boolean mayClaim(long now) {
        if (grantor.isPresent()) {
            boolean ownFormerLife =
                    grantor.get().host().equals(self.host()) && !grantor.get().sameIncarnation(self);
            return ownFormerLife || ended(grantor.get());
        }
        if (grantorAbsentSince == Long.MAX_VALUE) {
            return false;
        }
        return now >= grantorAbsentSince + rank() * CLAIM_STAGGER_MILLIS;
    }

    /** Returns whether a life of a host has surely ended: the host is registered with a later one. */
    private boolean ended(FleetMember life) {
        FleetMember present = members.get(life.host());
        return present != null && present.incarnation() > life.incarnation();
    }

    private long rank() {
        if (lastGrantor.filter(self::sameIncarnation).isPresent()) {
            return 0;
        }
        return 1
                + members.keySet().stream()
                        .filter(host -> host.compareTo(self.host()) < 0)
                        .count();
    }

    private void lead(long now, List<MembershipEffect> effects) {
        boolean elected = grantor.filter(self::sameIncarnation).isPresent();
        boolean leads = elected && now < confirmedAt + renewsWithoutStore;
        if (leads == leading) {
            return;
        }
        leading = leads;
        effects.add(new MembershipEffect.GrantsChanged(leads, predecessorEnded));
    }
}
