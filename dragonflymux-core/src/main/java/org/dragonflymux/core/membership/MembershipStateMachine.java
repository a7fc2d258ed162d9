package org.dragonflymux.core.membership;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.dragonflymux.core.name.HostId;

/**
 * Maintains a host's lease and record in the store, and elects the host that grants keys: the first host to write the
 * grantor's key stays the grantor for as long as its lease is valid.
 */
public final class MembershipStateMachine {

    /** The validity of the lease of a host that has or seeks a role, in milliseconds. Its loss is noticed that fast. */
    public static final long LEASE_MILLIS = 2_500;

    /** The validity of the lease of a host without a role, in milliseconds. */
    public static final long LONG_LEASE_MILLIS = 10_000;

    private static final long CLOCK_MARGIN_MILLIS = 100;
    /** Leaves time for a second renewal before the lease ends, if the first one gets no answer. */
    private static final double RENEWALS_PER_LEASE = 2.5;
    /** How long a host keeps its short lease after it had or sought a role. */
    private static final long SHORT_LEASE_MILLIS_AFTER_ROLE = 5_000;

    /** Time after which an unanswered renewal is repeated; a second one still arrives before the lease ends. */
    private static final long RENEWAL_REPEAT_MILLIS = 700;

    private static final long RETRY_DELAY_MILLIS = 300;
    private static final int MAX_RETRY_DOUBLINGS = 2;
    private static final long CALL_TIMEOUT_MILLIS = 1_500;
    private static final long CLAIM_STAGGER_MILLIS = 150;
    /**
     * For how long other hosts leave the first claim of a new epoch to the grantor of the earlier one, which may go on by its own
     * table. Their own wait for its renewals is longer, and doesn't begin with the claim.
     */
    private static final long FIRST_CLAIM_DELAY_MILLIS = 3_000;

    private final FleetMember self;
    private final long renewalGraceMillis;
    private final Map<HostId, FleetMember> members = new HashMap<>();
    private long lease;
    /** The validity that was asked for with the present lease. */
    private long askedLeaseMillis = LEASE_MILLIS;
    /** The validity of the present lease, which is less if the store has given less. */
    private long leaseMillis = LEASE_MILLIS;

    /** The validity that was asked for with the call for another lease that is under way, if one is. */
    private long requestedLeaseMillis = LEASE_MILLIS;

    private long registeredLease;
    private long writingLease;
    private int failedLeaseCalls;
    private long roleSoughtAt = Long.MIN_VALUE / 2;
    private boolean hasRole;
    private long confirmedAt = Long.MIN_VALUE / 2;
    private long nextLeaseCallAt = Long.MIN_VALUE;
    private long nextWriteAt = Long.MIN_VALUE;
    private Optional<GrantorTerm> grantor = Optional.empty();
    private long grantorRevision;
    private Optional<FleetMember> lastGrantor = Optional.empty();
    private long lastGrantorRevision;
    private long grantorAbsentSince = Long.MAX_VALUE;
    private boolean synced;
    /** The last term of this host that it knows of, which may have ended, and when its lease was last confirmed. */
    private Optional<GrantorTerm> ownTerm = Optional.empty();

    private long ownTermConfirmedAt = Long.MIN_VALUE / 2;
    /** When the last term of this host in an earlier epoch of the store was last confirmed. */
    private long earlierEpochConfirmedAt = Long.MIN_VALUE / 2;

    private long epoch = -1;
    /** When this host first saw the present epoch, if it has seen an earlier one. */
    private long restoreSeenAt = Long.MIN_VALUE / 2;

    private Optional<GrantorTerm> activeTerm = Optional.empty();
    private boolean stopping;

    private MembershipStateMachine(FleetMember self, long renewalGraceMillis) {
        this.self = self;
        this.renewalGraceMillis = renewalGraceMillis;
    }

    /**
     * Returns the state machine of a host that is not registered yet.
     *
     * @param renewalGraceMillis for how long a grantor continues to renew grants after its lease was last confirmed
     */
    public static MembershipStateMachine of(FleetMember self, long renewalGraceMillis) {
        return new MembershipStateMachine(self, renewalGraceMillis);
    }

    /** Records that the store's records have been read completely. */
    public void synced(long now) {
        synced = true;
        if (grantor.isEmpty() && grantorAbsentSince == Long.MAX_VALUE) {
            grantorAbsentSince = now;
        }
    }

    /**
     * Records the epoch of the store, as soon as any answer or record shows it.
     *
     * @return whether it is a new one, and the lease of this host's term was known to be valid until now
     */
    public boolean epochSeen(long seenEpoch, long now) {
        boolean rises = seenEpoch > epoch && epoch >= 0;
        if (rises) {
            restoreSeenAt = now;
        }
        epoch = Math.max(epoch, seenEpoch);
        return rises && termConfirmed(now);
    }

    /** Records the registration of a host. */
    public void memberRegistered(FleetMember member) {
        members.put(member.host(), member);
        if (registeredLease == 0 && member.equals(self)) {
            registeredLease = lease;
        }
    }

    /** Records that the record of a host was removed. */
    public void memberRemoved(HostId host) {
        members.remove(host);
    }

    /**
     * Records the current term of a grantor.
     *
     * @param term the term, empty if the grantor's key does not exist or its value is unreadable
     * @param revision the revision of the grantor's key, 0 if it does not exist
     */
    public void grantorChanged(Optional<GrantorTerm> term, long revision, long now) {
        if (term.isPresent()) {
            grantorAbsentSince = Long.MAX_VALUE;
        } else if (grantor.isPresent() || grantorAbsentSince == Long.MAX_VALUE) {
            grantorAbsentSince = now;
        }
        grantor = term;
        grantorRevision = revision;
        Optional<GrantorTerm> own = term.filter(current -> current.holder().sameIncarnation(self));
        boolean ofEarlierEpoch =
                ownTerm.filter(held -> StoreEpoch.of(held.revision()) < epoch).isPresent();
        if (ofEarlierEpoch && term.isEmpty()) {
            // The store has lost the term. It still renews until its time is over or another term begins. The first
            // term of the new epoch waits for that.
            return;
        }
        if (!own.equals(ownTerm)) {
            earlierEpochConfirmedAt = ofEarlierEpoch && own.isPresent() ? ownTermConfirmedAt : Long.MIN_VALUE / 2;
            ownTerm = own;
            ownTermConfirmedAt = boundToPresentLease(own) ? confirmedAt : Long.MIN_VALUE / 2;
        }
    }

    private boolean boundToPresentLease(Optional<GrantorTerm> term) {
        return lease != 0 && term.filter(held -> held.lease() == lease).isPresent();
    }

    /** Records the last host that claimed the grantor role, whether or not its lease is still valid. */
    public void lastGrantorChanged(Optional<FleetMember> record, long revision) {
        lastGrantor = record;
        lastGrantorRevision = revision;
    }

    /**
     * Records a new lease. It starts no earlier than the call was sent, so its validity is counted from that time.
     *
     * @param givenMillis its validity by the store, in milliseconds; what was asked for holds if that is less
     */
    public void leaseObtained(long newLease, long givenMillis, long sentAt) {
        lease = newLease;
        askedLeaseMillis = requestedLeaseMillis;
        leaseMillis = Math.min(requestedLeaseMillis, givenMillis);
        confirmedAt = sentAt;
        leaseRenewed(sentAt);
    }

    /** Records that the lease was renewed by a call sent at the given time. */
    public void leaseRenewed(long sentAt) {
        failedLeaseCalls = 0;
        confirmedAt = Math.max(confirmedAt, sentAt);
        if (boundToPresentLease(ownTerm)) {
            ownTermConfirmedAt = confirmedAt;
        }
        nextLeaseCallAt = sentAt + renewalIntervalMillis();
    }

    private long renewalIntervalMillis() {
        return (long) (leaseMillis / RENEWALS_PER_LEASE);
    }

    /** Records that the lease has ended in the store. */
    public void leaseEnded() {
        lease = 0;
        nextLeaseCallAt = Long.MIN_VALUE;
    }

    /** Records that a call to obtain or renew the lease failed. */
    public void leaseCallFailed(long now) {
        requestedLeaseMillis = askedLeaseMillis;
        nextLeaseCallAt = now + (RETRY_DELAY_MILLIS << Math.min(failedLeaseCalls, MAX_RETRY_DOUBLINGS));
        failedLeaseCalls++;
    }

    /** Records whether this host has a role besides serving callers, so that others must soon notice its loss. */
    public void roleChanged(boolean present) {
        hasRole = present;
    }

    /** Records that this host seeks a role. It may claim one as soon as it has a short lease. */
    public void seekRole(long now) {
        roleSoughtAt = now;
    }

    /** Returns whether this host's lease is short, as the lease that a role is bound to must be. */
    public boolean hasShortLease() {
        return askedLeaseMillis == LEASE_MILLIS;
    }

    private boolean needsShortLease(long now) {
        return hasRole || activeTerm.isPresent() || !registered() || now - roleSoughtAt < SHORT_LEASE_MILLIS_AFTER_ROLE;
    }

    /** Records that a write succeeded or failed. */
    public void writeEnded(boolean succeeded, long now) {
        if (succeeded && writingLease != 0) {
            registeredLease = writingLease;
        }
        writingLease = 0;
        nextWriteAt = succeeded ? now : now + RETRY_DELAY_MILLIS;
    }

    /** Records that the host is stopping: from now on it neither registers nor renews its lease nor claims a role. */
    public void stopping() {
        stopping = true;
    }

    /** Returns whether the lease is known to be valid in the store. */
    public boolean leaseConfirmed(long now) {
        return lease != 0 && now < confirmedAt + leaseMillis;
    }

    /** Returns whether this host is the grantor and the lease of its term is known to be valid in the store. */
    public boolean termConfirmed(long now) {
        return activeTerm.isPresent() && boundToPresentLease(activeTerm) && leaseConfirmed(now);
    }

    /** Returns how long ago the lease of this host's last term was last confirmed, in milliseconds. */
    public long millisSinceTermConfirmed(long now) {
        return now - ownTermConfirmedAt;
    }

    /**
     * Returns whether this host, as the grantor of the present epoch, may still renew what it granted in its last term of an
     * earlier one.
     */
    public boolean renewsEarlierEpoch(long now) {
        return activeTerm.isPresent() && now < earlierEpochRenewalsEndAt();
    }

    /** Returns until when this host may renew what it granted in its last term of an earlier epoch. */
    public long earlierEpochRenewalsEndAt() {
        return earlierEpochConfirmedAt + renewalGraceMillis;
    }

    /** Returns until when the lease is known to be valid, with a margin for a local clock slower than the store's. */
    public long leaseValidUntil() {
        return stopping ? Long.MIN_VALUE : confirmedAt + leaseMillis - CLOCK_MARGIN_MILLIS;
    }

    /** Returns whether this host may become a lender: it is registered and is not stopping. */
    public boolean mayClaimLenderPartitions() {
        return registered() && !stopping;
    }

    /** Returns whether the store has the record of this incarnation, as far as known. */
    public boolean registered() {
        return self.equals(members.get(self.host()));
    }

    public Map<HostId, FleetMember> members() {
        return members;
    }

    public long lease() {
        return lease;
    }

    public Optional<FleetMember> grantor() {
        return grantor.map(GrantorTerm::holder);
    }

    /** Returns the term in which this host is the grantor, if it is. */
    public Optional<GrantorTerm> activeTerm() {
        return activeTerm;
    }

    public FleetMember self() {
        return self;
    }

    /** Returns the effects that are due. */
    public List<MembershipEffect> tick(long now) {
        List<MembershipEffect> effects = new ArrayList<>();
        maintainLease(now, effects);
        if (lease != 0 && synced && now >= nextWriteAt) {
            registerOrClaim(now, effects);
        }
        updateGrantorRole(now, effects);
        return effects;
    }

    private void maintainLease(long now, List<MembershipEffect> effects) {
        if (now < nextLeaseCallAt || stopping) {
            return;
        }
        boolean wantsOtherLease = registeredLease == lease && needsShortLease(now) != hasShortLease();
        if (lease == 0 || wantsOtherLease) {
            nextLeaseCallAt = now + CALL_TIMEOUT_MILLIS;
            requestedLeaseMillis = needsShortLease(now) ? LEASE_MILLIS : LONG_LEASE_MILLIS;
            effects.add(new MembershipEffect.ObtainLease(requestedLeaseMillis));
        } else {
            nextLeaseCallAt = now + Math.min(RENEWAL_REPEAT_MILLIS, renewalIntervalMillis());
            effects.add(new MembershipEffect.RenewLease(lease));
        }
    }

    private void registerOrClaim(long now, List<MembershipEffect> effects) {
        if (stopping) {
            return;
        }
        if (!registered() || registeredLease != lease) {
            nextWriteAt = now + CALL_TIMEOUT_MILLIS;
            writingLease = lease;
            effects.add(new MembershipEffect.Register(lease, self));
        } else if (mayClaim(now) && !hasShortLease()) {
            seekRoleNow(now);
        } else if (mayClaim(now)) {
            nextWriteAt = now + CALL_TIMEOUT_MILLIS;
            effects.add(new MembershipEffect.ClaimGrantorRole(lease, self, grantorRevision, lastGrantorRevision));
        }
    }

    private void seekRoleNow(long now) {
        seekRole(now);
        nextLeaseCallAt = Math.min(nextLeaseCallAt, now);
    }

    private boolean mayClaim(long now) {
        if (grantor.isPresent()) {
            FleetMember holder = grantor.get().holder();
            boolean heldByEarlierIncarnation = holder.host().equals(self.host()) && !holder.sameIncarnation(self);
            return heldByEarlierIncarnation || hasEnded(holder);
        }
        boolean leavesClaimToEarlierGrantor = activeTerm.isEmpty() && now - restoreSeenAt < FIRST_CLAIM_DELAY_MILLIS;
        if (grantorAbsentSince == Long.MAX_VALUE || leavesClaimToEarlierGrantor) {
            return false;
        }
        return now >= grantorAbsentSince + rank() * CLAIM_STAGGER_MILLIS;
    }

    /** Returns whether an incarnation of a host is known to have ended: the host is registered with a later one. */
    private boolean hasEnded(FleetMember member) {
        FleetMember present = members.get(member.host());
        return present != null && present.incarnation() > member.incarnation();
    }

    private long rank() {
        if (lastGrantor.filter(self::sameIncarnation).isPresent()) {
            return 0;
        }
        int own = claimOrder(self.host());
        return 1
                + members.keySet().stream()
                        .filter(host -> claimOrder(host) < own)
                        .count();
    }

    /**
     * Returns a number by which hosts are ordered when they claim the role. It spreads the hosts of a failure domain, because
     * these may all be lost together while their records remain for some seconds.
     */
    private int claimOrder(HostId host) {
        int seed = (int) lastGrantor.map(FleetMember::incarnation).orElse(0L).longValue();
        return Hashing.murmur3_32_fixed(seed)
                .hashString(host.value(), StandardCharsets.UTF_8)
                .asInt();
    }

    /**
     * Updates the term in which this host acts as the grantor. The term lasts until a time after its own lease was last
     * confirmed; a later lease says nothing of it, because the copy of the store may be outdated when it is obtained.
     */
    private void updateGrantorRole(long now, List<MembershipEffect> effects) {
        boolean acting = !stopping && now < ownTermConfirmedAt + renewalGraceMillis;
        Optional<GrantorTerm> term = acting ? ownTerm : Optional.empty();
        if (!term.equals(activeTerm)) {
            activeTerm = term;
            effects.add(new MembershipEffect.GrantorRoleChanged(term));
        }
    }
}
