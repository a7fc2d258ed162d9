package org.dragonflymux.gateway.store;

import io.vavr.control.Either;
import java.util.List;
import java.util.function.Consumer;

/** The store's calls. Results come on the loop that made the call, exactly once. */
public interface StoreClient {

    /**
     * Values and the revision of the store at which they were read.
     *
     * @param items the values
     * @param revision the revision
     */
    record Range(List<StoredItem> items, long revision) {}

    /**
     * Changes in order, and the revision up to which they are complete.
     *
     * @param changes the changes
     * @param revision the revision
     */
    record Changes(List<StoreChange> changes, long revision) {}

    /**
     * A condition of a write.
     *
     * @param key the key
     * @param revision its revision, 0 where the key must not exist
     */
    record ExpectedRevision(String key, long revision) {}

    /**
     * A value to be written.
     *
     * @param key the key
     * @param value the bytes
     * @param lease the lease it is bound to, 0 for none
     */
    record Put(String key, byte[] value, long lease) {}

    /** Reads all values whose keys begin with a prefix. */
    void range(String prefix, Consumer<Either<StoreError, Range>> result);

    /** Waits for changes of values whose keys begin with a prefix, or until the wait is over. */
    void watch(String prefix, long afterRevision, long waitMillis, Consumer<Either<StoreError, Changes>> result);

    /** Writes all values if all conditions hold, and returns the new revision. */
    void commit(List<ExpectedRevision> expected, List<Put> puts, Consumer<Either<StoreError, Long>> result);

    /** Obtains a lease. */
    void obtainLease(long millis, Consumer<Either<StoreError, Long>> result);

    /** Renews a lease. */
    void renewLease(long lease, Consumer<Either<StoreError, Long>> result);

    /** Ends a lease. */
    void endLease(long lease, Consumer<Either<StoreError, Long>> result);
}
