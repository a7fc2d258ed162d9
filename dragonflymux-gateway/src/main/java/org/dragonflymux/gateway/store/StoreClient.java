package org.dragonflymux.gateway.store;

import io.vavr.control.Either;
import java.util.List;
import java.util.function.Consumer;

/**
 * A client of the store. Each result is delivered exactly once, on the event loop that made the call. All revisions and lease
 * ids are qualified by the epoch of the store, see {@link org.dragonflymux.core.membership.StoreEpoch}. A call that is answered in
 * another epoch than it was sent in is not acknowledged: its result is {@link StoreError#UNKNOWN}, that of a watch
 * {@link StoreError#COMPACTED}.
 */
public interface StoreClient {

    /**
     * Values and the revision of the store at which they were read.
     *
     * @param items the values
     * @param revision the revision
     */
    record Range(List<StoredItem> items, long revision) {}

    /**
     * Changes in order of their revisions, and the revision up to which they are complete.
     *
     * @param changes the changes
     * @param revision the revision
     */
    record Changes(List<StoreChange> changes, long revision) {}

    /**
     * A precondition of a write: a key must have the given revision.
     *
     * @param key the key
     * @param revision its expected revision, 0 if the key must not exist
     */
    record ExpectedRevision(String key, long revision) {}

    /**
     * A value to write.
     *
     * @param key the key
     * @param value the bytes
     * @param lease the id of the lease that the value is bound to, 0 for none
     */
    record Put(String key, byte[] value, long lease) {}

    /**
     * A lease that was obtained.
     *
     * @param id its id
     * @param millis for how long it is valid after each renewal, in milliseconds
     */
    record Lease(long id, long millis) {}

    /** Returns the highest epoch of the store that an answer has stated, 0 if none has. */
    default long epoch() {
        return 0;
    }

    /** Reads all values whose keys start with a prefix. */
    void range(String prefix, Consumer<Either<StoreError, Range>> result);

    /** Waits for changes of values whose keys start with a prefix, for at most the given time. */
    void watch(String prefix, long afterRevision, long waitMillis, Consumer<Either<StoreError, Changes>> result);

    /** Writes all values if all preconditions are met; the result is the new revision. */
    void commit(List<ExpectedRevision> expected, List<Put> puts, Consumer<Either<StoreError, Long>> result);

    /** Obtains a lease. The store may give it for another duration than the one that is asked for, in milliseconds. */
    void obtainLease(long millis, Consumer<Either<StoreError, Lease>> result);

    void renewLease(long lease, Consumer<Either<StoreError, Long>> result);

    void endLease(long lease, Consumer<Either<StoreError, Long>> result);
}
