package org.dragonflymux.gateway.store;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.dragonflymux.core.membership.StoreEpoch;

/**
 * Decides which answers of the store count, by the epochs in which calls were sent and answered. A client of the store asks it
 * before each call and with each answer.
 */
public final class EpochGuard {

    /** The prefix of keys that show that a host has written in an epoch, followed by the number of the epoch. */
    public static final String EPOCH_PREFIX = "dragonfly/epochs/";

    private static final Logger LOG = LogManager.getLogger(EpochGuard.class);
    private static final long UNKNOWN = -1;
    /** One answer to confirm a higher epoch, and one to a call that was sent in it. */
    private static final int MAX_READ_REPEATS = 2;

    private long current = UNKNOWN;
    /** A higher epoch that only the last answer has stated. */
    private long unconfirmed = UNKNOWN;

    private boolean stated;

    private EpochGuard() {}

    /** Returns the guard of a client that has had no answer yet. */
    public static EpochGuard create() {
        return new EpochGuard();
    }

    /** Returns the highest epoch that the store has answered in, 0 before the first answer. */
    public long epoch() {
        return Math.max(0, current);
    }

    /** Returns the epoch that a call is sent in now, to be passed in with its answer. */
    public long sendingIn() {
        return current;
    }

    /**
     * Records an answer of the store. A known epoch rises only when two answers in a row state the same higher one: a single
     * damaged header would end the leases of all hosts, and no answer with the true epoch would count any more. The first of
     * the two isn't acknowledged.
     *
     * @param epoch the epoch that the answer states, empty if it states none
     * @return the epoch of the answer
     */
    public long answered(Optional<Long> epoch) {
        long answeredIn = epoch.filter(StoreEpoch::isValid).orElse(0L);
        stated |= epoch.isPresent();
        if (current == UNKNOWN) {
            current = answeredIn;
        } else if (answeredIn > current && answeredIn == unconfirmed) {
            LOG.warn("event=store_epoch epoch={} before={}", answeredIn, current);
            current = answeredIn;
        }
        unconfirmed = answeredIn > current ? answeredIn : UNKNOWN;
        return answeredIn;
    }

    /** Returns whether an answer confirms what its call asked for: it was sent and answered in the present epoch. */
    public boolean acknowledges(long sentIn, long answeredIn) {
        return answeredIn == current && (sentIn == UNKNOWN || sentIn == answeredIn);
    }

    /**
     * Returns whether a read whose answer isn't acknowledged is to be repeated at once: the next answer confirms a higher epoch or
     * shows that the header was damaged, and the one after it is of the confirmed epoch.
     *
     * @param repeats how many times the read has been repeated already
     */
    public static boolean repeatsRead(int repeats) {
        return repeats < MAX_READ_REPEATS;
    }

    /** Returns whether a revision or lease id is of another epoch than the present one, so that the store doesn't know it. */
    public boolean isOfOtherEpoch(long qualified) {
        return qualified != 0 && current != UNKNOWN && StoreEpoch.of(qualified) != current;
    }

    /** Returns the reason not to send a write, if a revision or lease in it is of another epoch. */
    public Optional<StoreError> refusal(List<StoreClient.ExpectedRevision> expected, List<StoreClient.Put> puts) {
        if (puts.stream().anyMatch(put -> isOfOtherEpoch(put.lease()))) {
            return Optional.of(StoreError.LEASE_ENDED);
        }
        return expected.stream().anyMatch(row -> isOfOtherEpoch(row.revision()))
                ? Optional.of(StoreError.CONFLICT)
                : Optional.empty();
    }

    /**
     * Returns the preconditions of a write as the store is told them. A write that reaches the store in a later epoch than it was
     * sent in could find its preconditions met by other writes with the same revisions, so it must find no later epoch's key.
     */
    public List<StoreClient.ExpectedRevision> preconditions(List<StoreClient.ExpectedRevision> expected) {
        List<StoreClient.ExpectedRevision> result = new ArrayList<>();
        expected.forEach(
                row -> result.add(new StoreClient.ExpectedRevision(row.key(), StoreEpoch.numberOf(row.revision()))));
        if (stated) {
            result.add(new StoreClient.ExpectedRevision(EPOCH_PREFIX + (epoch() + 1), 0));
        }
        return result;
    }

    /** Returns the result of a lease call or write: its number in the present epoch, or unknown if it isn't acknowledged. */
    public Either<StoreError, Long> result(long sentIn, long answeredIn, Either<StoreError, Long> number) {
        return acknowledges(sentIn, answeredIn)
                ? number.map(value -> StoreEpoch.qualify(answeredIn, value))
                : Either.left(StoreError.UNKNOWN);
    }
}
