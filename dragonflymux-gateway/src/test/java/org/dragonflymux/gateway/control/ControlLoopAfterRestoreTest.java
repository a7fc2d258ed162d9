package org.dragonflymux.gateway.control;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.dragonflymux.core.balance.TargetDirectory;
import org.dragonflymux.core.balance.TargetEntry;
import org.dragonflymux.core.desired.DesiredState;
import org.dragonflymux.core.desired.RequestLimits;
import org.dragonflymux.core.desired.ServiceSpec;
import org.dragonflymux.core.membership.FleetMember;
import org.dragonflymux.core.membership.FormerGrantors;
import org.dragonflymux.core.membership.MembershipStateMachine;
import org.dragonflymux.core.membership.StoreEpoch;
import org.dragonflymux.core.name.FailureDomain;
import org.dragonflymux.core.name.HostId;
import org.dragonflymux.core.name.ServiceName;
import org.dragonflymux.core.name.TargetId;
import org.dragonflymux.core.quota.LenderPartition;
import org.dragonflymux.core.shard.Assignment;
import org.dragonflymux.core.shard.GrantEffect;
import org.dragonflymux.core.shard.GrantResult;
import org.dragonflymux.core.shard.GrantSettings;
import org.dragonflymux.core.shard.KeyRange;
import org.dragonflymux.core.shard.ShardTable;
import org.dragonflymux.gateway.store.StoreClient;
import org.dragonflymux.gateway.store.StoreError;
import org.dragonflymux.gateway.store.StoredItem;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** A grantor whose store comes back from a copy. */
class ControlLoopAfterRestoreTest {

    private static final ServiceName SERVICE = ServiceName.of("orders");
    private static final FleetMember SELF =
            new FleetMember(HostId.of("front-1"), 7, FailureDomain.of("east"), "127.0.0.1:80");
    private static final FleetMember OTHER =
            new FleetMember(HostId.of("front-2"), 7, FailureDomain.of("east"), "127.0.0.1:81");
    private static final TargetEntry OWNER = target("t1");
    private static final TargetEntry EARLIER_OWNER = target("t2");
    private static final GrantSettings SETTINGS = GrantSettings.forMaxHold(10_000);
    private static final long TICK_MILLIS = 50;

    private final List<GrantEffect.Grant> grants = new ArrayList<>();
    private final List<ShardTable> tableWrites = new ArrayList<>();
    private final List<StoreClient.Put> claims = new ArrayList<>();
    private final List<ShardTable> changedTables = new ArrayList<>();
    private final TargetDirectory directory = TargetDirectory.empty();
    private long epoch = 1;
    private long revision = 10;
    private long now = 50_000;
    private final ControlLoop control = ControlLoop.of(
            new Store(),
            new Grants(),
            MembershipStateMachine.of(SELF, SETTINGS.renewalGraceMillis()),
            SETTINGS,
            directory,
            () -> now,
            () -> now,
            new Tables());

    private static TargetEntry target(String id) {
        return new TargetEntry(TargetId.of(id), SERVICE, "127.0.0.1:90", FailureDomain.of("east"), 8, false, 0, 1);
    }

    /** A store that acknowledges leases and records the writes of terms and tables. */
    private final class Store implements StoreClient {

        @Override
        public long epoch() {
            return epoch;
        }

        @Override
        public void range(String prefix, Consumer<Either<StoreError, Range>> result) {}

        @Override
        public void watch(String prefix, long after, long waitMillis, Consumer<Either<StoreError, Changes>> result) {}

        @Override
        public void commit(List<ExpectedRevision> expected, List<Put> puts, Consumer<Either<StoreError, Long>> result) {
            if (puts.stream().anyMatch(put -> put.lease() != 0 && put.lease() != lease())) {
                // The client of the store doesn't send a write under a lease of an earlier epoch.
                result.accept(Either.left(StoreError.LEASE_ENDED));
                return;
            }
            String key = puts.getFirst().key();
            if (key.equals(FleetRecords.GRANTOR_KEY)) {
                claims.addAll(puts);
            } else if (key.equals(FleetRecords.tableKey(SERVICE))) {
                tableWrites.add(TableCodec.decode(puts.getFirst().value()).orElseThrow());
            }
            result.accept(Either.right(StoreEpoch.qualify(epoch, ++revision)));
        }

        @Override
        public void obtainLease(long millis, Consumer<Either<StoreError, Lease>> result) {
            result.accept(Either.right(new Lease(lease(), millis)));
        }

        @Override
        public void renewLease(long lease, Consumer<Either<StoreError, Long>> result) {
            result.accept(lease == lease() ? Either.right(lease) : Either.left(StoreError.LEASE_ENDED));
        }

        @Override
        public void endLease(long lease, Consumer<Either<StoreError, Long>> result) {}
    }

    private final class Grants implements GrantClient {

        @Override
        public void grant(
                TargetEntry to,
                GrantEffect.Grant grant,
                long timeout,
                BooleanSupplier termConfirmed,
                Consumer<GrantResult> result) {
            grants.add(grant);
            result.accept(new GrantResult.Done(Optional.empty()));
        }

        @Override
        public void release(TargetEntry to, GrantEffect.Release release, long timeout, Consumer<GrantResult> result) {}

        @Override
        public void termEnded() {}
    }

    private final class Tables implements ControlLoop.Listener {

        @Override
        public void tableChanged(ServiceName service, ShardTable table) {
            changedTables.add(table);
        }

        @Override
        public void hostsChanged(Map<HostId, FleetMember> members) {}

        @Override
        public void lenderPartitionsChanged(Collection<LenderPartition> lenderPartitions) {}

        @Override
        public void leaseUpdated(long lease, long until) {}
    }

    private long lease() {
        return StoreEpoch.qualify(epoch, 3);
    }

    private static ShardTable table(TargetEntry owner, long fence) {
        return ShardTable.EMPTY.with(new Assignment(KeyRange.ALL, owner.id(), 1, fence, Optional.empty()));
    }

    private StoredItem item(String key, byte[] value, long at) {
        return new StoredItem(key, value, StoreEpoch.qualify(epoch, at));
    }

    private void recordsWith(byte[] term, long termAt, Optional<ShardTable> table, long tableAt) {
        Map<String, StoredItem> items = new HashMap<>();
        items.put(FleetRecords.GRANTOR_KEY, item(FleetRecords.GRANTOR_KEY, term, termAt));
        items.put(FleetRecords.LAST_GRANTOR_KEY, item(FleetRecords.LAST_GRANTOR_KEY, term, termAt));
        String hostKey = FleetRecords.hostKey(SELF.host());
        items.put(hostKey, item(hostKey, FleetRecords.encode(SELF), 4));
        String tableKey = FleetRecords.tableKey(SERVICE);
        table.ifPresent(stored -> items.put(tableKey, item(tableKey, TableCodec.encode(stored), tableAt)));
        control.recordsChanged(items);
    }

    private byte[] term(FleetMember holder, long inEpoch) {
        return FleetRecords.encodeTerm(holder, StoreEpoch.qualify(inEpoch, 3), FormerGrantors.NONE, inEpoch, false);
    }

    private void tickFor(long millis) {
        for (long end = now + millis; now < end; now += TICK_MILLIS) {
            control.tick();
        }
    }

    /** Passes a copy of the store in which another host was the grantor, and the keys had another owner. */
    private void restoreWith(Optional<ShardTable> table) {
        epoch = 2;
        revision = 6;
        grants.clear();
        tableWrites.clear();
        recordsWith(term(OTHER, 1), 3, table, 4);
    }

    /** Lets the claim that this host sends after the restore take effect. */
    private void claim() {
        tickFor(2_000);
        assertThat(claims).isNotEmpty();
        byte[] record = claims.getLast().value();
        grants.clear();
        recordsWith(record, 20, Optional.empty(), 0);
    }

    @BeforeEach
    void leadInEpochOne() {
        directory.replace(List.of(OWNER, EARLIER_OWNER), now);
        control.desiredStateChanged(new DesiredState(
                1,
                Map.of(),
                Map.of(SERVICE, new ServiceSpec(SERVICE, "/health", 100, 0, 10, true)),
                Map.of(),
                false,
                new RequestLimits(1, 1, 1, 1)));
        control.tick();
        recordsWith(term(SELF, 1), 5, Optional.of(table(OWNER, 90)), 6);
        control.tick();
        assertThat(control.leading()).isTrue();
        assertThat(grants).isNotEmpty();
    }

    /** Guards against the owner in the copy, which may have lost its keys since then. */
    @Test
    void the_grantor_neither_routes_nor_grants_by_an_older_table() {
        int before = changedTables.size();
        restoreWith(Optional.of(table(EARLIER_OWNER, 40)));
        tickFor(30_000);

        assertThat(changedTables).hasSize(before);
        assertThat(grants).extracting(GrantEffect.Grant::target).containsOnly(OWNER.id());
        assertThat(grants).extracting(GrantEffect.Grant::fence).containsOnly(90L);
    }

    @Test
    void the_sole_grantor_writes_its_table_anew_at_once() {
        restoreWith(Optional.of(table(EARLIER_OWNER, 40)));
        claim();
        tickFor(1_000);

        assertThat(tableWrites.getFirst().assignments())
                .extracting(Assignment::owner)
                .containsOnly(OWNER.id());
        assertThat(tableWrites.getFirst().assignments())
                .allMatch(assignment -> assignment.fence() > StoreEpoch.fenceFloor(2));
    }

    /** Guards against keys without an owner for good: the copy was made before the first table was written. */
    @Test
    void a_table_that_the_store_has_lost_is_written_anew() {
        restoreWith(Optional.empty());
        claim();
        tickFor(1_000);

        assertThat(tableWrites).isNotEmpty();
        assertThat(grants).extracting(GrantEffect.Grant::target).containsOnly(OWNER.id());
    }

    /** Guards against two owners: this host's lease had ended, so that another host may have moved the keys since then. */
    @Test
    void a_grantor_whose_lease_had_ended_waits_before_it_writes_the_table() {
        now += MembershipStateMachine.LEASE_MILLIS;
        restoreWith(Optional.of(table(EARLIER_OWNER, 40)));
        claim();
        tickFor(SETTINGS.renewalGraceMillis());

        assertThat(tableWrites).isEmpty();
        tickFor(SETTINGS.worstCaseHoldMillis() + SETTINGS.callTimeoutMillis() + 1_000);
        assertThat(tableWrites).isNotEmpty();
    }

    @Test
    void the_claim_marks_the_epoch_as_begun_and_names_it() {
        restoreWith(Optional.empty());
        tickFor(2_000);

        assertThat(claims).extracting(StoreClient.Put::key).contains(FleetRecords.epochKey(2));
        StoredItem record = item(FleetRecords.GRANTOR_KEY, claims.getFirst().value(), 20);
        assertThat(FleetRecords.grantorTerm(record).orElseThrow().restored()).isFalse();
        assertThat(FleetRecords.grantorTerm(record).orElseThrow().fenceFloor()).isEqualTo(StoreEpoch.fenceFloor(2));
    }

    /** Guards against two owners: while this host waits for the holds of epoch 1, the store comes back once more. */
    @Test
    void a_grantor_that_still_waits_when_the_store_comes_back_again_waits_on() {
        now += MembershipStateMachine.LEASE_MILLIS;
        restoreWith(Optional.of(table(EARLIER_OWNER, 40)));
        claim();
        tickFor(500);
        claims.clear();
        epoch = 3;
        recordsWith(term(SELF, 2), 8, Optional.of(table(EARLIER_OWNER, 40)), 4);
        claim();
        tickFor(5_000);

        assertThat(tableWrites).isEmpty();
        tickFor(SETTINGS.renewalGraceMillis() + SETTINGS.worstCaseHoldMillis() + SETTINGS.callTimeoutMillis());
        assertThat(tableWrites).isNotEmpty();
    }

    /** Guards against renewals of epoch 1 beyond the time for which others wait, counted from the short term of epoch 2. */
    @Test
    void a_term_that_only_waited_does_not_extend_the_renewals_of_an_earlier_epoch() {
        now += MembershipStateMachine.LEASE_MILLIS;
        restoreWith(Optional.of(table(EARLIER_OWNER, 40)));
        claim();
        tickFor(5_000);
        claims.clear();
        epoch = 3;
        recordsWith(term(SELF, 2), 8, Optional.of(table(EARLIER_OWNER, 40)), 4);
        claim();
        tickFor(1_000);
        grants.clear();
        tickFor(2_000);

        assertThat(tableWrites).isEmpty();
        assertThat(grants).isEmpty();
    }

    /** Guards against a term that counts as over at once, since its holder claimed it before its copy showed the new epoch. */
    @Test
    void a_claim_before_the_copy_is_replaced_names_the_epoch_of_its_lease() {
        String hostKey = FleetRecords.hostKey(SELF.host());
        control.recordsChanged(Map.of(hostKey, item(hostKey, FleetRecords.encode(SELF), 7)));
        epoch = 2;
        tickFor(20_000);

        assertThat(claims).isNotEmpty();
        StoredItem record = item(FleetRecords.GRANTOR_KEY, claims.getLast().value(), 20);
        assertThat(FleetRecords.grantorTerm(record).orElseThrow().restored()).isFalse();
    }
}
