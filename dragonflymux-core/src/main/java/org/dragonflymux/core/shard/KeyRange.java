package org.dragonflymux.core.shard;

/**
 * A contiguous range of shard keys.
 *
 * @param first the first key
 * @param last the last key, inclusive
 */
public record KeyRange(int first, int last) implements Comparable<KeyRange> {

    public static final int MIN_KEY = 0;

    public static final int MAX_KEY = 65_535;

    public static final KeyRange ALL = new KeyRange(MIN_KEY, MAX_KEY);

    /**
     * Creates a range.
     *
     * @throws IllegalKeyRangeException if the bounds are out of order or not valid shard keys
     */
    public KeyRange {
        if (first < MIN_KEY || last > MAX_KEY || first > last) {
            throw new IllegalKeyRangeException(first, last);
        }
    }

    public boolean contains(int key) {
        return first <= key && key <= last;
    }

    /** Returns whether this range contains all keys of the other range. */
    public boolean contains(KeyRange other) {
        return first <= other.first && other.last <= last;
    }

    public int size() {
        return last - first + 1;
    }

    @Override
    public int compareTo(KeyRange other) {
        return Integer.compare(first, other.first);
    }
}
