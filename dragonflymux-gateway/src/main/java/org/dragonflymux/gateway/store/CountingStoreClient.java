package org.dragonflymux.gateway.store;

import io.vavr.control.Either;
import java.util.List;
import java.util.function.Consumer;

/** Passes calls on to another client, and counts them by what they are for, since each call has a price. */
public final class CountingStoreClient implements StoreClient {

    private final StoreClient delegate;
    private Counts counts = Counts.NONE;

    /**
     * Calls to the store.
     *
     * @param reads calls that read all values
     * @param watches calls that waited for changes
     * @param writes conditional writes
     * @param leases calls that obtained or ended a lease
     * @param renewals renewals of a lease
     * @param failed how many of all these calls failed
     */
    public record Counts(int reads, int watches, int writes, int leases, int renewals, int failed) {

        static final Counts NONE = new Counts(0, 0, 0, 0, 0, 0);

        Counts plus(Counts other) {
            return new Counts(
                    reads + other.reads,
                    watches + other.watches,
                    writes + other.writes,
                    leases + other.leases,
                    renewals + other.renewals,
                    failed + other.failed);
        }
    }

    private static final Counts READ = new Counts(1, 0, 0, 0, 0, 0);
    private static final Counts WATCH = new Counts(0, 1, 0, 0, 0, 0);
    private static final Counts WRITE = new Counts(0, 0, 1, 0, 0, 0);
    private static final Counts LEASE = new Counts(0, 0, 0, 1, 0, 0);
    private static final Counts RENEWAL = new Counts(0, 0, 0, 0, 1, 0);
    private static final Counts FAILED = new Counts(0, 0, 0, 0, 0, 1);

    private CountingStoreClient(StoreClient delegate) {
        this.delegate = delegate;
    }

    /** Returns a client that counts the calls to another one. */
    public static CountingStoreClient of(StoreClient delegate) {
        return new CountingStoreClient(delegate);
    }

    /** Returns the calls since the last call of this method. */
    public Counts drainCounts() {
        Counts result = counts;
        counts = Counts.NONE;
        return result;
    }

    private <T> Consumer<Either<StoreError, T>> counted(Counts call, Consumer<Either<StoreError, T>> result) {
        counts = counts.plus(call);
        return outcome -> {
            if (outcome.isLeft()) {
                counts = counts.plus(FAILED);
            }
            result.accept(outcome);
        };
    }

    @Override
    public long epoch() {
        return delegate.epoch();
    }

    @Override
    public void range(String prefix, Consumer<Either<StoreError, Range>> result) {
        delegate.range(prefix, counted(READ, result));
    }

    @Override
    public void watch(
            String prefix, long afterRevision, long waitMillis, Consumer<Either<StoreError, Changes>> result) {
        delegate.watch(prefix, afterRevision, waitMillis, counted(WATCH, result));
    }

    @Override
    public void commit(List<ExpectedRevision> expected, List<Put> puts, Consumer<Either<StoreError, Long>> result) {
        delegate.commit(expected, puts, counted(WRITE, result));
    }

    @Override
    public void obtainLease(long millis, Consumer<Either<StoreError, Lease>> result) {
        delegate.obtainLease(millis, counted(LEASE, result));
    }

    @Override
    public void renewLease(long lease, Consumer<Either<StoreError, Long>> result) {
        delegate.renewLease(lease, counted(RENEWAL, result));
    }

    @Override
    public void endLease(long lease, Consumer<Either<StoreError, Long>> result) {
        delegate.endLease(lease, counted(LEASE, result));
    }
}
