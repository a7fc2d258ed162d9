package org.dragonflymux.gateway.control;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.dragonflymux.core.balance.TargetDirectory;
import org.dragonflymux.core.desired.DesiredState;
import org.dragonflymux.core.desired.ServiceSpec;
import org.dragonflymux.core.membership.FleetMember;
import org.dragonflymux.core.membership.FormerGrantors;
import org.dragonflymux.core.membership.GrantorSuccession;
import org.dragonflymux.core.membership.GrantorTerm;
import org.dragonflymux.core.membership.MembershipEffect;
import org.dragonflymux.core.membership.MembershipStateMachine;
import org.dragonflymux.core.name.HostId;
import org.dragonflymux.core.name.ServiceName;
import org.dragonflymux.core.quota.LenderElection;
import org.dragonflymux.core.quota.LenderPartition;
import org.dragonflymux.core.shard.GrantEffect;
import org.dragonflymux.core.shard.GrantResult;
import org.dragonflymux.core.shard.GrantSettings;
import org.dragonflymux.core.shard.GrantStateMachine;
import org.dragonflymux.core.shard.ShardTable;
import org.dragonflymux.gateway.clock.HoldClock;
import org.dragonflymux.gateway.clock.LeaseClock;
import org.dragonflymux.gateway.store.RevisionCache;
import org.dragonflymux.gateway.store.StoreClient;
import org.dragonflymux.gateway.store.StoreError;
import org.dragonflymux.gateway.store.StoredItem;

/** Carries out the effects of the membership and grant state machines, and passes the results back to them. */
public final class ControlLoop {

    private static final Logger LOG = LogManager.getLogger(ControlLoop.class);
    private static final long RELEASE_TIMEOUT_MILLIS = 4_000;
    private static final long TERM_UPDATE_INTERVAL_MILLIS = 3_000;

    private final StoreClient store;
    private final GrantClient grantClient;
    private final MembershipStateMachine membership;
    private final GrantorSuccession succession;
    private final LenderElection lenderElection;
    private final GrantSettings settings;
    private final TargetDirectory directory;
    private final LeaseClock leaseClock;
    private final HoldClock holdClock;
    private final Listener listener;
    private final Map<ServiceName, GrantStateMachine> grantStateMachines = new HashMap<>();
    private final RevisionCache<Optional<FleetMember>> members =
            RevisionCache.of(item -> FleetRecords.member(item.value()));
    private final RevisionCache<Optional<GrantorTerm>> termRecords = RevisionCache.of(FleetRecords::grantorTerm);
    private final RevisionCache<Optional<LenderPartition>> lenderPartitionRecords =
            RevisionCache.of(FleetRecords::lenderPartition);
    private final Map<ServiceName, Long> tableRevisions = new HashMap<>();
    private Map<HostId, FleetMember> reportedHosts = Map.of();
    private Optional<GrantorTerm> activeTerm = Optional.empty();
    private long activeTermKnownSince;
    private long nextTermUpdateAt = Long.MIN_VALUE;
    private boolean collectsReports;

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
            GrantClient grantClient,
            MembershipStateMachine membership,
            GrantSettings settings,
            TargetDirectory directory,
            LeaseClock leaseClock,
            HoldClock holdClock,
            Listener listener) {
        this.store = store;
        this.grantClient = grantClient;
        this.membership = membership;
        this.succession = GrantorSuccession.of(membership.self(), settings.renewalGraceMillis());
        this.lenderElection = LenderElection.of(membership.self());
        this.settings = settings;
        this.directory = directory;
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
        return new ControlLoop(store, grantClient, membership, settings, directory, leaseClock, holdClock, listener);
    }

    /** Handles a new desired state. */
    public void desiredStateChanged(DesiredState state) {
        for (ServiceSpec spec : state.services().values()) {
            if (spec.sharded()) {
                GrantStateMachine existing = grantStateMachines.get(spec.name());
                if (existing == null) {
                    GrantStateMachine grantStateMachine = GrantStateMachine.of(spec, settings, directory);
                    grantStateMachines.put(spec.name(), grantStateMachine);
                    startLeading(grantStateMachine);
                } else {
                    existing.updateSpec(spec);
                }
            }
        }
    }

    /** Handles a change of the gateway's own records; the map holds all items of the store. */
    public void recordsChanged(Map<String, StoredItem> items) {
        long now = leaseClock.nowMillis();
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
                FleetRecords.serviceOfTable(item.key()).ifPresent(service -> applyTable(service, item));
            }
        }
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
                grantor.flatMap(termRecords::read),
                grantor.map(StoredItem::revision).orElse(0L),
                now);
        membership.synced(now);
        lenderElection.replacePartitions(lenderPartitions);
        if (!membership.members().equals(reportedHosts)) {
            reportedHosts = Map.copyOf(membership.members());
            listener.hostsChanged(reportedHosts);
        }
        listener.lenderPartitionsChanged(lenderPartitions);
    }

    private void applyTable(ServiceName service, StoredItem item) {
        if (tableRevisions.getOrDefault(service, 0L) >= item.revision()) {
            return;
        }
        TableCodec.decode(item.value())
                .ifPresentOrElse(
                        table -> applyTable(service, table, item.revision()),
                        () -> LOG.warn("event=table_unreadable service={} revision={}", service, item.revision()));
    }

    private void applyTable(ServiceName service, ShardTable table, long revision) {
        tableRevisions.put(service, revision);
        GrantStateMachine grantStateMachine = grantStateMachines.get(service);
        if (grantStateMachine != null) {
            grantStateMachine.tableStored(table, revision);
        }
        listener.tableChanged(service, table);
    }

    /** Records that requests for keys arrived at any host. */
    public void recordKeyRequests(Map<ServiceName, int[]> keys) {
        if (!leading()) {
            return;
        }
        long now = holdClock.nowMillis();
        keys.forEach((service, serviceKeys) -> {
            GrantStateMachine grantStateMachine = grantStateMachines.get(service);
            for (int i = 0; grantStateMachine != null && i < serviceKeys.length; i++) {
                grantStateMachine.recordRequest(serviceKeys[i], now);
            }
        });
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
            activeTerm.ifPresent(term -> updateTermRecord(term, now));
        }
        for (GrantStateMachine grantStateMachine : grantStateMachines.values()) {
            tick(grantStateMachine);
        }
    }

    private void tick(GrantStateMachine grantStateMachine) {
        boolean termConfirmed = membership.termConfirmed(leaseClock.nowMillis());
        run(grantStateMachine, grantStateMachine.tick(termConfirmed, holdClock.nowMillis()));
    }

    private void run(MembershipEffect effect, long now) {
        switch (effect) {
            case MembershipEffect.ObtainLease obtain ->
                store.obtainLease(obtain.millis(), result -> {
                    if (result.isRight()) {
                        membership.leaseObtained(result.get(), now);
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
                byte[] record = FleetRecords.encodeTerm(claim.record(), claim.lease(), formerGrantors);
                write(
                        List.of(
                                new StoreClient.ExpectedRevision(FleetRecords.GRANTOR_KEY, claim.expectedRevision()),
                                new StoreClient.ExpectedRevision(
                                        FleetRecords.LAST_GRANTOR_KEY, claim.expectedLastGrantorRevision())),
                        List.of(
                                new StoreClient.Put(FleetRecords.GRANTOR_KEY, record, claim.lease()),
                                new StoreClient.Put(FleetRecords.LAST_GRANTOR_KEY, record, 0)));
            }
            case MembershipEffect.GrantorRoleChanged changed -> grantorRoleChanged(changed);
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

    private void grantorRoleChanged(MembershipEffect.GrantorRoleChanged changed) {
        LOG.info(
                "event=grants_changed leading={} term={} formerGrantors={} tables={}",
                changed.leading(),
                changed.term().map(GrantorTerm::revision).orElse(0L),
                changed.term().map(GrantorTerm::formerGrantors).orElse(FormerGrantors.NONE),
                tableRevisions);
        activeTerm = changed.term();
        activeTermKnownSince = holdClock.nowMillis();
        for (GrantStateMachine grantStateMachine : grantStateMachines.values()) {
            grantStateMachine.stopLeading();
            startLeading(grantStateMachine);
        }
    }

    private void startLeading(GrantStateMachine grantStateMachine) {
        activeTerm.ifPresent(term ->
                grantStateMachine.startLeading(term.formerGrantors(), activeTermKnownSince, holdClock.nowMillis()));
    }

    /** Removes former grantors that have ended from the record of this host's term, for hosts that start later. */
    private void updateTermRecord(GrantorTerm term, long now) {
        if (now < nextTermUpdateAt || !succession.namesOnlyEndedGrantors(term, holdClock.nowMillis())) {
            return;
        }
        nextTermUpdateAt = now + TERM_UPDATE_INTERVAL_MILLIS;
        byte[] record = FleetRecords.encodeTerm(term.holder(), term.lease(), FormerGrantors.NONE);
        store.commit(
                List.of(
                        new StoreClient.ExpectedRevision(FleetRecords.GRANTOR_KEY, term.revision()),
                        new StoreClient.ExpectedRevision(FleetRecords.LAST_GRANTOR_KEY, term.revision())),
                List.of(new StoreClient.Put(FleetRecords.LAST_GRANTOR_KEY, record, 0)),
                result -> LOG.info("event=term_record_updated term={} result={}", term.revision(), result));
    }

    private void run(GrantStateMachine grantStateMachine, List<GrantEffect> effects) {
        for (GrantEffect effect : effects) {
            switch (effect) {
                case GrantEffect.Persist persist -> persist(grantStateMachine, persist);
                case GrantEffect.Grant grant ->
                    directory
                            .target(grant.target())
                            .ifPresentOrElse(
                                    target -> grantClient.grant(
                                            target.entry(), grant, settings.callTimeoutMillis(), result -> {
                                                logUnlessDone(grant, result);
                                                callEnded(grantStateMachine, grant.call(), result);
                                            }),
                                    () -> callEnded(grantStateMachine, grant.call(), new GrantResult.NotSent()));
                case GrantEffect.Release release ->
                    directory
                            .target(release.target())
                            .ifPresentOrElse(
                                    target -> grantClient.release(
                                            target.entry(), release, RELEASE_TIMEOUT_MILLIS, result -> {
                                                LOG.info("event=keys_released release={} result={}", release, result);
                                                callEnded(grantStateMachine, release.call(), result);
                                            }),
                                    () -> callEnded(grantStateMachine, release.call(), new GrantResult.NotSent()));
            }
        }
    }

    private static void logUnlessDone(GrantEffect.Grant grant, GrantResult result) {
        if (!(result instanceof GrantResult.Done)) {
            LOG.info("event=grant_failed grant={} result={}", grant, result);
        }
    }

    private void callEnded(GrantStateMachine grantStateMachine, long call, GrantResult result) {
        run(grantStateMachine, grantStateMachine.callEnded(call, result, holdClock.nowMillis()));
    }

    private void persist(GrantStateMachine grantStateMachine, GrantEffect.Persist persist) {
        persist.table().assignments().stream()
                .filter(assignment -> assignment.move().isPresent())
                .forEach(assignment -> LOG.info("event=move_planned assignment={}", assignment));
        String key = FleetRecords.tableKey(persist.service());
        long term = membership.activeTerm().map(GrantorTerm::revision).orElseThrow();
        List<StoreClient.ExpectedRevision> expected = List.of(
                new StoreClient.ExpectedRevision(FleetRecords.GRANTOR_KEY, term),
                new StoreClient.ExpectedRevision(key, persist.expectedRevision()));
        store.commit(expected, List.of(new StoreClient.Put(key, TableCodec.encode(persist.table()), 0)), result -> {
            if (result.isRight()) {
                applyTable(persist.service(), persist.table(), result.get());
                tick(grantStateMachine);
            } else if (result.getLeft() != StoreError.UNKNOWN) {
                grantStateMachine.writeFailed();
            }
        });
    }

    /** Stops granting and ends the lease, so that another host can take over immediately. */
    public void stop() {
        membership.stopping();
        listener.leaseUpdated(membership.lease(), membership.leaseValidUntil());
        grantStateMachines.values().forEach(GrantStateMachine::stopLeading);
        activeTerm = Optional.empty();
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
        return activeTerm.isPresent();
    }
}
