package org.dragonflymux.gateway.control;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.BooleanSupplier;
import java.util.stream.Collectors;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.dragonflymux.core.balance.TargetDirectory;
import org.dragonflymux.core.balance.TargetEntry;
import org.dragonflymux.core.desired.DesiredState;
import org.dragonflymux.core.desired.ServiceSpec;
import org.dragonflymux.core.membership.FormerGrantors;
import org.dragonflymux.core.membership.GrantorTerm;
import org.dragonflymux.core.membership.MembershipStateMachine;
import org.dragonflymux.core.membership.StoreEpoch;
import org.dragonflymux.core.name.ServiceName;
import org.dragonflymux.core.shard.Assignment;
import org.dragonflymux.core.shard.EndedMove;
import org.dragonflymux.core.shard.GrantEffect;
import org.dragonflymux.core.shard.GrantResult;
import org.dragonflymux.core.shard.GrantSettings;
import org.dragonflymux.core.shard.GrantStateMachine;
import org.dragonflymux.core.shard.ShardTable;
import org.dragonflymux.gateway.RateLimitedLog;
import org.dragonflymux.gateway.clock.HoldClock;
import org.dragonflymux.gateway.clock.LeaseClock;
import org.dragonflymux.gateway.store.StoreClient;
import org.dragonflymux.gateway.store.StoreError;
import org.dragonflymux.gateway.store.StoredItem;

/**
 * Carries out the effects of the grant state machines of all services with shard keys while this host is the grantor, and
 * passes the results back to them.
 */
final class GrantLoop {

    private static final Logger LOG = LogManager.getLogger(GrantLoop.class);
    private static final long RELEASE_TIMEOUT_MILLIS = 4_000;
    private static final double PERCENT = 100;

    private final StoreClient store;
    private final GrantClient grantClient;
    private final MembershipStateMachine membership;
    private final GrantSettings settings;
    private final TargetDirectory directory;
    private final LeaseClock leaseClock;
    private final HoldClock holdClock;
    private final BiConsumer<ServiceName, ShardTable> tableListener;
    private final Map<ServiceName, GrantStateMachine> grantStateMachines = new HashMap<>();
    private final Map<ServiceName, StoredTable> tables = new HashMap<>();
    /** Without its lease, a grantor has hundreds of failed renewals a second. */
    private final RateLimitedLog failures = RateLimitedLog.to(LOG);

    private Optional<GrantorTerm> term = Optional.empty();
    private long termKnownSince;
    private boolean soleGrantorBefore;

    private long epoch;
    /** The services whose table the last term of the epoch before could grant by. */
    private Set<ServiceName> grantedBeforeRestore = Set.of();
    /** Until when this host may renew what it granted in an earlier epoch, by the lease clock. */
    private final Map<ServiceName, Long> earlierRenewalsEndAt = new HashMap<>();

    /**
     * A table as this host knows it.
     *
     * @param revision the revision of the stored table
     * @param contentEpoch the epoch of the store in which the content was read
     */
    private record StoredTable(ShardTable table, long revision, long contentEpoch) {}

    /**
     * Creates the loop of a host that is not the grantor.
     *
     * @param membership tells whether the term of this host is known to be valid in the store
     * @param tableListener receives each new table of a service
     */
    GrantLoop(
            StoreClient store,
            GrantClient grantClient,
            MembershipStateMachine membership,
            GrantSettings settings,
            TargetDirectory directory,
            LeaseClock leaseClock,
            HoldClock holdClock,
            BiConsumer<ServiceName, ShardTable> tableListener) {
        this.store = store;
        this.grantClient = grantClient;
        this.membership = membership;
        this.settings = settings;
        this.directory = directory;
        this.leaseClock = leaseClock;
        this.holdClock = holdClock;
        this.tableListener = tableListener;
    }

    /** Handles a new desired state, which may add services. */
    void desiredStateChanged(DesiredState state) {
        for (ServiceSpec spec : state.services().values()) {
            if (spec.sharded()) {
                GrantStateMachine existing = grantStateMachines.get(spec.name());
                if (existing == null) {
                    GrantStateMachine grantStateMachine = GrantStateMachine.of(spec, settings, directory);
                    grantStateMachines.put(spec.name(), grantStateMachine);
                    Optional.ofNullable(tables.get(spec.name()))
                            .ifPresent(stored -> grantStateMachine.tableStored(stored.table(), stored.revision()));
                    startLeading(grantStateMachine);
                } else {
                    existing.updateSpec(spec);
                }
            }
        }
    }

    /** Handles the stored table of a service. */
    void tableRead(ServiceName service, StoredItem item) {
        if (isNewer(service, item.revision())) {
            TableCodec.decode(item.value())
                    .ifPresentOrElse(
                            table -> applyTable(service, table, item.revision()),
                            () -> tableUnreadable(service, item.revision()));
        }
    }

    private void tableUnreadable(ServiceName service, long revision) {
        LOG.warn("event=table_unreadable service={} revision={}", service, revision);
        StoredTable known = tables.get(service);
        if (known != null && StoreEpoch.of(known.revision()) < epoch) {
            keepTable(service, known, revision);
        }
    }

    /** Keeps a table of an earlier epoch, which takes the place of the stored one with the next write. */
    private void keepTable(ServiceName service, StoredTable known, long revision) {
        tables.put(service, new StoredTable(known.table(), revision, known.contentEpoch()));
        Optional.ofNullable(grantStateMachines.get(service))
                .ifPresent(grantStateMachine -> grantStateMachine.tableStored(known.table(), revision));
    }

    private boolean isNewer(ServiceName service, long revision) {
        return !tables.containsKey(service) || revision > tables.get(service).revision();
    }

    private void applyTable(ServiceName service, ShardTable table, long revision) {
        if (!isNewer(service, revision)) {
            return;
        }
        StoredTable known = tables.get(service);
        if (known != null && isRestored(service, table, revision, known)) {
            LOG.info("event=table_restored service={} lastFence={} revision={}", service, table.lastFence(), revision);
            keepTable(service, known, revision);
            return;
        }
        tables.put(service, new StoredTable(table, revision, StoreEpoch.of(revision)));
        GrantStateMachine grantStateMachine = grantStateMachines.get(service);
        if (grantStateMachine != null) {
            grantStateMachine.tableStored(table, revision);
        }
        tableListener.accept(service, table);
    }

    /**
     * Returns whether a stored table is of an earlier epoch, and the known one shows the owners better: each change of owners
     * takes a higher fencing token, and the only grantor of the epoch before knows by which table it acted.
     */
    private boolean isRestored(ServiceName service, ShardTable stored, long revision, StoredTable known) {
        long storedEpoch = StoreEpoch.of(revision);
        return storedEpoch > known.contentEpoch()
                && stored.lastFence() < StoreEpoch.fenceFloor(storedEpoch)
                && (soleGrantorOf(service)
                        || stored.lastFence() <= known.table().lastFence());
    }

    /**
     * Records the epoch of the store's content, before the tables in it.
     *
     * @param soleGrantor whether this host was the only grantor until the store came back in this epoch
     */
    void epochRead(long readEpoch, boolean soleGrantor) {
        if (readEpoch > epoch) {
            grantedBeforeRestore = grantStateMachines.values().stream()
                    .filter(GrantStateMachine::tableIsOfLastTerm)
                    .map(GrantStateMachine::service)
                    .collect(Collectors.toSet());
        }
        epoch = readEpoch;
        soleGrantorBefore = soleGrantor;
    }

    /**
     * Returns whether the table in memory names all owners of a service's keys. A term that still waited for the holds of an
     * earlier epoch when the store came back again proves nothing of it.
     */
    private boolean soleGrantorOf(ServiceName service) {
        return soleGrantorBefore && grantedBeforeRestore.contains(service);
    }

    /** Records that requests for keys arrived at any host. */
    void recordKeyRequests(Map<ServiceName, int[]> keys) {
        if (term.isEmpty()) {
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

    /** Handles the end of a pass over the records: tables that the store had in an earlier epoch only are written anew. */
    void tablesRead() {
        for (ServiceName service : Set.copyOf(tables.keySet())) {
            StoredTable known = tables.get(service);
            if (StoreEpoch.of(known.revision()) < epoch) {
                LOG.info("event=table_lost service={}", service);
                keepTable(service, known, StoreEpoch.startOf(epoch));
            }
        }
    }

    /** Handles the begin or the end of a term of this host as the grantor. */
    void termChanged(Optional<GrantorTerm> newTerm) {
        LOG.info(
                "event=grants_changed leading={} term={} formerGrantors={} tables={}",
                newTerm.isPresent(),
                newTerm.map(GrantorTerm::revision).orElse(0L),
                newTerm.map(GrantorTerm::formerGrantors).orElse(FormerGrantors.NONE),
                tableRevisions());
        term = newTerm;
        if (newTerm.isEmpty()) {
            grantClient.termEnded();
        }
        termKnownSince = holdClock.nowMillis();
        for (GrantStateMachine grantStateMachine : grantStateMachines.values()) {
            grantStateMachine.stopLeading();
            startLeading(grantStateMachine);
        }
    }

    private Map<ServiceName, Long> tableRevisions() {
        return tables.entrySet().stream()
                .collect(Collectors.toMap(
                        Map.Entry::getKey, stored -> stored.getValue().revision()));
    }

    private void startLeading(GrantStateMachine grantStateMachine) {
        if (term.isPresent()) {
            limitEarlierRenewals(grantStateMachine.service());
        }
        term.ifPresent(current -> grantStateMachine.startLeading(
                current.formerGrantors(),
                termKnownSince,
                current.fenceFloor(),
                soleGrantorOf(grantStateMachine.service()),
                holdClock.nowMillis()));
    }

    /** A term that could not grant by its table doesn't extend the renewals of the terms before it. */
    private void limitEarlierRenewals(ServiceName service) {
        long end = membership.earlierEpochRenewalsEndAt();
        earlierRenewalsEndAt.merge(
                service,
                end,
                (known, latest) -> grantedBeforeRestore.contains(service) ? latest : Math.min(known, latest));
    }

    /** Runs the state machines and carries out the effects that are due. */
    void tick() {
        failures.tick(leaseClock.nowMillis());
        grantStateMachines.values().forEach(this::tick);
    }

    private void tick(GrantStateMachine grantStateMachine) {
        boolean termConfirmed = membership.termConfirmed(leaseClock.nowMillis());
        long now = leaseClock.nowMillis();
        grantStateMachine.renewsEarlierEpoch(membership.renewsEarlierEpoch(now)
                && now < earlierRenewalsEndAt.getOrDefault(grantStateMachine.service(), Long.MIN_VALUE));
        run(grantStateMachine, grantStateMachine.tick(termConfirmed, holdClock.nowMillis()));
    }

    private void run(GrantStateMachine grantStateMachine, List<GrantEffect> effects) {
        logPlacement(grantStateMachine);
        for (GrantEffect effect : effects) {
            // A target whose entry was removed may still hold keys, and its last address tells whether it has ended.
            switch (effect) {
                case GrantEffect.Persist persist -> persist(grantStateMachine, persist);
                case GrantEffect.Grant grant ->
                    directory
                            .lastEntry(grant.target())
                            .ifPresentOrElse(
                                    target -> sendGrant(grantStateMachine, grant, target),
                                    () -> callEnded(grantStateMachine, grant.call(), new GrantResult.NotSent()));
                case GrantEffect.Release release ->
                    directory
                            .lastEntry(release.target())
                            .ifPresentOrElse(
                                    target -> grantClient.release(target, release, RELEASE_TIMEOUT_MILLIS, result -> {
                                        LOG.info("event=keys_released release={} result={}", release, result);
                                        callEnded(grantStateMachine, release.call(), result);
                                    }),
                                    () -> callEnded(grantStateMachine, release.call(), new GrantResult.NotSent()));
            }
        }
    }

    private void sendGrant(GrantStateMachine grantStateMachine, GrantEffect.Grant grant, TargetEntry target) {
        Optional<GrantorTerm> sender = term;
        BooleanSupplier termConfirmed = () -> term.equals(sender) && membership.termConfirmed(leaseClock.nowMillis());
        boolean leaseValid = termConfirmed.getAsBoolean();
        long sentAt = leaseClock.nowMillis();
        grantClient.grant(target, grant, settings.callTimeoutMillis(), termConfirmed, result -> {
            if (!leaseValid || !(result instanceof GrantResult.Done)) {
                failures.info(
                        "event={} grant={} incarnation={} term={} leaseValid={} leaseAgeMs={} result={}",
                        leaseValid ? "grant_failed" : "grant_without_lease",
                        grant,
                        target.incarnation(),
                        sender.map(GrantorTerm::revision).orElse(0L),
                        leaseValid,
                        membership.millisSinceTermConfirmed(sentAt),
                        result);
            }
            callEnded(grantStateMachine, grant.call(), result);
        });
    }

    private static void logPlacement(GrantStateMachine grantStateMachine) {
        grantStateMachine
                .takePlan()
                .ifPresent(plan -> LOG.info(
                        "event=placement_planned service={} moves={} busiestPercent={} meanPercent={} inProgress={} limit={}",
                        grantStateMachine.service(),
                        plan.moves().size(),
                        Math.round(PERCENT * plan.busiestUtilization()),
                        Math.round(PERCENT * plan.meanUtilization()),
                        plan.movesInProgress(),
                        plan.limit()));
        for (EndedMove move : grantStateMachine.takeEndedMoves()) {
            LOG.info(
                    "event=move_ended service={} range={} from={} to={} fenceMs={} releaseMs={} expiryMs={} grantMs={}"
                            + " handover={}",
                    grantStateMachine.service(),
                    move.range(),
                    move.from(),
                    move.to(),
                    move.fenceMillis(),
                    move.releaseMillis(),
                    move.expiryMillis(),
                    move.grantMillis(),
                    move.handover());
        }
    }

    private void callEnded(GrantStateMachine grantStateMachine, long call, GrantResult result) {
        // The lease may have ended since the last tick, if this host was suspended.
        grantStateMachine.leaseConfirmed(membership.termConfirmed(leaseClock.nowMillis()));
        run(grantStateMachine, grantStateMachine.callEnded(call, result, holdClock.nowMillis()));
    }

    private void persist(GrantStateMachine grantStateMachine, GrantEffect.Persist persist) {
        Set<Assignment> stored = Optional.ofNullable(tables.get(persist.service()))
                .map(known -> Set.copyOf(known.table().assignments()))
                .orElse(Set.of());
        persist.table().assignments().stream()
                .filter(assignment -> assignment.move().isPresent() && !stored.contains(assignment))
                .forEach(assignment -> LOG.info("event=move_planned assignment={}", assignment));
        String key = FleetRecords.tableKey(persist.service());
        long termRevision = membership.activeTerm().map(GrantorTerm::revision).orElseThrow();
        List<StoreClient.ExpectedRevision> expected = List.of(
                new StoreClient.ExpectedRevision(FleetRecords.GRANTOR_KEY, termRevision),
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

    /** Stops granting. */
    void stop() {
        grantStateMachines.values().forEach(GrantStateMachine::stopLeading);
        term = Optional.empty();
        grantClient.termEnded();
    }

    /** Returns the term in which this host grants keys, if it does. */
    Optional<GrantorTerm> term() {
        return term;
    }
}
