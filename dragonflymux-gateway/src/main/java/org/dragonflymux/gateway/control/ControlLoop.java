package org.dragonflymux.gateway.control;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.LongSupplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.dragonflymux.core.balance.TargetDirectory;
import org.dragonflymux.core.desired.DesiredState;
import org.dragonflymux.core.desired.ServiceSpec;
import org.dragonflymux.core.membership.FleetMember;
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
import org.dragonflymux.gateway.store.RevisionCache;
import org.dragonflymux.gateway.store.StoreClient;
import org.dragonflymux.gateway.store.StoreError;
import org.dragonflymux.gateway.store.StoredItem;

/** Carries out what membership and grant duties want, and tells them what came of it. */
public final class ControlLoop {

    private static final Logger LOG = LogManager.getLogger(ControlLoop.class);
    private static final long RELEASE_TIMEOUT_MILLIS = 4_000;

    private final StoreClient store;
    private final GrantClient grantClient;
    private final MembershipStateMachine membership;
    private final LenderElection lenders;
    private final GrantSettings settings;
    private final TargetDirectory directory;
    private final LongSupplier clock;
    private final Observer observer;
    private final Map<ServiceName, GrantStateMachine> duties = new HashMap<>();
    private final RevisionCache<Optional<FleetMember>> members =
            RevisionCache.of(item -> FleetRecords.member(item.value()));
    private final RevisionCache<Optional<LenderPartition>> seatRecords = RevisionCache.of(FleetRecords::seat);
    private final Map<ServiceName, Long> tableRevisions = new HashMap<>();
    private Map<HostId, FleetMember> toldHosts = Map.of();
    private boolean leading;
    private boolean predecessorEnded;

    /** Who wants to know what the control loop learns. */
    public interface Observer {

        /** Takes in a service's table. */
        void tableChanged(ServiceName service, ShardTable table);

        /** Takes in which hosts there are. */
        void hostsChanged(Map<HostId, FleetMember> members);

        /** Takes in which hosts lend customers' tokens. */
        void lendersChanged(Collection<LenderPartition> seats);

        /** Takes in until when this host's lease surely holds. */
        void leaseValidUntil(long lease, long until);
    }

    private ControlLoop(
            StoreClient store,
            GrantClient grantClient,
            MembershipStateMachine membership,
            GrantSettings settings,
            TargetDirectory directory,
            LongSupplier clock,
            Observer observer) {
        this.store = store;
        this.grantClient = grantClient;
        this.membership = membership;
        this.lenders = LenderElection.of(membership.self());
        this.settings = settings;
        this.directory = directory;
        this.clock = clock;
        this.observer = observer;
    }

    /** Returns a loop that has done nothing yet. */
    public static ControlLoop of(
            StoreClient store,
            GrantClient grantClient,
            MembershipStateMachine membership,
            GrantSettings settings,
            TargetDirectory directory,
            LongSupplier clock,
            Observer observer) {
        return new ControlLoop(store, grantClient, membership, settings, directory, clock, observer);
    }

    /** Takes in the desired state. */
    public void desiredStateChanged(DesiredState state) {
        for (ServiceSpec spec : state.services().values()) {
            if (spec.sharded()) {
                GrantStateMachine known = duties.get(spec.name());
                if (known == null) {
                    GrantStateMachine duty = GrantStateMachine.of(spec, settings, directory);
                    duties.put(spec.name(), duty);
                    if (leading) {
                        duty.lead(predecessorEnded, clock.getAsLong());
                    }
                } else {
                    known.spec(spec);
                }
            }
        }
    }

    /** Takes in all own records. */
    public void recordsChanged(Map<String, StoredItem> items) {
        long now = clock.getAsLong();
        Set<HostId> present = new HashSet<>();
        Optional<StoredItem> grantor = Optional.empty();
        Optional<FleetMember> lastGrantor = Optional.empty();
        List<LenderPartition> seats = new ArrayList<>();
        for (StoredItem item : items.values()) {
            if (item.key().startsWith(FleetRecords.HOSTS)) {
                members.read(item).ifPresent(member -> {
                    present.add(member.host());
                    membership.member(member);
                });
            } else if (item.key().equals(FleetRecords.GRANTOR)) {
                grantor = Optional.of(item);
            } else if (item.key().equals(FleetRecords.LAST_GRANTOR)) {
                lastGrantor = members.read(item);
            } else if (item.key().startsWith(FleetRecords.SEATS)) {
                seatRecords.read(item).ifPresent(seats::add);
            } else if (item.key().startsWith(FleetRecords.TABLES)) {
                table(item);
            }
        }
        members.retain(items.keySet());
        seatRecords.retain(items.keySet());
        for (HostId host : List.copyOf(membership.members().keySet())) {
            if (!present.contains(host)) {
                membership.memberGone(host);
            }
        }
        membership.lastGrantor(lastGrantor);
        membership.grantor(
                grantor.flatMap(members::read),
                grantor.map(StoredItem::revision).orElse(0L),
                now);
        membership.synced(now);
        lenders.replacePartitions(seats);
        if (!membership.members().equals(toldHosts)) {
            toldHosts = Map.copyOf(membership.members());
            observer.hostsChanged(toldHosts);
        }
        observer.lendersChanged(seats);
    }

    private void table(StoredItem item) {
        ServiceName service = ServiceName.of(item.key().substring(FleetRecords.TABLES.length()));
        if (tableRevisions.getOrDefault(service, 0L) >= item.revision()) {
            return;
        }
        TableCodec.decode(item.value())
                .ifPresentOrElse(
                        table -> table(service, table, item.revision()),
                        () -> LOG.warn("event=table_unreadable service={} revision={}", service, item.revision()));
    }

    private void table(ServiceName service, ShardTable table, long revision) {
        tableRevisions.put(service, revision);
        GrantStateMachine duty = duties.get(service);
        if (duty != null) {
            duty.stored(table, revision);
        }
        observer.tableChanged(service, table);
    }

    /** Takes in that requests for keys came to some host. */
    public void recordKeyRequests(Map<ServiceName, int[]> keys) {
        if (!leading) {
            return;
        }
        long now = clock.getAsLong();
        keys.forEach((service, list) -> {
            GrantStateMachine duty = duties.get(service);
            for (int i = 0; duty != null && i < list.length; i++) {
                duty.requested(list[i], now);
            }
        });
    }

    /** Does what is due. */
    public void tick() {
        long now = clock.getAsLong();
        for (MembershipEffect effect : membership.tick(now)) {
            run(effect, now);
        }
        boolean confirmed = membership.leaseConfirmed(now);
        observer.leaseValidUntil(membership.lease(), membership.leaseHoldsUntil());
        if (confirmed && membership.mayClaimSeats()) {
            claimSeats(now);
        }
        for (GrantStateMachine duty : duties.values()) {
            run(duty, duty.tick(confirmed, now));
        }
    }

    private void run(MembershipEffect effect, long now) {
        switch (effect) {
            case MembershipEffect.ObtainLease obtain ->
                store.obtainLease(obtain.millis(), result -> {
                    if (result.isRight()) {
                        membership.leased(result.get(), now);
                    } else {
                        membership.leaseCallFailed(clock.getAsLong());
                    }
                });
            case MembershipEffect.RenewLease renewal ->
                store.renewLease(renewal.lease(), result -> {
                    if (result.isRight()) {
                        membership.renewed(now);
                    } else if (result.getLeft() == StoreError.LEASE_ENDED) {
                        LOG.info("event=lease_ended lease={}", renewal.lease());
                        membership.leaseEnded();
                    } else {
                        membership.leaseCallFailed(clock.getAsLong());
                    }
                });
            case MembershipEffect.Register register ->
                write(
                        List.of(),
                        List.of(new StoreClient.Put(
                                FleetRecords.hostKey(register.record().host()),
                                FleetRecords.encode(register.record()),
                                register.lease())));
            case MembershipEffect.ClaimGrants claim -> {
                byte[] record = FleetRecords.encode(claim.record());
                write(
                        List.of(new StoreClient.ExpectedRevision(FleetRecords.GRANTOR, claim.expectedRevision())),
                        List.of(
                                new StoreClient.Put(FleetRecords.GRANTOR, record, claim.lease()),
                                new StoreClient.Put(FleetRecords.LAST_GRANTOR, record, 0)));
            }
            case MembershipEffect.GrantsChanged changed -> grantsChanged(changed, now);
        }
    }

    private void claimSeats(long now) {
        List<LenderElection.Claim> claims = lenders.due(membership.members(), membership.lease(), now);
        if (claims.isEmpty()) {
            return;
        }
        byte[] record = FleetRecords.encodeSeat(membership.self(), membership.lease());
        List<StoreClient.ExpectedRevision> expected = new ArrayList<>();
        List<StoreClient.Put> puts = new ArrayList<>();
        for (LenderElection.Claim claim : claims) {
            String key = FleetRecords.seatKey(claim.number());
            expected.add(new StoreClient.ExpectedRevision(key, claim.expectedRevision()));
            puts.add(new StoreClient.Put(key, record, membership.lease()));
        }
        store.commit(expected, puts, result -> {
            LOG.info("event=lender_seats_claimed seats={} result={}", claims.size(), result);
            lenders.claimEnded(clock.getAsLong());
        });
    }

    private void write(List<StoreClient.ExpectedRevision> expected, List<StoreClient.Put> puts) {
        store.commit(expected, puts, result -> {
            if (result.isLeft() && result.getLeft() == StoreError.LEASE_ENDED) {
                membership.leaseEnded();
            }
            membership.writeEnded(result.isRight(), clock.getAsLong());
        });
    }

    private void grantsChanged(MembershipEffect.GrantsChanged changed, long now) {
        LOG.info("event=grants_changed leading={} predecessorEnded={}", changed.leading(), changed.predecessorEnded());
        leading = changed.leading();
        predecessorEnded = changed.predecessorEnded();
        for (GrantStateMachine duty : duties.values()) {
            if (leading) {
                duty.lead(predecessorEnded, now);
            } else {
                duty.stopLeading();
            }
        }
    }

    private void run(GrantStateMachine duty, List<GrantEffect> effects) {
        for (GrantEffect effect : effects) {
            switch (effect) {
                case GrantEffect.Persist persist -> persist(duty, persist);
                case GrantEffect.Grant grant ->
                    directory
                            .target(grant.target())
                            .ifPresentOrElse(
                                    target ->
                                            grantClient.grant(target.entry(), grant, settings.callTimeout(), result -> {
                                                logUnlessDone(grant, result);
                                                ended(duty, grant.call(), result);
                                            }),
                                    () -> ended(duty, grant.call(), new GrantResult.NotSent()));
                case GrantEffect.Release release ->
                    directory
                            .target(release.target())
                            .ifPresentOrElse(
                                    target -> grantClient.release(
                                            target.entry(), release, RELEASE_TIMEOUT_MILLIS, result -> {
                                                LOG.info("event=keys_released release={} result={}", release, result);
                                                ended(duty, release.call(), result);
                                            }),
                                    () -> ended(duty, release.call(), new GrantResult.NotSent()));
            }
        }
    }

    private static void logUnlessDone(GrantEffect.Grant grant, GrantResult result) {
        if (!(result instanceof GrantResult.Done)) {
            LOG.info("event=grant_failed grant={} result={}", grant, result);
        }
    }

    private void ended(GrantStateMachine duty, long call, GrantResult result) {
        run(duty, duty.ended(call, result, clock.getAsLong()));
    }

    private void persist(GrantStateMachine duty, GrantEffect.Persist persist) {
        persist.table().assignments().stream()
                .filter(assignment -> assignment.move().isPresent())
                .forEach(assignment -> LOG.info("event=move_planned assignment={}", assignment));
        String key = FleetRecords.tableKey(persist.service());
        List<StoreClient.ExpectedRevision> expected = new ArrayList<>();
        expected.add(new StoreClient.ExpectedRevision(FleetRecords.GRANTOR, membership.grantorRevision()));
        expected.add(new StoreClient.ExpectedRevision(key, persist.expectedRevision()));
        store.commit(expected, List.of(new StoreClient.Put(key, TableCodec.encode(persist.table()), 0)), result -> {
            if (result.isRight()) {
                table(persist.service(), persist.table(), result.get());
                run(duty, duty.tick(membership.leaseConfirmed(clock.getAsLong()), clock.getAsLong()));
            } else if (result.getLeft() != StoreError.UNKNOWN) {
                duty.notStored();
            }
        });
    }

    /** Gives the grants and the lease back, so that another host takes over at once. */
    public void stop() {
        membership.stopping();
        observer.leaseValidUntil(membership.lease(), membership.leaseHoldsUntil());
        duties.values().forEach(GrantStateMachine::stopLeading);
        leading = false;
        if (membership.lease() != 0) {
            store.endLease(membership.lease(), result -> LOG.info("event=lease_given_back done={}", result.isRight()));
        }
    }

    /** Returns the host that grants keys. */
    public Optional<FleetMember> grantor() {
        return membership.grantor();
    }

    public boolean leading() {
        return leading;
    }
}
