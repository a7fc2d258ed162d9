package org.dragonflymux.core.shard;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.List;
import java.util.Optional;
import org.dragonflymux.core.name.TargetId;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class ShardTableTest {

    private static Assignment owned(int first, int last, String owner, long fence) {
        return new Assignment(new KeyRange(first, last), TargetId.of(owner), 1, fence, Optional.empty());
    }

    @Nested
    class Lookup {

        private final ShardTable table = new ShardTable(2, List.of(owned(100, 199, "b", 2), owned(0, 99, "a", 1)));

        @Test
        void finds_the_assignment_at_both_ends_of_a_range() {
            assertThat(table.assignmentOf(0).orElseThrow().owner()).isEqualTo(TargetId.of("a"));
            assertThat(table.assignmentOf(99).orElseThrow().owner()).isEqualTo(TargetId.of("a"));
            assertThat(table.assignmentOf(100).orElseThrow().owner()).isEqualTo(TargetId.of("b"));
        }

        @Test
        void finds_no_assignment_outside_the_ranges() {
            assertThat(table.assignmentOf(200)).isEmpty();
        }
    }

    @Nested
    class Change {

        @Test
        void splits_the_assignment_that_contains_it() {
            ShardTable table = new ShardTable(1, List.of(owned(0, 99, "a", 1))).with(owned(40, 59, "b", 7));

            assertThat(table.assignments())
                    .containsExactly(owned(0, 39, "a", 1), owned(40, 59, "b", 7), owned(60, 99, "a", 1));
            assertThat(table.lastFence()).isEqualTo(7);
        }

        @Test
        void raises_the_last_fence_to_the_fence_of_a_move() {
            Assignment moving = new Assignment(
                    new KeyRange(0, 9), TargetId.of("a"), 1, 1, Optional.of(new Move(TargetId.of("b"), 1, 9)));

            assertThat(ShardTable.EMPTY.with(moving).lastFence()).isEqualTo(9);
        }

        @Test
        void merges_adjacent_ranges_only_if_the_ownership_is_the_same() {
            assertThat(new ShardTable(1, List.of(owned(0, 9, "a", 1), owned(10, 19, "a", 1))).assignments())
                    .containsExactly(owned(0, 19, "a", 1));
            assertThat(new ShardTable(2, List.of(owned(0, 9, "a", 1), owned(10, 19, "a", 2))).assignments())
                    .hasSize(2);
        }
    }

    @Test
    void rejects_ranges_with_invalid_bounds() {
        assertThatThrownBy(() -> new KeyRange(5, 4)).isInstanceOf(IllegalKeyRangeException.class);
        assertThatThrownBy(() -> new KeyRange(0, 65_536)).isInstanceOf(IllegalKeyRangeException.class);
    }
}
