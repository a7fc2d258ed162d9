package org.dragonflymux.core.assignment;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.dragonflymux.core.configuration.ConfigurationReplica;
import org.dragonflymux.core.configuration.StoredEntry;
import org.dragonflymux.core.document.AssignmentTable;
import org.dragonflymux.core.document.Document;
import org.dragonflymux.core.document.DocumentCodec;
import org.dragonflymux.core.document.Fencing;
import org.dragonflymux.core.document.HostRecord;
import org.dragonflymux.core.document.Lane;
import org.dragonflymux.core.document.LaneState;
import org.dragonflymux.core.document.ServiceDocument;
import org.dragonflymux.core.document.TargetDeclaration;
import org.dragonflymux.core.message.Effect;
import org.dragonflymux.core.message.IdSequence;
import org.dragonflymux.core.message.Outbox;
import org.dragonflymux.core.message.PeerMessage;
import org.dragonflymux.core.message.StoreCall;
import org.dragonflymux.core.message.StoreReply;
import org.dragonflymux.core.name.FailureDomain;
import org.dragonflymux.core.name.HostId;
import org.dragonflymux.core.name.ServiceName;
import org.dragonflymux.core.name.TargetId;
import org.dragonflymux.core.session.HostAuthority;
import org.dragonflymux.core.session.SessionManager;
import org.dragonflymux.core.session.StoreCallTracker;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class AssignmentWriterTest {

    private static final Instant START = Instant.parse("2026-01-01T00:00:00Z");
    private static final ServiceName SERVICE = ServiceName.of("svc");
    private static final HostId SELF = HostId.of("h1");
    private static final HostId OTHER = HostId.of("h2");
    private static final HostRecord RECORD = record(SELF);

    private final IdSequence ids = IdSequence.fromOne();
    private final Outbox outbox = Outbox.empty();
    private final ConfigurationReplica replica = ConfigurationReplica.empty(_ -> {});
    private final StoreCallTracker store = StoreCallTracker.of(ids, outbox);
    private final SessionManager session = SessionManager.of(RECORD, HostAuthority.none(), store, outbox);
    private final AssignmentWriter writer =
            AssignmentWriter.of(replica, AssignmentStateMachine.of(SELF, replica), session, store, outbox);
    private long revision;

    private static HostRecord record(HostId host) {
        return new HostRecord(host, FailureDomain.of("a"), "127.0.0.1:1", 1, false);
    }

    private void put(Document document) {
        long before = revision++;
        replica.merge(
                List.of(new StoredEntry(document.key(), revision, DocumentCodec.toJson(document))), before, revision);
    }

    /** Sets up a service whose only lane another host dispatches, and this host's session. */
    private void setUpTable(HostId assigner, HostId standby) {
        TargetDeclaration target = new TargetDeclaration(TargetId.of("t1"), FailureDomain.of("a"), "127.0.0.1:2", 3);
        put(new ServiceDocument(SERVICE, 1, Fencing.CHECKED, null, 0, 0, 0, 0, null, List.of(target)));
        put(new AssignmentTable(
                SERVICE,
                1,
                assigner,
                standby,
                300_000,
                9,
                1,
                List.of(),
                List.of(new Lane(target.id(), OTHER, 1, LaneState.OPEN)),
                List.of(0),
                List.of()));
        put(RECORD);
        session.tick(START);
        store.replied(lastCall().orElseThrow().call(), new StoreReply.LeaseGranted(1), START);
        store.replied(lastCall().orElseThrow().call(), new StoreReply.Written(revision), START);
        replica.confirm(START);
    }

    private Optional<Effect.CallStore> lastCall() {
        return outbox.drain().stream()
                .filter(Effect.CallStore.class::isInstance)
                .map(Effect.CallStore.class::cast)
                .reduce((_, last) -> last);
    }

    private Optional<StoreCall.WriteTable> proposedWrite() {
        writer.tick(START);
        return outbox.drain().stream()
                .filter(Effect.CallStore.class::isInstance)
                .map(effect -> ((Effect.CallStore) effect).body())
                .filter(StoreCall.WriteTable.class::isInstance)
                .map(StoreCall.WriteTable.class::cast)
                .filter(write -> write.service().equals(SERVICE))
                .findFirst();
    }

    @Nested
    class AWrite {

        @Test
        void requiresThatTheReplacedHostHasNoSession() {
            setUpTable(SELF, null);
            StoreCall.WriteTable write = proposedWrite().orElseThrow();
            assertThat(write.absent()).containsExactly(OTHER);
            assertThat(write.writer()).isEqualTo(SELF);
            assertThat(write.expectedRevision()).isEqualTo(2);
        }

        @Test
        void thatTakesOverTheRoleRequiresThatTheAssignerHasNoSession() {
            setUpTable(OTHER, SELF);
            assertThat(proposedWrite().orElseThrow().absent()).containsExactly(OTHER);
        }

        @Test
        void waitsForAFreshReplica() {
            setUpTable(SELF, null);
            writer.tick(START.plus(AssignmentWriter.MAX_REPLICA_STALENESS).plusMillis(1));
            assertThat(outbox.drain()).isEmpty();
        }
    }

    @Nested
    class APledge {

        private final PeerMessage.AskPledge ask = new PeerMessage.AskPledge(1, SERVICE, 2);
        private final Instant later = START.plus(StoreCallTracker.REACHABILITY_WINDOW);

        @Test
        void isRefusedWhileTheStoreIsReachable() {
            setUpTable(SELF, null);
            assertThat(writer.tryPledge(ask, START)).isFalse();
        }

        @Test
        void keepsThisHostFromWriting() {
            setUpTable(SELF, null);
            assertThat(writer.tryPledge(ask, later)).isTrue();
            replica.confirm(later);
            writer.tick(later);
            assertThat(outbox.drain())
                    .noneMatch(effect -> effect instanceof Effect.CallStore call
                            && call.body() instanceof StoreCall.WriteTable write
                            && write.service().equals(SERVICE));
        }

        @Test
        void isRefusedWhileAWriteMayStillTakeEffect() {
            setUpTable(SELF, null);
            assertThat(proposedWrite()).isPresent();
            assertThat(writer.tryPledge(ask, later)).isFalse();
        }

        @Test
        void isRefusedForAnotherRevisionOfTheTable() {
            setUpTable(SELF, null);
            assertThat(writer.tryPledge(new PeerMessage.AskPledge(1, SERVICE, 1), later))
                    .isFalse();
        }

        @Test
        void isRefusedByAHostThatIsNeitherAssignerNorStandby() {
            setUpTable(OTHER, null);
            assertThat(writer.tryPledge(ask, later)).isFalse();
        }
    }
}
