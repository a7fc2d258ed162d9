package org.dragonflymux.core.membership;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class StoreEpochTest {

    private static final long MAX_EXACT_JSON_NUMBER = 1L << 53;

    /** Guards against a value of before a restore that counts as newer, since its revision is the higher one. */
    @Test
    void a_revision_of_a_later_epoch_is_the_higher_one() {
        assertThat(StoreEpoch.qualify(2, 100)).isGreaterThan(StoreEpoch.qualify(1, 9_000_000));
        assertThat(StoreEpoch.startOf(2)).isGreaterThan(StoreEpoch.qualify(1, 9_000_000));
    }

    @Test
    void a_qualified_number_names_its_epoch_and_the_number_of_the_store() {
        long qualified = StoreEpoch.qualify(3, 100);

        assertThat(StoreEpoch.of(qualified)).isEqualTo(3);
        assertThat(StoreEpoch.numberOf(qualified)).isEqualTo(100);
    }

    /** Guards against lease ids of the store that don't fit, so that the store doesn't know the lease that a host names. */
    @Test
    void all_numbers_that_are_exact_in_json_fit() {
        long highest = MAX_EXACT_JSON_NUMBER - 1;

        for (long epoch : new long[] {0, 1, 1_023}) {
            long qualified = StoreEpoch.qualify(epoch, highest);
            assertThat(StoreEpoch.of(qualified)).isEqualTo(epoch);
            assertThat(StoreEpoch.numberOf(qualified)).isEqualTo(highest);
        }
    }

    /** Guards against other numbers in deployments whose store states no epoch, and against a key that counts as present. */
    @Test
    void numbers_of_epoch_0_and_the_number_of_a_missing_key_are_those_of_the_store() {
        assertThat(StoreEpoch.qualify(0, 100)).isEqualTo(100);
        assertThat(StoreEpoch.qualify(5, 0)).isZero();
    }

    @Test
    void fencing_tokens_of_all_valid_epochs_are_exact_in_json() {
        long highest = 1_023;

        assertThat(StoreEpoch.isValid(highest)).isTrue();
        assertThat(StoreEpoch.isValid(highest + 1)).isFalse();
        assertThat(StoreEpoch.fenceFloor(highest + 1)).isLessThanOrEqualTo(MAX_EXACT_JSON_NUMBER);
    }
}
