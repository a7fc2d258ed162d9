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
import org.dragonflymux.core.document.DocumentKey;
import org.dragonflymux.core.document.Fencing;
import org.dragonflymux.core.document.HostRecord;
import org.dragonflymux.core.document.ReleaseOrder;
import org.dragonflymux.core.document.ServiceDocument;
import org.dragonflymux.core.document.TargetDeclaration;
import org.dragonflymux.core.name.FailureDomain;
import org.dragonflymux.core.name.HostId;
import org.dragonflymux.core.name.ServiceName;
import org.dragonflymux.core.name.TargetId;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class AssignmentStateMachineTest {

    private static final Instant START = Instant.parse("2026-01-01T00:00:00Z");
    private static final int CONTINUITY_MILLIS = 10_000;
    private static final ServiceDocument SERVICE = new ServiceDocument(
            ServiceName.of("svc"),
            8,
            Fencing.CHECKED,
            null,
            0,
            0,
            CONTINUITY_MILLIS,
            0,
            null,
            List.of(new TargetDeclaration(TargetId.of("t1"), FailureDomain.of("a"), "127.0.0.1:1", 3)));

    private final ConfigurationReplica replica = ConfigurationReplica.empty(_ -> {});
    private long revision;

    @BeforeEach
    void createTable() {
        addSession("a1");
        addSession("b1");
        addSession("c1");
        AssignmentTable table =
                stateMachine("a1").propose(SERVICE, false, START).orElseThrow();
        put(table);
        put(stateMachine("a1").propose(SERVICE, false, START).orElse(table));
    }

    private void put(Document document) {
        replica.mergeEntry(new StoredEntry(document.key(), ++revision, DocumentCodec.toJson(document)));
    }

    private void addSession(String host) {
        put(new HostRecord(HostId.of(host), FailureDomain.of(host.substring(0, 1)), "127.0.0.1:2", 1, false));
    }

    private void removeSession(String host) {
        replica.mergeEntry(new StoredEntry(DocumentKey.session(HostId.of(host)), ++revision, null));
    }

    private AssignmentStateMachine stateMachine(String host) {
        return AssignmentStateMachine.of(HostId.of(host), replica);
    }

    @Test
    void onlyTheAssignerWritesWhileItsSessionExists() {
        removeSession("b1");
        assertThat(stateMachine("a1").propose(SERVICE, false, START)).isPresent();
        assertThat(stateMachine("c1").propose(SERVICE, false, START)).isEmpty();
    }

    @Test
    void theStandbyTakesOverWhenTheAssignersSessionIsGone() {
        assertThat(stateMachine("b1").propose(SERVICE, false, START)).isEmpty();
        removeSession("a1");
        Optional<AssignmentTable> next = stateMachine("b1").propose(SERVICE, false, START);
        assertThat(next).get().extracting(AssignmentTable::assigner).isEqualTo(HostId.of("b1"));
        assertThat(next).get().extracting(AssignmentTable::term).isEqualTo(2L);
    }

    @Test
    void aHostWithoutASessionWritesNothing() {
        removeSession("a1");
        assertThat(stateMachine("a1").propose(SERVICE, false, START)).isEmpty();
    }

    @Test
    void theLastHostCanLeave() {
        removeSession("b1");
        removeSession("c1");
        put(stateMachine("a1").propose(SERVICE, false, START).orElseThrow());
        assertThat(stateMachine("a1").propose(SERVICE, true, START)).isEmpty();
    }

    @Nested
    class BothAbsent {

        @BeforeEach
        void removeAssignerAndStandby() {
            removeSession("a1");
            removeSession("b1");
        }

        @Test
        void anyHostTakesOverOnlyAfterThePledgesHaveExpired() {
            AssignmentStateMachine stateMachine = stateMachine("c1");
            stateMachine.observeAbsentHosts(START);
            Instant before = START.plusMillis(CONTINUITY_MILLIS - 1);
            stateMachine.observeAbsentHosts(before);
            assertThat(stateMachine.propose(SERVICE, false, before)).isEmpty();
            Instant then = START.plusMillis(CONTINUITY_MILLIS);
            assertThat(stateMachine.propose(SERVICE, false, then)).isPresent();
        }

        @Test
        void timeWithoutAFreshReplicaDoesNotCount() {
            AssignmentStateMachine stateMachine = stateMachine("c1");
            stateMachine.observeAbsentHosts(START);
            stateMachine.resetObservations();
            Instant then = START.plusMillis(CONTINUITY_MILLIS);
            stateMachine.observeAbsentHosts(then);
            assertThat(stateMachine.propose(SERVICE, false, then)).isEmpty();
        }

        @Test
        void aReleaseOrderEndsTheWait() {
            AssignmentStateMachine stateMachine = stateMachine("c1");
            stateMachine.observeAbsentHosts(START);
            put(new ReleaseOrder(SERVICE.name(), 0));
            assertThat(stateMachine.propose(SERVICE, false, START)).isEmpty();
            put(new ReleaseOrder(SERVICE.name(), 1));
            assertThat(stateMachine.propose(SERVICE, false, START)).isPresent();
        }
    }
}
