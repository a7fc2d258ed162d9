package org.dragonflymux.gateway.store;

import io.netty.channel.EventLoop;
import io.vavr.control.Either;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.dragonflymux.core.membership.StoreEpoch;
import org.dragonflymux.gateway.clock.HoldClock;
import org.dragonflymux.gateway.clock.LeaseClock;

/**
 * A host's copy of all values in the store. It is updated by watching the store, or by another host that does so and
 * relays the changes. This host relays all changes to the hosts that subscribe to it.
 */
public final class StoreMirror {

    private static final Logger LOG = LogManager.getLogger(StoreMirror.class);
    private static final long COALESCING_DELAY_MILLIS = 40;
    private static final long RETRY_DELAY_MILLIS = 250;
    private static final long MAX_RETRY_DELAY_MILLIS = 1_000;
    private static final long FIRST_WATCH_MILLIS = 20;
    /** After this delay beyond its wait, a call without an answer is followed by another one. */
    private static final long OVERDUE_MILLIS = 800;

    /** A read of all values takes longer than other calls; it is overdue after its own timeout only. */
    private static final long READ_MILLIS = 1_000;

    private static final long NO_CALL = 0;
    private static final long NEVER_MILLIS = Long.MAX_VALUE / 4;

    private final EventLoop loop;
    private final StoreClient store;
    private final String prefix;
    private final long watchMillis;
    private final LeaseClock clock;
    private final Listener listener;
    private final Relay relay;
    private final Map<String, StoredItem> items = new TreeMap<>();
    private long revision = -1;
    private long completeAt = Long.MIN_VALUE / 2;
    private long recoveredAt = -NEVER_MILLIS;
    private long retryDelayMillis = RETRY_DELAY_MILLIS;
    private boolean reachable = true;
    private boolean watchingStore = true;
    /** The latest call, until it is answered or overdue. Answers to earlier calls are applied, but start no further call. */
    private long currentCall = NO_CALL;

    private boolean currentCallReads;
    private long lastCall = NO_CALL;
    /** When the latest call that was answered had been sent. */
    private long answeredCallSentAt = Long.MIN_VALUE;

    /** Receives the changes of the mirror. */
    public interface Listener {

        /** Handles a change of values; the map holds all current values, the set the keys of those written or removed. */
        void valuesChanged(Map<String, StoredItem> items, Set<String> changedKeys);

        /** Handles the confirmation that the copy was complete at the given time. */
        void confirmed(long at);

        /** Handles updates relayed by another host that were complete at the given time. */
        void updatesRelayed(long completeAt);

        /** Handles the recovery of the store from an outage at the given time. */
        void storeRecovered(long at);
    }

    private StoreMirror(
            EventLoop loop,
            StoreClient store,
            String prefix,
            long watchMillis,
            LeaseClock clock,
            HoldClock holdClock,
            Listener listener) {
        this.loop = loop;
        this.store = store;
        this.prefix = prefix;
        this.watchMillis = watchMillis;
        this.clock = clock;
        this.listener = listener;
        this.relay = new Relay(loop, clock, holdClock);
    }

    /**
     * Starts a mirror that is updated from now on.
     *
     * @param prefix the prefix of the keys to copy
     * @param watchMillis for how long a watch call waits for changes
     * @param clock dates what is received
     * @param holdClock measures what others take for the age of their own timestamps
     * @param relayAddress the address on which other hosts may subscribe to updates
     */
    public static StoreMirror start(
            EventLoop loop,
            StoreClient store,
            String prefix,
            long watchMillis,
            LeaseClock clock,
            HoldClock holdClock,
            InetSocketAddress relayAddress,
            Listener listener) {
        StoreMirror mirror = new StoreMirror(loop, store, prefix, watchMillis, clock, holdClock, listener);
        mirror.relay.listen(relayAddress, mirror::snapshot, mirror::emptyFrame);
        mirror.read();
        return mirror;
    }

    /**
     * Sets the sources of updates.
     *
     * @param watchStore whether this host watches the store itself
     * @param source another host to subscribe to, in addition to the store or instead of it
     */
    public void setUpdateSources(boolean watchStore, Optional<InetSocketAddress> source) {
        relay.subscribe(source, this::frameReceived);
        boolean resumes = watchStore && !watchingStore;
        watchingStore = watchStore;
        if (resumes) {
            // The first watch is short, to confirm the current state without delay.
            continueWatching(FIRST_WATCH_MILLIS);
        }
    }

    /** Sends the current time to the host that updates come from; its echo shows the age of later updates. */
    public void sendEchoTimestamp() {
        relay.sendEchoTimestamp();
    }

    /** Confirms to subscribers that there are no newer changes. */
    public void sendHeartbeat() {
        publish(List.of());
    }

    private void continueWatching(long nextWatchMillis) {
        if (!watchingStore || currentCall != NO_CALL) {
            return;
        }
        if (revision < 0) {
            read();
        } else {
            watch(nextWatchMillis);
        }
    }

    /** Tries again later, and the later the more calls failed in a row, since refused calls burden the store as well. */
    private void scheduleRetry() {
        loop.schedule(() -> continueWatching(watchMillis), retryDelayMillis, TimeUnit.MILLISECONDS);
        retryDelayMillis = Math.min(2 * retryDelayMillis, MAX_RETRY_DELAY_MILLIS);
    }

    /**
     * Records that a call is sent. A store that was silent may answer new calls long before an earlier one times out, so a
     * call that is overdue is followed by another one.
     */
    private long startCall(long waitMillis) {
        long call = ++lastCall;
        currentCall = call;
        currentCallReads = false;
        loop.schedule(() -> callOverdue(call), waitMillis + OVERDUE_MILLIS, TimeUnit.MILLISECONDS);
        return call;
    }

    private void callOverdue(long call) {
        if (endCall(call)) {
            continueWatching(FIRST_WATCH_MILLIS);
        }
    }

    /** Records that a call has ended or is overdue, and returns whether it was the current one. */
    private boolean endCall(long call) {
        boolean current = call == currentCall;
        if (current) {
            currentCall = NO_CALL;
        }
        return current;
    }

    /** Handles a failed call. The failure of a call that was sent before an answered one says nothing about the store now. */
    private void callFailed(StoreError error, boolean current, long sentAt) {
        if (sentAt > answeredCallSentAt) {
            markUnreachable(error);
        }
        retryIf(current);
    }

    private void retryIf(boolean current) {
        if (current) {
            scheduleRetry();
        }
    }

    private void read() {
        long call = startCall(READ_MILLIS);
        currentCallReads = true;
        long sentAt = clock.nowMillis();
        store.range(prefix, result -> readEnded(result, endCall(call), sentAt));
    }

    private void readEnded(Either<StoreError, StoreClient.Range> result, boolean current, long sentAt) {
        if (result.isLeft()) {
            callFailed(result.getLeft(), current, sentAt);
            return;
        }
        markReachable(sentAt);
        if (StoreEpoch.of(result.get().revision()) < epoch()) {
            retryIf(current);
            return;
        }
        if (result.get().revision() >= revision) {
            replace(result.get().items(), result.get().revision());
            relay.publish(snapshot());
        }
        confirm(sentAt);
        if (current) {
            continueWatching(watchMillis);
        }
    }

    private void replace(List<StoredItem> all, long newRevision) {
        if (revision >= 0 && StoreEpoch.of(newRevision) > epoch()) {
            LOG.warn("event=store_epoch_read epoch={} before={}", StoreEpoch.of(newRevision), epoch());
            // Targets write their entries again, as after an outage.
            recoveredAt = clock.nowMillis();
            listener.storeRecovered(recoveredAt);
        }
        Set<String> changedKeys = new HashSet<>(items.keySet());
        items.clear();
        all.forEach(item -> items.put(item.key(), item));
        changedKeys.addAll(items.keySet());
        revision = newRevision;
        notifyChanged(changedKeys);
    }

    /** Notifies the listener. A value that it can't handle must not stop this host from following later changes. */
    private void notifyChanged(Set<String> changedKeys) {
        try {
            listener.valuesChanged(items, changedKeys);
        } catch (RuntimeException unexpected) {
            LOG.error("event=update_failed revision={}", revision, unexpected);
        }
    }

    private void confirm(long at) {
        completeAt = Math.max(completeAt, at);
        listener.confirmed(at);
    }

    private void watch(long timeoutMillis) {
        long call = startCall(timeoutMillis);
        long sentAt = clock.nowMillis();
        store.watch(
                prefix, revision, timeoutMillis, result -> watchEnded(result, endCall(call), sentAt, timeoutMillis));
    }

    private void watchEnded(
            Either<StoreError, StoreClient.Changes> result, boolean current, long sentAt, long timeoutMillis) {
        if (result.isLeft() && result.getLeft() == StoreError.COMPACTED) {
            // Also the late answer of an earlier watch tells that no watch can bring the missing changes.
            if (current || currentCall == NO_CALL || !currentCallReads) {
                read();
            }
            return;
        }
        if (result.isLeft()) {
            callFailed(result.getLeft(), current, sentAt);
            return;
        }
        markReachable(sentAt);
        StoreClient.Changes changes = result.get();
        if (StoreEpoch.of(changes.revision()) < epoch()) {
            // The store came back from a copy since then, as another host has told.
            retryIf(current);
            return;
        }
        // A watch that ended without changes shows that there were none until its end.
        boolean unchanged = changes.changes().isEmpty();
        completeAt = Math.max(completeAt, unchanged ? Math.min(sentAt + timeoutMillis, clock.nowMillis()) : sentAt);
        List<StoreChange> applied = apply(changes);
        confirm(completeAt);
        publish(applied);
        if (!current) {
            return;
        }
        if (unchanged) {
            continueWatching(watchMillis);
        } else {
            // Changes come in bursts and each call has a cost, so a delay collects several changes in one call.
            loop.schedule(() -> continueWatching(watchMillis), COALESCING_DELAY_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    /** Applies changes, and returns those that were new. */
    private List<StoreChange> apply(StoreClient.Changes changes) {
        List<StoreChange> applied = new ArrayList<>();
        Set<String> changedKeys = new HashSet<>();
        for (StoreChange change : changes.changes()) {
            if (apply(change)) {
                applied.add(change);
                changedKeys.add(change.key());
            }
        }
        revision = Math.max(revision, changes.revision());
        if (!applied.isEmpty()) {
            notifyChanged(changedKeys);
        }
        return applied;
    }

    private boolean apply(StoreChange change) {
        switch (change) {
            case StoreChange.Written(StoredItem item) -> {
                if (item.revision() <= revision) {
                    return false;
                }
                items.put(item.key(), item);
            }
            case StoreChange.Removed(String key, long at) -> {
                if (at <= revision) {
                    return false;
                }
                items.remove(key);
            }
        }
        return true;
    }

    /** Returns the epoch of this copy, -1 if there is none yet. */
    private long epoch() {
        return StoreEpoch.of(revision);
    }

    private void frameReceived(RelayFrame frame) {
        long frameEpoch = StoreEpoch.of(frame.changes().revision());
        if (frameEpoch > 0 && !StoreEpoch.isValid(frameEpoch) || frameEpoch < Math.max(epoch(), store.epoch())) {
            // The sender doesn't know yet that the store came back from a copy.
            return;
        }
        if (frameEpoch > epoch() && revision >= 0 && !frame.snapshot()) {
            // The values that the changes build on are missing; a new connection starts with all of them.
            relay.reconnect();
            return;
        }
        if (frame.sinceRecoveryMillis() < NEVER_MILLIS) {
            recoveredAt = Math.max(recoveredAt, clock.nowMillis() - Math.max(0, frame.sinceRecoveryMillis()));
            listener.storeRecovered(recoveredAt);
        }
        if (frame.snapshot() && frame.changes().revision() < revision) {
            return;
        }
        boolean newSnapshot = frame.snapshot() && frame.changes().revision() > revision;
        List<StoreChange> applied = List.of();
        if (frame.snapshot()) {
            replaceWith(frame);
        } else {
            applied = apply(frame.changes());
        }
        boolean upToDate = frame.changes().revision() >= revision;
        long completeAtBefore = completeAt;
        frame.completeAt().ifPresent(claimed -> {
            // Nothing that has arrived is newer than now, whatever a faulty host says.
            long at = Math.min(claimed, clock.nowMillis());
            if (upToDate) {
                confirm(at);
            }
            listener.updatesRelayed(at);
        });
        if (newSnapshot) {
            relay.publish(snapshot());
        } else if (!applied.isEmpty() || completeAt > completeAtBefore) {
            // Hosts that by mistake follow each other have nothing new to tell, so frames do not circulate between
            // them.
            publish(applied);
        }
    }

    private void replaceWith(RelayFrame frame) {
        List<StoredItem> all = new ArrayList<>();
        for (StoreChange change : frame.changes().changes()) {
            if (change instanceof StoreChange.Written(StoredItem item)) {
                all.add(item);
            }
        }
        replace(all, frame.changes().revision());
    }

    private RelayFrame snapshot() {
        List<StoreChange> all = new ArrayList<>();
        items.values().forEach(item -> all.add(new StoreChange.Written(item)));
        return frame(true, all);
    }

    /** Returns the frame that tells a subscriber that this host is alive, if it has a copy. */
    private Optional<RelayFrame> emptyFrame() {
        return revision < 0 ? Optional.empty() : Optional.of(frame(false, List.of()));
    }

    private void publish(List<StoreChange> changes) {
        if (revision >= 0) {
            relay.publish(frame(false, changes));
        }
    }

    private RelayFrame frame(boolean snapshot, List<StoreChange> changes) {
        long now = clock.nowMillis();
        return new RelayFrame(
                snapshot,
                new StoreClient.Changes(changes, revision),
                Math.min(NEVER_MILLIS, now - completeAt),
                Math.min(NEVER_MILLIS, now - recoveredAt),
                Optional.empty());
    }

    private void markReachable(long sentAt) {
        answeredCallSentAt = Math.max(answeredCallSentAt, sentAt);
        retryDelayMillis = RETRY_DELAY_MILLIS;
        if (!reachable) {
            reachable = true;
            recoveredAt = clock.nowMillis();
            LOG.info("event=store_reachable");
            listener.storeRecovered(recoveredAt);
        }
    }

    private void markUnreachable(StoreError error) {
        if (reachable) {
            reachable = false;
            LOG.info("event=store_unreachable error={}", error);
        }
    }
}
