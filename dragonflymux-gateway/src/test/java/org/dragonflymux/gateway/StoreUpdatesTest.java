package org.dragonflymux.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.DefaultEventLoop;
import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.dragonflymux.core.balance.TargetEntry;
import org.dragonflymux.core.desired.CustomerSpec;
import org.dragonflymux.core.desired.DesiredState;
import org.dragonflymux.core.desired.RequestLimits;
import org.dragonflymux.core.gateway.Gateway;
import org.dragonflymux.core.gateway.GatewaySettings;
import org.dragonflymux.core.membership.FleetMember;
import org.dragonflymux.core.membership.MembershipStateMachine;
import org.dragonflymux.core.membership.StoreEpoch;
import org.dragonflymux.core.membership.UpdateSourceSelector;
import org.dragonflymux.core.name.CustomerName;
import org.dragonflymux.core.name.FailureDomain;
import org.dragonflymux.core.name.HostId;
import org.dragonflymux.core.name.ServiceName;
import org.dragonflymux.core.quota.LenderPartition;
import org.dragonflymux.core.shard.GrantEffect;
import org.dragonflymux.core.shard.GrantResult;
import org.dragonflymux.core.shard.GrantSettings;
import org.dragonflymux.core.shard.ShardTable;
import org.dragonflymux.gateway.clock.HostClock;
import org.dragonflymux.gateway.control.ControlLoop;
import org.dragonflymux.gateway.control.GrantClient;
import org.dragonflymux.gateway.store.RecordDecoder;
import org.dragonflymux.gateway.store.StoreClient;
import org.dragonflymux.gateway.store.StoreError;
import org.dragonflymux.gateway.store.StoreRecord;
import org.dragonflymux.gateway.store.StoredItem;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** A host that reads the store again after it came back from a copy. */
class StoreUpdatesTest {

    private static final String DESIRED_KEY = "op/desired";
    private static final FleetMember SELF =
            new FleetMember(HostId.of("front-1"), 7, FailureDomain.of("east"), "127.0.0.1:80");
    private static final GrantSettings SETTINGS = GrantSettings.forMaxHold(10_000);

    private final DefaultEventLoop loop = new DefaultEventLoop();
    private final HostClock clock = HostClock.system();
    private final Gateway gateway =
            Gateway.of(new GatewaySettings(SELF.host(), 7, SELF.domain(), 2_000, 2_000, 0.2, 50, 10_000), () -> 0L, 0);
    private final ControlLoop control = ControlLoop.of(
            new IdleStore(),
            new NoGrants(),
            MembershipStateMachine.of(SELF, SETTINGS.renewalGraceMillis()),
            SETTINGS,
            gateway.directory(),
            clock.leaseClock(),
            clock.holdClock(),
            new Ignored());
    private final StoreUpdates updates =
            StoreUpdates.of(loop, new Decoder(), gateway, control, UpdateSourceSelector.of(SELF), clock);

    /** Decodes a value as the version of a desired state whose customer has that rate and that credential. */
    private static final class Decoder implements RecordDecoder {

        @Override
        public String prefix() {
            return "";
        }

        @Override
        public Either<DecodeError, StoreRecord> decode(String key, byte[] value) {
            int version = Integer.parseInt(new String(value, StandardCharsets.UTF_8));
            CustomerSpec customer = new CustomerSpec(CustomerName.of("acme"), OptionalInt.empty(), version, version);
            return Either.right(new StoreRecord.Desired(new DesiredState(
                    version,
                    Map.of(),
                    Map.of(),
                    Map.of("credential-" + version, customer),
                    true,
                    new RequestLimits(1, 1, 1, 1))));
        }
    }

    /** A store that answers no call; the test passes its content. */
    private static final class IdleStore implements StoreClient {

        @Override
        public void range(String prefix, Consumer<Either<StoreError, Range>> result) {}

        @Override
        public void watch(String prefix, long after, long waitMillis, Consumer<Either<StoreError, Changes>> result) {}

        @Override
        public void commit(
                List<ExpectedRevision> expected, List<Put> puts, Consumer<Either<StoreError, Long>> result) {}

        @Override
        public void obtainLease(long millis, Consumer<Either<StoreError, Lease>> result) {}

        @Override
        public void renewLease(long lease, Consumer<Either<StoreError, Long>> result) {}

        @Override
        public void endLease(long lease, Consumer<Either<StoreError, Long>> result) {}
    }

    private static final class NoGrants implements GrantClient {

        @Override
        public void grant(
                TargetEntry to,
                GrantEffect.Grant grant,
                long timeout,
                BooleanSupplier termConfirmed,
                Consumer<GrantResult> result) {}

        @Override
        public void release(TargetEntry to, GrantEffect.Release release, long timeout, Consumer<GrantResult> result) {}

        @Override
        public void termEnded() {}
    }

    private static final class Ignored implements ControlLoop.Listener {

        @Override
        public void tableChanged(ServiceName service, ShardTable table) {}

        @Override
        public void hostsChanged(Map<HostId, FleetMember> members) {}

        @Override
        public void lenderPartitionsChanged(Collection<LenderPartition> lenderPartitions) {}

        @Override
        public void leaseUpdated(long lease, long until) {}
    }

    @AfterEach
    void close() {
        loop.shutdownGracefully();
    }

    private void read(long epoch, long revision, int version) throws Exception {
        byte[] value = Integer.toString(version).getBytes(StandardCharsets.UTF_8);
        StoredItem item = new StoredItem(DESIRED_KEY, value, StoreEpoch.qualify(epoch, revision));
        loop.submit(() -> updates.valuesChanged(Map.of(DESIRED_KEY, item), Set.of(DESIRED_KEY)))
                .get();
    }

    /**
     * Guards against a withdrawn credential that is accepted again and a lowered rate that is raised again, until the operator's
     * state is written again; and against one that isn't read then, since it has an earlier revision.
     */
    @Test
    void the_desired_state_of_a_copy_does_not_replace_a_newer_version() throws Exception {
        read(1, 50, 5);
        read(1, 60, 6);
        read(2, 50, 5);
        assertThat(gateway.desired().orElseThrow().version()).isEqualTo(6);
        assertThat(gateway.desired().orElseThrow().customersByCredential()).containsOnlyKeys("credential-6");

        read(2, 60, 7);
        assertThat(gateway.desired().orElseThrow().version()).isEqualTo(7);
    }
}
