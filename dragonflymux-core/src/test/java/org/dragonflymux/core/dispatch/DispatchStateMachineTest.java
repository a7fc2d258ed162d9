package org.dragonflymux.core.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Instant;
import java.util.ArrayList;
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
import org.dragonflymux.core.message.GrantReply;
import org.dragonflymux.core.message.IdSequence;
import org.dragonflymux.core.message.Outbox;
import org.dragonflymux.core.message.Outcome;
import org.dragonflymux.core.message.RefusalReason;
import org.dragonflymux.core.message.ServiceRequest;
import org.dragonflymux.core.message.StoreReply;
import org.dragonflymux.core.message.TargetResult;
import org.dragonflymux.core.message.UnknownReason;
import org.dragonflymux.core.name.CustomerName;
import org.dragonflymux.core.name.FailureDomain;
import org.dragonflymux.core.name.HostId;
import org.dragonflymux.core.name.ServiceName;
import org.dragonflymux.core.name.TargetId;
import org.dragonflymux.core.quarantine.CrashTracker;
import org.dragonflymux.core.session.HostAuthority;
import org.dragonflymux.core.session.LaneAuthority;
import org.dragonflymux.core.session.SessionManager;
import org.dragonflymux.core.session.StoreCallTracker;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class DispatchStateMachineTest {

    private static final Instant START = Instant.parse("2026-01-01T00:00:00Z");
    private static final ServiceName SERVICE = ServiceName.of("svc");
    private static final TargetId TARGET = TargetId.of("t1");
    private static final HostRecord SELF =
            new HostRecord(HostId.of("h1"), FailureDomain.of("a"), "127.0.0.1:1", 1, false);

    private final IdSequence ids = IdSequence.fromOne();
    private final Outbox outbox = Outbox.empty();
    private final ConfigurationReplica replica = ConfigurationReplica.empty(_ -> {});
    private final StoreCallTracker store = StoreCallTracker.of(ids, outbox);
    private final HostAuthority hostAuthority = HostAuthority.none();
    private final SessionManager session = SessionManager.of(SELF, hostAuthority, store, outbox);
    private final LaneAuthority authority = LaneAuthority.of(replica, hostAuthority, session, ids, outbox);
    private final DispatchStateMachine dispatch = DispatchStateMachine.of(
            SELF.host(), replica, RouteCache.over(replica), authority, CrashTracker.empty(), ids, outbox);
    private final List<Outcome> outcomes = new ArrayList<>();

    @BeforeEach
    void assignTheOnlyLaneToThisHost() {
        TargetDeclaration target = new TargetDeclaration(TARGET, SELF.domain(), "127.0.0.1:2", 3);
        put(new ServiceDocument(SERVICE, 1, Fencing.NONE, null, 5000, 0, 0, 0, null, List.of(target)), 1);
        put(table(new Lane(TARGET, SELF.host(), 1, LaneState.OPEN)), 2);
        dispatch.refreshLanes(SERVICE, START);
        dispatch.tick(START);
        dispatch.grantReplied(SERVICE, TARGET, 0, new GrantReply.Answered(true, "boot", 1, false), START);
        outbox.drain();
    }

    private static AssignmentTable table(Lane lane) {
        return new AssignmentTable(
                SERVICE, 1, SELF.host(), null, 0, 9, 1, List.of(), List.of(lane), List.of(0), List.of());
    }

    private void put(Document document, long revision) {
        replica.merge(
                List.of(new StoredEntry(document.key(), revision, DocumentCodec.toJson(document))),
                revision - 1,
                revision);
    }

    /** Opens and renews the session by answering its store calls. */
    private void openSession(long sessionRevision) {
        session.tick(START);
        store.replied(takeStoreCall(), new StoreReply.LeaseGranted(1), START);
        store.replied(takeStoreCall(), new StoreReply.Written(sessionRevision), START);
        session.tick(START);
        store.replied(takeStoreCall(), new StoreReply.LeaseRenewed(true), START);
    }

    private long takeStoreCall() {
        return outbox.drain().stream()
                .filter(Effect.CallStore.class::isInstance)
                .map(effect -> ((Effect.CallStore) effect).call())
                .findFirst()
                .orElseThrow();
    }

    private boolean sends(Instant now) {
        return attempt(now).isPresent();
    }

    private Optional<Long> attempt(Instant now) {
        ServiceRequest request =
                new ServiceRequest(SERVICE, CustomerName.of("acme"), "k", "GET", "/k", List.of(), new byte[0], null);
        dispatch.submit(request, now.plusSeconds(5), now, (outcome, _) -> outcomes.add(outcome));
        return outbox.drain().stream()
                .filter(Effect.CallTarget.class::isInstance)
                .map(effect -> ((Effect.CallTarget) effect).attempt())
                .findFirst();
    }

    @Test
    void sendsOnceTheReplicaHasReachedTheSessionRevision() {
        openSession(2);
        assertThat(sends(START)).isTrue();
    }

    @Test
    void sendsNothingWithoutAuthority() {
        assertThat(sends(START)).isFalse();
        assertThat(outcomes).containsExactly(Outcome.Refused.of(RefusalReason.UNREACHABLE));
    }

    @Test
    void sendsNothingAfterTheAuthorityHasExpired() {
        openSession(2);
        assertThat(sends(START.plus(HostAuthority.SESSION_TTL))).isFalse();
    }

    @Test
    void sendsNothingBeforeTheReplicaHasReachedTheSessionRevision() {
        openSession(3);
        assertThat(sends(START)).isFalse();
    }

    @Test
    void endsRepeatableRequestsOnALostTargetSoThatTheNewOwnerCanRunThem() {
        openSession(2);
        long attempt = attempt(START).orElseThrow();
        put(table(new Lane(TARGET, SELF.host(), 2, LaneState.LOST)), 3);
        dispatch.refreshLanes(SERVICE, START.plusSeconds(2));
        assertThat(outcomes).containsExactly(new Outcome.Unknown(UnknownReason.TARGET_LOST));
        dispatch.attemptEnded(attempt, new TargetResult.TimedOut(), START.plusSeconds(5));
        assertThat(outcomes).hasSize(1);
    }
}
