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
import org.dragonflymux.core.shard.Move;
import org.dragonflymux.core.shard.ShardTable;
import org.dragonflymux.gateway.store.StoreClient;
import org.dragonflymux.gateway.store.StoreError;
import org.dragonflymux.gateway.store.StoredItem;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class ControlLoopTest {

    private static final ServiceName SERVICE = ServiceName.of("orders");
    private static final FleetMember SELF =
            new FleetMember(HostId.of("front-1"), 7, FailureDomain.of("east"), "127.0.0.1:80");
    private static final TargetEntry OWNER =
            new TargetEntry(TargetId.of("t1"), SERVICE, "127.0.0.1:90", FailureDomain.of("east"), 8, false, 0, 1);
    private static final GrantSettings SETTINGS = GrantSettings.forMaxHold(10_000);
    private static final long LEASE = 3;

    private final List<GrantEffect.Grant> grants = new ArrayList<>();
    private final List<Consumer<GrantResult>> grantResults = new ArrayList<>();
    private final List<GrantEffect.Release> releases = new ArrayList<>();
    private final List<ShardTable> changedTables = new ArrayList<>();
    private final List<Consumer<Either<StoreError, Long>>> tableWrites = new ArrayList<>();
    private final TargetDirectory directory = TargetDirectory.empty();
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

    /** A store that grants one lease and leaves writes unanswered. */
    private final class Store implements StoreClient {

        @Override
        public void range(String prefix, Consumer<Either<StoreError, Range>> result) {}

        @Override
        public void watch(String prefix, long after, long waitMillis, Consumer<Either<StoreError, Changes>> result) {}

        @Override
        public void commit(List<ExpectedRevision> expected, List<Put> puts, Consumer<Either<StoreError, Long>> result) {
            if (puts.getFirst().key().equals(FleetRecords.tableKey(SERVICE))) {
                tableWrites.add(result);
            }
        }

        @Override
        public void obtainLease(long millis, Consumer<Either<StoreError, Lease>> result) {
            result.accept(Either.right(new Lease(LEASE, millis)));
        }

        @Override
        public void renewLease(long lease, Consumer<Either<StoreError, Long>> result) {
            result.accept(Either.right(lease));
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
            grantResults.add(result);
        }

        @Override
        public void release(TargetEntry to, GrantEffect.Release release, long timeout, Consumer<GrantResult> result) {
            releases.add(release);
        }

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

    private static ShardTable table(long fence) {
        return ShardTable.EMPTY.with(new Assignment(KeyRange.ALL, OWNER.id(), 1, fence, Optional.empty()));
    }

    private static StoredItem tableItem(long fence, long revision) {
        return new StoredItem(FleetRecords.tableKey(SERVICE), TableCodec.encode(table(fence)), revision);
    }

    /** Passes the records of a store in which this host is the grantor. */
    private void recordsWith(StoredItem... tables) {
        Map<String, StoredItem> items = new HashMap<>();
        byte[] term = FleetRecords.encodeTerm(SELF, LEASE, FormerGrantors.NONE);
        List.of(
                        new StoredItem(FleetRecords.hostKey(SELF.host()), FleetRecords.encode(SELF), 4),
                        new StoredItem(FleetRecords.GRANTOR_KEY, term, 5),
                        new StoredItem(FleetRecords.LAST_GRANTOR_KEY, term, 5))
                .forEach(item -> items.put(item.key(), item));
        List.of(tables).forEach(table -> items.put(table.key(), table));
        control.recordsChanged(items);
    }

    private void desireService() {
        ServiceSpec service = new ServiceSpec(SERVICE, "/health", 100, 0, 10, true);
        control.desiredStateChanged(new DesiredState(
                1, Map.of(), Map.of(SERVICE, service), Map.of(), false, new RequestLimits(1, 1, 1, 1)));
    }

    private void tickFor(long millis) {
        for (long end = now + millis; now < end; now += 50) {
            control.tick();
        }
    }

    @BeforeEach
    void lead() {
        directory.replace(List.of(OWNER), now);
        control.tick();
        recordsWith();
        control.tick();
        assertThat(control.leading()).isTrue();
    }

    @Test
    void the_grantor_renews_by_a_table_that_is_read_after_its_service_was_added() {
        desireService();
        recordsWith(tableItem(1, 6));
        tickFor(500);

        assertThat(grants).extracting(GrantEffect.Grant::fence).containsOnly(1L);
    }

    /**
     * Guards against keys that nobody grants: a service was added again after the host had read its table, so that the host
     * planned a first table, which the store refuses each time.
     */
    @Test
    void the_grantor_renews_by_a_table_that_was_read_before_its_service_was_added() {
        recordsWith(tableItem(1, 6));
        desireService();
        recordsWith(tableItem(1, 6));
        tickFor(500);

        assertThat(grants).extracting(GrantEffect.Grant::fence).containsOnly(1L);
    }

    /** Guards against requests that are sent to an earlier owner: the answer to a write arrived after a later table. */
    @Test
    void a_late_answer_to_a_write_does_not_bring_back_an_earlier_table() {
        desireService();
        tickFor(3_000);
        assertThat(tableWrites).isNotEmpty();
        recordsWith(tableItem(9, 20));
        tableWrites.getFirst().accept(Either.right(10L));

        assertThat(changedTables).last().isEqualTo(table(9));
    }

    /**
     * Guards against a host that acts without a lease: after a suspension it handled the answer to a call before its next
     * tick, by what that tick had found out about its lease.
     */
    @Test
    void a_move_does_not_go_on_by_a_lease_that_ended_before_the_answer_to_a_call() {
        TargetEntry next =
                new TargetEntry(TargetId.of("t2"), SERVICE, "127.0.0.1:91", FailureDomain.of("east"), 8, false, 0, 1);
        directory.replace(List.of(OWNER, next), now);
        Move move = new Move(next.id(), 1, 4);
        ShardTable moving = ShardTable.EMPTY.with(new Assignment(KeyRange.ALL, OWNER.id(), 1, 1, Optional.of(move)));
        desireService();
        recordsWith(new StoredItem(FleetRecords.tableKey(SERVICE), TableCodec.encode(moving), 6));
        tickFor(500);
        assertThat(grants).extracting(GrantEffect.Grant::fence).containsExactly(2L);
        now += MembershipStateMachine.LEASE_MILLIS + 1;
        grantResults.getFirst().accept(new GrantResult.Done(Optional.empty()));

        assertThat(releases).isEmpty();
    }
}
