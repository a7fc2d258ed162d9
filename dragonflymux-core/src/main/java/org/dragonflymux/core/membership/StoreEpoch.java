package org.dragonflymux.core.membership;

/**
 * The epoch of the store: a number that rises each time the store comes back from a copy, which loses what it has acknowledged
 * since the copy was made. The store gives the same revisions and lease ids out again then. Therefore this program keeps each of
 * them together with the epoch in one number, in the order of epochs first. Numbers of epoch 0 are those of the store.
 */
public final class StoreEpoch {

    /** Bits of a revision or lease id within its epoch. The store may use all numbers that are exact in JSON. */
    private static final int NUMBER_BITS = 53;

    private static final long NUMBER_MASK = (1L << NUMBER_BITS) - 1;

    /** Bits of the fencing tokens of one epoch. Tokens stay below 2^53, the limit of exact numbers in JSON, in all epochs. */
    private static final int FENCE_BITS = 32;

    /** The highest epoch that fits beside a number. */
    private static final long MAX_EPOCH = (1L << (Long.SIZE - 1 - NUMBER_BITS)) - 1;

    private StoreEpoch() {}

    /** Returns a revision or lease id of the store together with its epoch. The number 0, which stands for none, stays 0. */
    public static long qualify(long epoch, long number) {
        return number == 0 ? 0 : epoch << NUMBER_BITS | number & NUMBER_MASK;
    }

    /** Returns the qualified revision before all writes of an epoch. As the expected revision of a key it stands for none. */
    public static long startOf(long epoch) {
        return epoch << NUMBER_BITS;
    }

    /** Returns the epoch of a qualified revision or lease id. */
    public static long of(long qualified) {
        return qualified >> NUMBER_BITS;
    }

    /** Returns a qualified revision or lease id as the store names it. */
    public static long numberOf(long qualified) {
        return qualified & NUMBER_MASK;
    }

    /** Returns whether a number can be the epoch of the store. */
    public static boolean isValid(long epoch) {
        return epoch >= 0 && epoch <= MAX_EPOCH;
    }

    /**
     * Returns a bound that is above all fencing tokens of earlier epochs, also of those that no running host has seen. It isn't
     * applied in the first epoch of a deployment.
     */
    public static long fenceFloor(long epoch) {
        return epoch << FENCE_BITS;
    }
}
