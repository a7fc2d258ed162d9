package org.dragonflymux.gateway.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.dragonflymux.core.membership.FleetMember;
import org.dragonflymux.core.membership.FormerGrantors;
import org.dragonflymux.core.name.FailureDomain;
import org.dragonflymux.core.name.HostId;
import org.dragonflymux.core.name.TargetId;
import org.dragonflymux.core.shard.Assignment;
import org.dragonflymux.core.shard.KeyRange;
import org.dragonflymux.core.shard.Move;
import org.dragonflymux.core.shard.ShardTable;
import org.dragonflymux.gateway.SocketAddresses;
import org.dragonflymux.gateway.damage.Allocation;
import org.dragonflymux.gateway.damage.DamagedBytes;
import org.dragonflymux.gateway.store.StoredItem;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Guards against records in the store that throw, allocate much, or are believed although they contradict themselves. */
class DamagedRecordsTest {

    private static final int CASES = Integer.getInteger("damage.cases", 5_000);
    private static final long MAX_ALLOCATED_BYTES = 8 << 20;

    @Nested
    class Tables {

        private static final TargetId A = TargetId.of("a");
        private static final TargetId B = TargetId.of("b");
        private static final ShardTable TABLE = new ShardTable(
                9,
                List.of(
                        assignment(0, 99, A, 5, Optional.empty()),
                        assignment(100, 4_000, B, 6, Optional.of(new Move(A, 3, 9))),
                        assignment(5_000, 65_535, A, 7, Optional.empty())));

        private static Assignment assignment(int first, int last, TargetId owner, long fence, Optional<Move> move) {
            return new Assignment(new KeyRange(first, last), owner, 3, fence, move);
        }

        private static void assertConsistent(ShardTable table, String as) {
            int next = KeyRange.MIN_KEY;
            for (Assignment assignment : table.assignments()) {
                assertThat(assignment.range().first()).as(as).isGreaterThanOrEqualTo(next);
                next = assignment.range().last() + 1;
                assertThat(assignment.fence()).as(as).isBetween(0L, table.lastFence());
                assignment
                        .move()
                        .ifPresent(move -> assertThat(move.fence()).as(as).isLessThanOrEqualTo(table.lastFence()));
            }
        }

        @Test
        void damaged_ones_are_rejected_or_without_contradiction() {
            List<byte[]> originals = List.of(TableCodec.encode(TABLE), TableCodec.encode(ShardTable.EMPTY));
            for (int seed = 0; seed < CASES; seed++) {
                byte[] bytes = DamagedBytes.ofMessagePack().draw(new Random(seed), originals);
                String as = "seed " + seed;
                assertThat(Allocation.of(() -> TableCodec.decode(bytes))).as(as).isLessThan(MAX_ALLOCATED_BYTES);
                Optional<ShardTable> read = TableCodec.decode(bytes);
                read.ifPresent(table -> {
                    assertConsistent(table, as);
                    assertThat(TableCodec.decode(TableCodec.encode(table)))
                            .as(as)
                            .contains(table);
                });
            }
        }

        /** A host would take two targets for the owners of the same key. */
        @Test
        void in_which_two_targets_own_a_key_are_rejected() {
            List<Assignment> overlapping = new ArrayList<>();
            overlapping.add(assignment(0, 100, A, 1, Optional.empty()));
            overlapping.add(assignment(100, 200, B, 2, Optional.empty()));

            assertThat(TableCodec.decode(TableCodec.encode(new ShardTable(9, overlapping))))
                    .isEmpty();
        }

        /** The next grantor would issue fencing tokens that were issued before. */
        @Test
        void with_a_fencing_token_above_the_last_one_are_rejected() {
            assertThat(TableCodec.decode(
                            TableCodec.encode(new ShardTable(4, List.of(assignment(0, 100, A, 5, Optional.empty()))))))
                    .isEmpty();
            assertThat(TableCodec.decode(TableCodec.encode(new ShardTable(
                            5, List.of(assignment(0, 100, A, 5, Optional.of(new Move(B, 1, 6))))))))
                    .isEmpty();
        }

        @Test
        void followed_by_further_bytes_are_rejected() {
            byte[] encoded = TableCodec.encode(TABLE);
            byte[] longer = Arrays.copyOf(encoded, encoded.length + 1);

            assertThat(TableCodec.decode(longer)).isEmpty();
        }
    }

    @Nested
    class Hosts {

        private static final FleetMember MEMBER =
                new FleetMember(HostId.of("front-1"), 7, FailureDomain.of("east"), "127.0.0.1:7100");

        @Test
        void damaged_ones_are_rejected_or_usable() {
            List<byte[]> originals =
                    List.of(FleetRecords.encode(MEMBER), FleetRecords.encodeTerm(MEMBER, 3, FormerGrantors.NONE));
            for (int seed = 0; seed < CASES; seed++) {
                Random random = new Random(seed);
                byte[] bytes = DamagedBytes.ofJson().draw(random, originals);
                String as = "seed " + seed + ": " + new String(bytes, StandardCharsets.UTF_8);
                assertThat(Allocation.of(() -> FleetRecords.member(bytes)))
                        .as(as)
                        .isLessThan(MAX_ALLOCATED_BYTES);
                FleetRecords.member(bytes)
                        .ifPresent(member -> assertThat(SocketAddresses.parse(member.peerAddress())
                                        .getPort())
                                .as(as)
                                .isBetween(1, 65_535));
                StoredItem grantor = new StoredItem(FleetRecords.GRANTOR_KEY, bytes, 1);
                StoredItem lender = new StoredItem(FleetRecords.LENDER_PARTITION_PREFIX + "1", bytes, 1);
                assertThat(FleetRecords.grantorTerm(grantor).isPresent())
                        .as(as)
                        .isEqualTo(FleetRecords.member(bytes).isPresent());
                assertThat(FleetRecords.lenderPartition(lender).isPresent())
                        .as(as)
                        .isEqualTo(FleetRecords.member(bytes).isPresent());
            }
        }
    }
}
