package org.dragonflymux.core.shard;

/**
 * Neighbouring shard keys.
 *
 * @param first the first key
 * @param last the last key, inclusive
 */
public record KeyRange(int first, int last) implements Comparable<KeyRange> {

    /** The lowest shard key. */
    public static final int MIN_KEY = 0;

    /** The highest shard key. */
    public static final int MAX_KEY = 65_535;

    /** All shard keys. */
    public static final KeyRange ALL = new KeyRange(MIN_KEY, MAX_KEY);

    /**
     * Creates a range.
     *
     * @throws IllegalKeyRangeException if the bounds are not in order or out of range
     */
    public KeyRange {
        if (first < MIN_KEY || last > MAX_KEY || first > last) {
            throw new IllegalKeyRangeException(first, last);
        }
    }

    /** Returns whether the key lies in the range. */
    public boolean contains(int key) {
        return first <= key && key <= last;
    }

    /** Returns whether the other range lies wholly in this one. */
    public boolean contains(KeyRange other) {
        return first <= other.first && other.last <= last;
    }

    /** Returns how many keys the range has. */
    public int size() {
        return last - first + 1;
    }

    @Override
    public int compareTo(KeyRange other) {
        return Integer.compare(first, other.first);
    }
}
