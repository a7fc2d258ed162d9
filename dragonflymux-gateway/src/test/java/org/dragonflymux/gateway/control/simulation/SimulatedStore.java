package org.dragonflymux.gateway.control.simulation;

import io.vavr.control.Either;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.dragonflymux.core.balance.TargetEntry;
import org.dragonflymux.core.membership.StoreEpoch;
import org.dragonflymux.core.name.TargetId;
import org.dragonflymux.gateway.control.FleetRecords;
import org.dragonflymux.gateway.store.EpochGuard;
import org.dragonflymux.gateway.store.StoreClient;
import org.dragonflymux.gateway.store.StoreError;
import org.dragonflymux.gateway.store.StoredItem;

/**
 * A linearizable store with leases. It can stop answering single hosts, lose answers, carry out writes late, show its content of
 * some seconds ago, and come back from a copy.
 */
final class SimulatedStore {

    private static final long ONE_WAY_MILLIS = 3;
    private static final long CALL_TIMEOUT_MILLIS = 1_500;
    private static final long LEASE_CHECK_MILLIS = 20;
    private static final int MIN_LATE_WRITE_MILLIS = 1_000;
    private static final int MAX_LATE_WRITE_MILLIS = 6_000;
    private static final long SNAPSHOT_MILLIS = 10;
    /** The store refuses a write with more preconditions and values together. */
    private static final int MAX_ENTRIES_PER_WRITE = 32;

    private static final long HISTORY_MILLIS = 10_000;
    /** Within which time a target writes its entry again after the store came back from a copy. */
    private static final int MAX_REWRITE_MILLIS = 1_500;

    private final VirtualTime time;
    private final SplittableRandom random;
    private final Map<String, StoredItem> items = new TreeMap<>();
    private final Map<String, Long> leaseOfKey = new HashMap<>();
    private final Map<Long, Lease> leases = new HashMap<>();
    private final Map<TargetId, TargetEntry> targets = new HashMap<>();
    /** The entries that the targets want in the store. They write them again after it came back from a copy. */
    private final Map<TargetId, TargetEntry> currentTargets = new HashMap<>();

    private final Set<String> unanswered = new HashSet<>();
    private long revision = 100;
    private double lostAnswerShare;
    private double lateWriteShare;
    private long lastLateWriteAt;
    private final Deque<Snapshot> history = new ArrayDeque<>();
    private boolean keepsHistory;
    private long epoch;
    private boolean down;
    private long lastRestoreAt;

    private static final class Lease {
        private final long millis;
        private long endsAt;

        private Lease(long millis, long now) {
            this.millis = millis;
            renew(now);
        }

        private Lease(Lease copied) {
            millis = copied.millis;
            endsAt = copied.endsAt;
        }

        private void renew(long now) {
            endsAt = now + millis;
        }
    }

    /** The content of the store at one revision, with qualified revisions. */
    record Snapshot(
            long at,
            long revision,
            Map<String, StoredItem> items,
            List<TargetEntry> targets,
            Map<String, Long> leaseOfKey,
            Map<Long, Lease> leases) {}

    SimulatedStore(VirtualTime time, SplittableRandom random) {
        this.time = time;
        this.random = random;
        time.every(LEASE_CHECK_MILLIS, this::endLeases);
    }

    /** Sets whether calls of a host get no answer; they are not carried out either. */
    void answers(String host, boolean answering) {
        if (answering) {
            unanswered.remove(host);
        } else {
            unanswered.add(host);
        }
    }

    boolean answers(String host) {
        return !down && !unanswered.contains(host);
    }

    void loseAnswers(double share) {
        lostAnswerShare = share;
    }

    /** Sets the share of writes that are carried out seconds later, if their conditions still hold, and not answered. */
    void lateWrites(double share) {
        lateWriteShare = share;
    }

    /** Sets the epoch in which the store starts. */
    void startInEpoch(long first) {
        epoch = first;
    }

    /**
     * Takes the store down for a while. It comes back from a copy of its content: leases and writes since then are lost, and their
     * numbers are given out again. Targets write their entries again.
     *
     * @param copyAgeMillis the age of the copy at the begin of the outage
     */
    void restoreFromCopy(long copyAgeMillis, long downMillis) {
        if (down) {
            return;
        }
        down = true;
        Snapshot copy = snapshotOf(copyAgeMillis);
        lastRestoreAt = time.now() + downMillis;
        time.after(downMillis, () -> restore(copy));
    }

    private void restore(Snapshot copy) {
        down = false;
        epoch++;
        items.clear();
        copy.items().forEach((key, item) -> items.put(key, withRevision(item, StoreEpoch.numberOf(item.revision()))));
        leaseOfKey.clear();
        leaseOfKey.putAll(copy.leaseOfKey());
        leases.clear();
        copy.leases().forEach((id, lease) -> {
            // A lease of the copy lasts for its whole time once more, or ends at once.
            Lease kept = new Lease(lease);
            if (random.nextBoolean()) {
                kept.renew(time.now());
            }
            leases.put(id, kept);
        });
        revision = StoreEpoch.numberOf(copy.revision());
        targets.clear();
        copy.targets().forEach(entry -> targets.put(entry.id(), entry));
        Set<TargetId> written = new HashSet<>(targets.keySet());
        written.addAll(currentTargets.keySet());
        // A set's order would differ between runs of one seed.
        written.stream()
                .sorted(Comparator.comparing(TargetId::value))
                .forEach(id -> time.after(random.nextInt(MAX_REWRITE_MILLIS), () -> writeTarget(id)));
        history.clear();
        keepSnapshot();
    }

    private static StoredItem withRevision(StoredItem item, long changed) {
        return new StoredItem(item.key(), item.value(), changed);
    }

    /** Returns when the store last came or will come back from a copy. */
    long lastRestoreAt() {
        return lastRestoreAt;
    }

    /** Returns when the last write that is late was or will be carried out. */
    long lastLateWriteAt() {
        return lastLateWriteAt;
    }

    /** Answers all hosts again, loses no more answers and delays no more writes. */
    void endFaults() {
        unanswered.clear();
        lostAnswerShare = 0;
        lateWriteShare = 0;
    }

    void registerTarget(TargetEntry entry) {
        currentTargets.put(entry.id(), entry);
        writeTarget(entry.id());
    }

    void removeTarget(TargetId id) {
        currentTargets.remove(id);
        writeTarget(id);
    }

    private void writeTarget(TargetId id) {
        if (down) {
            return;
        }
        revision++;
        if (currentTargets.containsKey(id)) {
            targets.put(id, currentTargets.get(id));
        } else {
            targets.remove(id);
        }
    }

    /** Returns how many lender partitions have a holder. */
    long heldLenderPartitions() {
        return items.keySet().stream()
                .filter(key -> key.startsWith(FleetRecords.LENDER_PARTITION_PREFIX))
                .count();
    }

    /** Returns the present revision, qualified by the epoch. */
    long revision() {
        return StoreEpoch.qualify(epoch, revision);
    }

    private Map<String, StoredItem> qualifiedItems() {
        Map<String, StoredItem> result = new HashMap<>();
        items.forEach((key, item) -> result.put(key, withRevision(item, StoreEpoch.qualify(epoch, item.revision()))));
        return result;
    }

    Snapshot snapshot() {
        Map<Long, Lease> copiedLeases = new HashMap<>();
        leases.forEach((id, lease) -> copiedLeases.put(id, new Lease(lease)));
        return new Snapshot(
                time.now(),
                revision(),
                qualifiedItems(),
                List.copyOf(targets.values()),
                Map.copyOf(leaseOfKey),
                copiedLeases);
    }

    /** Keeps the contents of the last seconds from now on. */
    void keepHistory() {
        if (!keepsHistory) {
            keepsHistory = true;
            time.every(SNAPSHOT_MILLIS, this::keepSnapshot);
        }
    }

    private boolean keepSnapshot() {
        if (history.isEmpty() || history.getLast().revision() < revision()) {
            history.addLast(snapshot());
        }
        // The first one is the content at the start of the time that is kept.
        while (history.size() > 1 && secondAt() < time.now() - HISTORY_MILLIS) {
            history.removeFirst();
        }
        return true;
    }

    private long secondAt() {
        Iterator<Snapshot> snapshots = history.iterator();
        snapshots.next();
        return snapshots.next().at();
    }

    /** Returns the content of a while ago, or the earliest that was kept. */
    Snapshot snapshotOf(long millisAgo) {
        if (millisAgo == 0 || history.isEmpty()) {
            return snapshot();
        }
        Iterator<Snapshot> newestFirst = history.descendingIterator();
        Snapshot found = newestFirst.next();
        while (found.at() > time.now() - millisAgo && newestFirst.hasNext()) {
            found = newestFirst.next();
        }
        return found;
    }

    /**
     * Returns what a read in two pages finds, which is no snapshot: the keys up to a random one some time ago, the others now. It
     * has the revision of the first page.
     */
    Snapshot pagedRead(long millisBetweenPages) {
        Snapshot first = snapshotOf(millisBetweenPages);
        List<String> keys = List.copyOf(new TreeSet<>(first.items().keySet()));
        String lastOfFirstPage = keys.isEmpty() ? "" : keys.get(random.nextInt(keys.size()));
        Map<String, StoredItem> found = new HashMap<>();
        first.items().forEach((key, item) -> {
            if (key.compareTo(lastOfFirstPage) <= 0) {
                found.put(key, item);
            }
        });
        qualifiedItems().forEach((key, item) -> {
            if (key.compareTo(lastOfFirstPage) > 0) {
                found.put(key, item);
            }
        });
        return new Snapshot(time.now(), first.revision(), found, List.copyOf(targets.values()), Map.of(), Map.of());
    }

    private boolean endLeases() {
        if (down) {
            return true;
        }
        leases.entrySet().removeIf(entry -> {
            boolean ended = entry.getValue().endsAt <= time.now();
            if (ended) {
                removeKeysOf(entry.getKey());
            }
            return ended;
        });
        return true;
    }

    private void removeKeysOf(long lease) {
        for (String key : List.copyOf(leaseOfKey.keySet())) {
            if (leaseOfKey.get(key) == lease) {
                leaseOfKey.remove(key);
                items.remove(key);
                revision++;
            }
        }
    }

    private long revisionOf(String key) {
        StoredItem item = items.get(key);
        return item == null ? 0 : item.revision();
    }

    private Either<StoreError, Long> commit(List<StoreClient.ExpectedRevision> expected, List<StoreClient.Put> puts) {
        if (expected.size() + puts.size() > MAX_ENTRIES_PER_WRITE) {
            return Either.left(StoreError.REFUSED);
        }
        if (expected.stream().anyMatch(row -> revisionOf(row.key()) != row.revision())) {
            return Either.left(StoreError.CONFLICT);
        }
        if (puts.stream().anyMatch(put -> put.lease() != 0 && !leases.containsKey(put.lease()))) {
            return Either.left(StoreError.LEASE_ENDED);
        }
        revision++;
        for (StoreClient.Put put : puts) {
            items.put(put.key(), new StoredItem(put.key(), put.value(), revision));
            leaseOfKey.remove(put.key());
            if (put.lease() != 0) {
                leaseOfKey.put(put.key(), put.lease());
            }
        }
        return Either.right(revision);
    }

    private Either<StoreError, Long> obtain(long millis) {
        long id = ++revision;
        leases.put(id, new Lease(millis, time.now()));
        return Either.right(id);
    }

    private Either<StoreError, Long> renew(long id) {
        Lease lease = leases.get(id);
        if (lease == null) {
            return Either.left(StoreError.LEASE_ENDED);
        }
        lease.renew(time.now());
        return Either.right(id);
    }

    private Either<StoreError, Long> end(long id) {
        leases.remove(id);
        removeKeysOf(id);
        return Either.right(id);
    }

    /**
     * Returns the client of a process.
     *
     * @param delivery runs what handles an answer, when the process is able to
     */
    StoreClient clientOf(String host, Consumer<Runnable> delivery) {
        return new Client(host, delivery);
    }

    private final class Client implements StoreClient {

        private final String host;
        private final Consumer<Runnable> delivery;
        private final EpochGuard epochs = EpochGuard.create();

        private Client(String host, Consumer<Runnable> delivery) {
            this.host = host;
            this.delivery = delivery;
        }

        @Override
        public long epoch() {
            return epochs.epoch();
        }

        /** Sends a call whose number is of the present epoch. */
        private void call(
                boolean outdated,
                Supplier<Either<StoreError, Long>> action,
                Consumer<Either<StoreError, Long>> result) {
            if (outdated) {
                time.after(0, () -> delivery.accept(() -> result.accept(Either.left(StoreError.LEASE_ENDED))));
                return;
            }
            long sentIn = epochs.sendingIn();
            long[] answeredIn = {sentIn};
            call(
                    () -> {
                        answeredIn[0] = SimulatedStore.this.epoch;
                        return action.get();
                    },
                    outcome -> {
                        boolean answered = outcome.isRight() || outcome.getLeft() != StoreError.UNKNOWN;
                        long in = answered ? epochs.answered(Optional.of(answeredIn[0])) : sentIn;
                        result.accept(epochs.result(sentIn, in, outcome));
                    });
        }

        private <T> void call(Supplier<Either<StoreError, T>> action, Consumer<Either<StoreError, T>> result) {
            time.after(ONE_WAY_MILLIS + random.nextInt(4), () -> {
                boolean answered = answers(host);
                boolean lost = random.nextDouble() < lostAnswerShare;
                Either<StoreError, T> outcome = answered ? action.get() : Either.left(StoreError.UNKNOWN);
                boolean delivered = answered && !lost;
                answer(delivered ? outcome : Either.left(StoreError.UNKNOWN), delivered, result);
            });
        }

        private <T> void answer(
                Either<StoreError, T> outcome, boolean delivered, Consumer<Either<StoreError, T>> result) {
            time.after(
                    delivered ? ONE_WAY_MILLIS : CALL_TIMEOUT_MILLIS,
                    () -> delivery.accept(() -> result.accept(outcome)));
        }

        @Override
        public void range(String prefix, Consumer<Either<StoreError, Range>> result) {
            call(() -> Either.right(new Range(new ArrayList<>(qualifiedItems().values()), revision())), result);
        }

        @Override
        public void watch(String prefix, long after, long waitMillis, Consumer<Either<StoreError, Changes>> result) {
            throw new UnsupportedOperationException("hosts read whole snapshots here");
        }

        @Override
        public void commit(List<ExpectedRevision> expected, List<Put> puts, Consumer<Either<StoreError, Long>> result) {
            Optional<StoreError> refusal = epochs.refusal(expected, puts);
            if (refusal.isPresent()) {
                time.after(0, () -> delivery.accept(() -> result.accept(Either.left(refusal.get()))));
                return;
            }
            List<ExpectedRevision> sentExpected = epochs.preconditions(expected);
            List<Put> sentPuts = puts.stream()
                    .map(put -> new Put(put.key(), put.value(), StoreEpoch.numberOf(put.lease())))
                    .toList();
            if (lateWriteShare == 0 || random.nextDouble() >= lateWriteShare) {
                call(false, () -> SimulatedStore.this.commit(sentExpected, sentPuts), result);
                return;
            }
            if (answers(host)) {
                int lateMillis = random.nextInt(MIN_LATE_WRITE_MILLIS, MAX_LATE_WRITE_MILLIS);
                lastLateWriteAt = Math.max(lastLateWriteAt, time.now() + lateMillis);
                time.after(lateMillis, () -> {
                    if (!down) {
                        SimulatedStore.this.commit(sentExpected, sentPuts);
                    }
                });
            }
            answer(Either.left(StoreError.UNKNOWN), false, result);
        }

        @Override
        public void obtainLease(long millis, Consumer<Either<StoreError, Lease>> result) {
            call(false, () -> obtain(millis), lease -> result.accept(lease.map(id -> new Lease(id, millis))));
        }

        @Override
        public void renewLease(long lease, Consumer<Either<StoreError, Long>> result) {
            call(epochs.isOfOtherEpoch(lease), () -> renew(StoreEpoch.numberOf(lease)), result);
        }

        @Override
        public void endLease(long lease, Consumer<Either<StoreError, Long>> result) {
            call(epochs.isOfOtherEpoch(lease), () -> end(StoreEpoch.numberOf(lease)), result);
        }
    }
}
