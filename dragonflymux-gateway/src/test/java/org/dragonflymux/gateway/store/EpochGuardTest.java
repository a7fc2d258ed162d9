package org.dragonflymux.gateway.store;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.control.Either;
import java.util.List;
import java.util.Optional;
import org.dragonflymux.core.membership.StoreEpoch;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class EpochGuardTest {

    private static final StoreClient.ExpectedRevision EXPECTED =
            new StoreClient.ExpectedRevision("key", StoreEpoch.qualify(1, 40));

    private final EpochGuard guard = EpochGuard.create();

    private static StoreClient.Put put(long lease) {
        return new StoreClient.Put("key", new byte[0], lease);
    }

    @Nested
    class AnAnswer {

        /** Guards against a lease, term or write that counts as acknowledged, though the store has lost it since then. */
        @Test
        void under_another_epoch_than_its_call_acknowledges_nothing() {
            guard.answered(Optional.of(1L));
            long sentIn = guard.sendingIn();
            long answeredIn = guard.answered(Optional.of(2L));

            assertThat(guard.result(sentIn, answeredIn, Either.right(7L))).isEqualTo(Either.left(StoreError.UNKNOWN));
        }

        /** Guards against a late answer of before the restore. */
        @Test
        void under_an_earlier_epoch_than_another_answer_acknowledges_nothing() {
            guard.answered(Optional.of(1L));
            long sentIn = guard.sendingIn();
            guard.answered(Optional.of(2L));
            long answeredIn = guard.answered(Optional.of(1L));

            assertThat(guard.result(sentIn, answeredIn, Either.right(7L))).isEqualTo(Either.left(StoreError.UNKNOWN));
            assertThat(guard.epoch()).isEqualTo(2);
        }

        @Test
        void to_the_first_call_acknowledges_it_in_whichever_epoch() {
            long sentIn = guard.sendingIn();
            long answeredIn = guard.answered(Optional.of(5L));

            assertThat(guard.result(sentIn, answeredIn, Either.right(7L)))
                    .isEqualTo(Either.right(StoreEpoch.qualify(5, 7)));
        }

        @Test
        void of_a_store_that_states_no_epoch_is_one_of_epoch_0() {
            long sentIn = guard.sendingIn();

            assertThat(guard.result(sentIn, guard.answered(Optional.empty()), Either.right(7L)))
                    .isEqualTo(Either.right(7L));
            assertThat(guard.preconditions(List.of(new StoreClient.ExpectedRevision("key", 40))))
                    .containsExactly(new StoreClient.ExpectedRevision("key", 40));
        }

        @Test
        void with_an_impossible_epoch_does_not_raise_it() {
            guard.answered(Optional.of(1L));
            guard.answered(Optional.of(Long.MAX_VALUE));
            guard.answered(Optional.of(-3L));

            assertThat(guard.epoch()).isEqualTo(1);
        }
    }

    @Nested
    class AWrite {

        @Test
        void with_a_revision_or_lease_of_another_epoch_is_not_sent() {
            guard.answered(Optional.of(2L));

            assertThat(guard.refusal(List.of(EXPECTED), List.of(put(0)))).contains(StoreError.CONFLICT);
            assertThat(guard.refusal(List.of(), List.of(put(StoreEpoch.qualify(1, 3)))))
                    .contains(StoreError.LEASE_ENDED);
            assertThat(guard.refusal(List.of(), List.of(put(StoreEpoch.qualify(2, 3)))))
                    .isEmpty();
        }

        /** Guards against a write that is under way during the restore, and finds its revisions given out again. */
        @Test
        void names_the_numbers_of_the_store_and_must_find_no_later_epoch() {
            guard.answered(Optional.of(1L));

            assertThat(guard.preconditions(List.of(EXPECTED)))
                    .containsExactly(
                            new StoreClient.ExpectedRevision("key", 40),
                            new StoreClient.ExpectedRevision(EpochGuard.EPOCH_PREFIX + 2, 0));
        }
    }
}
