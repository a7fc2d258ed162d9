package org.dragonflymux.core.shard;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.dragonflymux.core.balance.TargetDirectory;
import org.dragonflymux.core.balance.TargetEntry;
import org.dragonflymux.core.desired.ServiceSpec;
import org.dragonflymux.core.membership.FormerGrantors;
import org.dragonflymux.core.membership.StoreEpoch;
import org.dragonflymux.core.name.FailureDomain;
import org.dragonflymux.core.name.ServiceName;
import org.dragonflymux.core.name.TargetId;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Grants of a term that begins with a table of an earlier epoch of the store. */
class GrantsAfterRestoreTest {

    private static final ServiceName SERVICE = ServiceName.of("orders");
    private static final GrantSettings SETTINGS = GrantSettings.forMaxHold(10_000);
    private static final FormerGrantors ANY_HOST_RENEWS = FormerGrantors.unnamed(SETTINGS.renewalGraceMillis());
    private static final long FLOOR = StoreEpoch.fenceFloor(2);
    private static final TargetId OWNER = TargetId.of("a");
    private static final TargetId NEXT = TargetId.of("b");
    private static final long HOLDS_OF_OTHERS_MILLIS =
            SETTINGS.renewalGraceMillis() + SETTINGS.callTimeoutMillis() + SETTINGS.worstCaseHoldMillis();

    private final TargetDirectory directory = TargetDirectory.empty();
    private final GrantStateMachine machine =
            GrantStateMachine.of(new ServiceSpec(SERVICE, "/health", 100, 3_000, 10, true), SETTINGS, directory);
    private long now = 100_000;

    private static TargetEntry entry(TargetId id) {
        return new TargetEntry(id, SERVICE, "127.0.0.1:1", FailureDomain.of("a"), 3, false, 0, 1);
    }

    private static ShardTable table(Optional<Move> move) {
        return ShardTable.EMPTY.with(new Assignment(KeyRange.ALL, OWNER, 1, 5, move));
    }

    private List<GrantEffect> runFor(long millis) {
        List<GrantEffect> effects = new ArrayList<>();
        for (long end = now + millis; now < end; now += 50) {
            effects.addAll(machine.tick(true, now));
        }
        return effects;
    }

    private static GrantEffect.Persist persisted(List<GrantEffect> effects) {
        return effects.stream()
                .filter(GrantEffect.Persist.class::isInstance)
                .map(GrantEffect.Persist.class::cast)
                .findFirst()
                .orElseThrow();
    }

    @BeforeEach
    void twoTargets() {
        directory.replace(List.of(entry(OWNER), entry(NEXT)), now);
    }

    @Nested
    class OfAnyHost {

        @BeforeEach
        void lead() {
            machine.tableStored(table(Optional.empty()), 1);
            machine.startLeading(ANY_HOST_RENEWS, now, FLOOR, false, now);
        }

        /** Guards against two owners: the owners in a copy may have changed before the restore, and others still renew. */
        @Test
        void begin_only_when_all_earlier_holds_have_ended() {
            assertThat(runFor(HOLDS_OF_OTHERS_MILLIS)).isEmpty();
            assertThat(runFor(100)).hasSize(1).first().isInstanceOf(GrantEffect.Persist.class);
        }

        /** Guards against fencing tokens that decrease: the copy names lower ones than targets have seen. */
        @Test
        void use_tokens_above_the_floor_once_the_table_is_stored() {
            now += HOLDS_OF_OTHERS_MILLIS;
            ShardTable anew = persisted(runFor(1_000)).table();
            assertThat(anew.assignments()).allMatch(assignment -> assignment.fence() > FLOOR);
            assertThat(runFor(1_000)).noneMatch(GrantEffect.Grant.class::isInstance);

            machine.tableStored(anew, 2);
            assertThat(runFor(100))
                    .filteredOn(GrantEffect.Grant.class::isInstance)
                    .extracting(effect -> ((GrantEffect.Grant) effect).fence())
                    .containsExactly(anew.assignments().getFirst().fence());
        }

        /** Guards against keys without owners for longer than needed: their grantor has become the grantor again. */
        @Test
        void go_on_by_the_table_of_its_own_earlier_term_on_proven_connections() {
            machine.renewsEarlierEpoch(true);

            assertThat(runFor(50))
                    .containsExactly(new GrantEffect.Grant(
                            1,
                            OWNER,
                            KeyRange.ALL,
                            5,
                            SETTINGS.holdMillis(),
                            Optional.empty(),
                            GrantEffect.Connection.PROVEN));
        }
    }

    /** Guards against a first table that is granted by at once, though the store has lost one whose owners hold keys. */
    @Test
    void of_a_service_without_a_table_wait_as_well() {
        machine.startLeading(ANY_HOST_RENEWS, now, FLOOR, false, now);

        assertThat(runFor(HOLDS_OF_OTHERS_MILLIS)).isEmpty();
        assertThat(persisted(runFor(1_000)).table().assignments())
                .isNotEmpty()
                .allMatch(assignment -> assignment.fence() > FLOOR);
    }

    @Nested
    class OfTheSoleGrantorBefore {

        @Test
        void begin_as_soon_as_the_table_is_stored_anew() {
            machine.tableStored(table(Optional.empty()), 1);
            machine.startLeading(FormerGrantors.NONE, now, FLOOR, true, now);

            assertThat(persisted(runFor(50)).table().assignments().getFirst().owner())
                    .isEqualTo(OWNER);
        }

        /** Guards against a move that is begun again: its next owner may hold the keys already. */
        @Test
        void resume_a_move_with_the_release() {
            machine.tableStored(table(Optional.of(new Move(NEXT, 1, 9))), 1);
            machine.startLeading(FormerGrantors.NONE, now, FLOOR, true, now);
            machine.tableStored(persisted(runFor(50)).table(), 2);

            List<GrantEffect> effects = runFor(1_000);
            assertThat(effects).noneMatch(GrantEffect.Grant.class::isInstance);
            assertThat(effects)
                    .filteredOn(GrantEffect.Release.class::isInstance)
                    .first()
                    .extracting(effect -> ((GrantEffect.Release) effect).fence() > FLOOR)
                    .isEqualTo(true);
        }
    }

    /** Guards against other tokens in a deployment whose store was never restored. */
    @Test
    void without_a_floor_use_the_stored_tokens_at_once() {
        machine.tableStored(table(Optional.empty()), 1);
        machine.startLeading(FormerGrantors.NONE, now, 0, false, now);

        assertThat(runFor(50))
                .first()
                .extracting(effect -> ((GrantEffect.Grant) effect).fence())
                .isEqualTo(5L);
    }
}
