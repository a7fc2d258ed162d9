package org.dragonflymux.gateway.control;

import com.google.common.collect.Lists;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.dragonflymux.core.balance.TargetDirectory;
import org.dragonflymux.core.desired.DesiredState;
import org.dragonflymux.core.membership.FleetMember;
import org.dragonflymux.core.membership.FormerGrantors;
import org.dragonflymux.core.membership.GrantorSuccession;
import org.dragonflymux.core.membership.GrantorTerm;
import org.dragonflymux.core.membership.MembershipEffect;
import org.dragonflymux.core.membership.MembershipStateMachine;
import org.dragonflymux.core.membership.StoreEpoch;
import org.dragonflymux.core.name.HostId;
import org.dragonflymux.core.name.ServiceName;
import org.dragonflymux.core.quota.LenderElection;
import org.dragonflymux.core.quota.LenderPartition;
import org.dragonflymux.core.shard.GrantSettings;
import org.dragonflymux.core.shard.ShardTable;
import org.dragonflymux.gateway.clock.HoldClock;
import org.dragonflymux.gateway.clock.LeaseClock;
import org.dragonflymux.gateway.store.RevisionCache;
import org.dragonflymux.gateway.store.StoreClient;
import org.dragonflymux.gateway.store.StoreError;
import org.dragonflymux.gateway.store.StoredItem;

/**
 * Carries out the effects of the membership state machine and passes the results back to it. It hands what concerns shard
 * keys on to the {@link GrantLoop}.
 */
public final class ControlLoop {

    private static final Logger LOG = LogManager.getLogger(ControlLoop.class);
    private static final long TERM_UPDATE_INTERVAL_MILLIS = 3_000;
    /**
     * The number of epochs that the first term of an epoch marks as begun. An epoch without a grantor leaves no mark of its own,
     * and a write is under way for some seconds only.
     */
    private static final long MARKED_EPOCHS = 3;
    /**
     * The store takes at most 32 preconditions, values and removals in one write. A claim takes two, and the client adds a
     * precondition.
     */
    private static final int MAX_LENDER_CLAIMS_PER_WRITE = 8;

    private final StoreClient store;
    private final MembershipStateMachine membership;
    private final GrantorSuccession succession;
    private final LenderElection lenderElection;
    private final GrantLoop grants;
    private final LeaseClock leaseClock;
    private final HoldClock holdClock;
    private final Listener listener;
    private final RevisionCache<Optional<FleetMember>> members =
            RevisionCache.of(item -> FleetRecords.member(item.value()));
    private final RevisionCache<Optional<GrantorTerm>> termRecords = RevisionCache.of(FleetRecords::grantorTerm);
    private final RevisionCache<Optional<LenderPartition>> lenderPartitionRecords =
            RevisionCache.of(FleetRecords::lenderPartition);
    private Map<HostId, FleetMember> reportedHosts = Map.of();
    private long nextTermUpdateAt = Long.MIN_VALUE;
    private boolean collectsReports;
    private long epoch;
    private boolean synced;

    /** Receives the state that the control loop reads from the store. */
    public interface Listener {

        /** Handles a new table of a service. */
        void tableChanged(ServiceName service, ShardTable table);

        /** Handles a change of the registered hosts. */
        void hostsChanged(Map<HostId, FleetMember> members);

        /** Handles the current holders of the lender partitions. */
        void lenderPartitionsChanged(Collection<LenderPartition> lenderPartitions);

        /** Handles the time until which the lease of this host is known to be valid. */
        void leaseUpdated(long lease, long until);
    }

    private ControlLoop(
            StoreClient store,
            MembershipStateMachine membership,
            GrantorSuccession succession,
            GrantLoop grants,
            LeaseClock leaseClock,
            HoldClock holdClock,
            Listener listener) {
        this.store = store;
        this.membership = membership;
        this.succession = succession;
        this.lenderElection = LenderElection.of(membership.self());
        this.grants = grants;
        this.leaseClock = leaseClock;
        this.holdClock = holdClock;
        this.listener = listener;
    }

    public static ControlLoop of(
            StoreClient store,
            GrantClient grantClient,
            MembershipStateMachine membership,
            GrantSettings settings,
            TargetDirectory directory,
            LeaseClock leaseClock,
            HoldClock holdClock,
            Listener listener) {
        GrantorSuccession succession = GrantorSuccession.of(membership.self(), settings.renewalGraceMillis());
        GrantLoop grants = new GrantLoop(
                store, grantClient, membership, settings, directory, leaseClock, holdClock, listener::tableChanged);
        return new ControlLoop(store, membership, succession, grants, leaseClock, holdClock, listener);
    }

    /** Handles a new desired state. */
    public void desiredStateChanged(DesiredState state) {
        grants.desiredStateChanged(state);
    }

    /** Handles a change of the gateway's own records; the map holds all items of the store. */
    public void recordsChanged(Map<String, StoredItem> items) {
        long now = leaseClock.nowMillis();
        // All items of a copy are of one epoch.
        epoch = items.values().stream()
                .findAny()
                .map(item -> StoreEpoch.of(item.revision()))
                .orElse(Math.max(epoch, store.epoch()));
        epochSeen(epoch, now);
        grants.epochRead(epoch, succession.soleGrantorBefore());
        Set<HostId> registered = new HashSet<>();
        Optional<StoredItem> grantor = Optional.empty();
        Optional<StoredItem> lastGrantor = Optional.empty();
        List<LenderPartition> lenderPartitions = new ArrayList<>();
        for (StoredItem item : items.values()) {
            if (item.key().startsWith(FleetRecords.HOST_PREFIX)) {
                members.read(item).ifPresent(member -> {
                    registered.add(member.host());
                    membership.memberRegistered(member);
                });
            } else if (item.key().equals(FleetRecords.GRANTOR_KEY)) {
                grantor = Optional.of(item);
            } else if (item.key().equals(FleetRecords.LAST_GRANTOR_KEY)) {
                lastGrantor = Optional.of(item);
            } else if (item.key().startsWith(FleetRecords.LENDER_PARTITION_PREFIX)) {
                lenderPartitionRecords.read(item).ifPresent(lenderPartitions::add);
            } else if (item.key().startsWith(FleetRecords.TABLE_PREFIX)) {
                FleetRecords.serviceOfTable(item.key()).ifPresent(service -> grants.tableRead(service, item));
            }
        }
        grants.tablesRead();
        members.retain(items.keySet());
        termRecords.retain(items.keySet());
        lenderPartitionRecords.retain(items.keySet());
        for (HostId host : List.copyOf(membership.members().keySet())) {
            if (!registered.contains(host)) {
                membership.memberRemoved(host);
            }
        }
        Optional<GrantorTerm> lastTerm = lastGrantor.flatMap(termRecords::read);
        long lastTermRevision = lastGrantor.map(StoredItem::revision).orElse(0L);
        membership.lastGrantorChanged(lastTerm.map(GrantorTerm::holder), lastTermRevision);
        succession.lastTermChanged(lastTerm, lastTermRevision, holdClock.nowMillis());
        membership.grantorChanged(
                grantor.flatMap(termRecords::read).filter(term -> !term.restored()),
                grantor.map(StoredItem::revision).orElse(0L),
                now);
        membership.synced(now);
        synced = true;
        lenderElection.replacePartitions(lenderPartitions);
        if (!membership.members().equals(reportedHosts)) {
            reportedHosts = Map.copyOf(membership.members());
            listener.hostsChanged(reportedHosts);
        }
        listener.lenderPartitionsChanged(lenderPartitions);
    }

    private void epochSeen(long seenEpoch, long now) {
        succession.epochSeen(seenEpoch, membership.epochSeen(seenEpoch, now), holdClock.nowMillis());
    }

    /** Records that requests for keys arrived at any host. */
    public void recordKeyRequests(Map<ServiceName, int[]> keys) {
        grants.recordKeyRequests(keys);
    }

    /** Sets whether this host collects the reports of other hosts. */
    public void collectsReports(boolean collecting) {
        collectsReports = collecting;
    }

    private boolean holdsLenderPartition() {
        return lenderElection.partitions().stream()
                .anyMatch(partition -> partition.holder().sameIncarnation(membership.self()));
    }

    /** Runs the state machines and carries out the effects that are due. */
    public void tick() {
        long now = leaseClock.nowMillis();
        if (synced) {
            // An answer to a lease call may show a new epoch before the copy of the store does.
            epochSeen(store.epoch(), now);
        }
        membership.roleChanged(collectsReports || holdsLenderPartition());
        for (MembershipEffect effect : membership.tick(now)) {
            run(effect, now);
        }
        boolean confirmed = membership.leaseConfirmed(now);
        listener.leaseUpdated(membership.lease(), membership.leaseValidUntil());
        if (confirmed && membership.mayClaimLenderPartitions()) {
            claimLenderPartitions(now);
        }
        if (membership.termConfirmed(now)) {
            grants.term().ifPresent(term -> updateTermRecord(term, now));
        }
        grants.tick();
    }

    private void run(MembershipEffect effect, long now) {
        switch (effect) {
            case MembershipEffect.ObtainLease obtain ->
                store.obtainLease(obtain.millis(), result -> {
                    if (result.isRight()) {
                        membership.leaseObtained(result.get().id(), result.get().millis(), now);
                    } else {
                        membership.leaseCallFailed(leaseClock.nowMillis());
                    }
                });
            case MembershipEffect.RenewLease renewal ->
                store.renewLease(renewal.lease(), result -> renewalEnded(renewal.lease(), result, now));
            case MembershipEffect.Register register ->
                write(
                        List.of(),
                        List.of(new StoreClient.Put(
                                FleetRecords.hostKey(register.record().host()),
                                FleetRecords.encode(register.record()),
                                register.lease())));
            case MembershipEffect.ClaimGrantorRole claim -> {
                FormerGrantors formerGrantors = succession.formerGrantors(membership.members(), holdClock.nowMillis());
                boolean followsRestore = succession.followsRestore();
                // The copy of the store may be of an earlier epoch than the lease.
                long termEpoch = StoreEpoch.of(claim.lease());
                byte[] record = FleetRecords.encodeTerm(
                        claim.record(), claim.lease(), formerGrantors, termEpoch, followsRestore);
                List<StoreClient.Put> puts = new ArrayList<>();
                puts.add(new StoreClient.Put(FleetRecords.GRANTOR_KEY, record, claim.lease()));
                puts.add(new StoreClient.Put(FleetRecords.LAST_GRANTOR_KEY, record, 0));
                if (followsRestore) {
                    // Writes that were sent in the epochs before are refused from now on.
                    for (long since = Math.max(1, termEpoch - MARKED_EPOCHS + 1); since <= termEpoch; since++) {
                        puts.add(new StoreClient.Put(FleetRecords.epochKey(since), record, 0));
                    }
                }
                write(
                        List.of(
                                new StoreClient.ExpectedRevision(FleetRecords.GRANTOR_KEY, claim.expectedRevision()),
                                new StoreClient.ExpectedRevision(
                                        FleetRecords.LAST_GRANTOR_KEY, claim.expectedLastGrantorRevision())),
                        puts);
            }
            case MembershipEffect.GrantorRoleChanged changed -> grants.termChanged(changed.term());
        }
    }

    private void renewalEnded(long lease, Either<StoreError, Long> result, long sentAt) {
        if (lease != membership.lease()) {
            // The host has taken another lease since then.
            return;
        }
        if (result.isRight()) {
            membership.leaseRenewed(sentAt);
        } else if (result.getLeft() == StoreError.LEASE_ENDED) {
            LOG.info("event=lease_ended lease={}", lease);
            membership.leaseEnded();
        } else {
            membership.leaseCallFailed(leaseClock.nowMillis());
        }
    }

    private void claimLenderPartitions(long now) {
        List<LenderElection.Claim> claims = lenderElection.due(membership.members(), membership.lease(), now);
        if (claims.isEmpty()) {
            return;
        }
        if (!membership.hasShortLease()) {
            membership.seekRole(now);
            lenderElection.claimEnded(now);
            return;
        }
        Lists.partition(claims, MAX_LENDER_CLAIMS_PER_WRITE).forEach(this::writeLenderClaims);
    }

    private void writeLenderClaims(List<LenderElection.Claim> claims) {
        byte[] record = FleetRecords.encodeLender(membership.self(), membership.lease());
        List<StoreClient.ExpectedRevision> expected = new ArrayList<>();
        List<StoreClient.Put> puts = new ArrayList<>();
        for (LenderElection.Claim claim : claims) {
            String key = FleetRecords.lenderPartitionKey(claim.number());
            expected.add(new StoreClient.ExpectedRevision(key, claim.expectedRevision()));
            puts.add(new StoreClient.Put(key, record, membership.lease()));
        }
        store.commit(expected, puts, result -> {
            LOG.info("event=lender_seats_claimed seats={} result={}", claims.size(), result);
            lenderElection.claimEnded(leaseClock.nowMillis());
        });
    }

    private void write(List<StoreClient.ExpectedRevision> expected, List<StoreClient.Put> puts) {
        store.commit(expected, puts, result -> {
            if (result.isLeft() && result.getLeft() == StoreError.LEASE_ENDED) {
                membership.leaseEnded();
            }
            membership.writeEnded(result.isRight(), leaseClock.nowMillis());
        });
    }

    /** Removes former grantors that have ended from the record of this host's term, for hosts that start later. */
    private void updateTermRecord(GrantorTerm term, long now) {
        if (now < nextTermUpdateAt || !succession.hasOutdatedFormerGrantors(term, holdClock.nowMillis())) {
            return;
        }
        nextTermUpdateAt = now + TERM_UPDATE_INTERVAL_MILLIS;
        byte[] record = FleetRecords.encodeTerm(
                term.holder(),
                term.lease(),
                FormerGrantors.NONE,
                StoreEpoch.of(term.revision()),
                term.fenceFloor() > 0);
        store.commit(
                List.of(
                        new StoreClient.ExpectedRevision(FleetRecords.GRANTOR_KEY, term.revision()),
                        new StoreClient.ExpectedRevision(FleetRecords.LAST_GRANTOR_KEY, term.revision())),
                List.of(new StoreClient.Put(FleetRecords.LAST_GRANTOR_KEY, record, 0)),
                result -> LOG.info("event=term_record_updated term={} result={}", term.revision(), result));
    }

    /** Stops granting and ends the lease, so that another host can take over immediately. */
    public void stop() {
        membership.stopping();
        listener.leaseUpdated(membership.lease(), membership.leaseValidUntil());
        grants.stop();
        if (membership.lease() != 0) {
            store.endLease(membership.lease(), result -> LOG.info("event=lease_given_back done={}", result.isRight()));
        }
    }

    public Optional<FleetMember> grantor() {
        return membership.grantor();
    }

    /** Returns whether this host grants keys or is not registered yet, so that its effects must not be delayed. */
    public boolean busy() {
        return leading() || !membership.registered();
    }

    public boolean leading() {
        return grants.term().isPresent();
    }
}
