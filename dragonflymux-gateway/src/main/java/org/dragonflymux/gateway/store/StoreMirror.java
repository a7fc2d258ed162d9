package org.dragonflymux.gateway.store;

import io.netty.channel.EventLoop;
import io.vavr.control.Either;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * A host's copy of all values in the store. It is kept up by waiting for changes at the store, or by another host that
 * does so and passes them on; whatever this host learns it passes on to those that ask it.
 */
public final class StoreMirror {

    private static final Logger LOG = LogManager.getLogger(StoreMirror.class);
    private static final long GROUP_MILLIS = 40;
    private static final long RETRY_MILLIS = 250;
    private static final long FIRST_WAIT_MILLIS = 20;
    private static final long NEVER_MILLIS = Long.MAX_VALUE / 4;

    private final EventLoop loop;
    private final StoreClient store;
    private final String prefix;
    private final long waitMillis;
    private final LongSupplier clock;
    private final Listener listener;
    private final Relay relay;
    private final Map<String, StoredItem> items = new TreeMap<>();
    private long revision = -1;
    private long completeAt = Long.MIN_VALUE / 2;
    private long returnedAt = -NEVER_MILLIS;
    private boolean reachable = true;
    private boolean direct = true;
    private boolean calling;

    /** Who wants to know of changes. */
    public interface Listener {

        /** Takes in that values have changed. */
        void valuesChanged(Map<String, StoredItem> items);

        /** Takes in that the copy was complete at the given time. */
        void confirmed(long at);

        /** Takes in that another host's news were complete at the given time. */
        void updatesRelayed(long completeAt);

        /** Takes in that the store came back at the given time after an outage. */
        void storeRecovered(long at);
    }

    private StoreMirror(
            EventLoop loop, StoreClient store, String prefix, long waitMillis, LongSupplier clock, Listener listener) {
        this.loop = loop;
        this.store = store;
        this.prefix = prefix;
        this.waitMillis = waitMillis;
        this.clock = clock;
        this.listener = listener;
        this.relay = new Relay(loop, clock);
    }

    /**
     * Returns a copy that is kept up from now on.
     *
     * @param prefix the prefix of the keys that are copied
     * @param waitMillis for how long one call waits for changes
     * @param clock tells the time, in milliseconds
     * @param relayAddress where other hosts may ask for news
     */
    public static StoreMirror start(
            EventLoop loop,
            StoreClient store,
            String prefix,
            long waitMillis,
            LongSupplier clock,
            InetSocketAddress relayAddress,
            Listener listener) {
        StoreMirror mirror = new StoreMirror(loop, store, prefix, waitMillis, clock, listener);
        mirror.relay.listen(relayAddress, mirror::whole);
        mirror.read();
        return mirror;
    }

    /**
     * Sets where news comes from.
     *
     * @param asksStore whether this host asks the store itself
     * @param source another host that is asked, besides or instead
     */
    public void setUpdateSources(boolean asksStore, Optional<InetSocketAddress> source) {
        relay.follow(source, this::relayed);
        boolean resumes = asksStore && !direct;
        direct = asksStore;
        if (resumes && !calling) {
            // The first wait is short, to learn at once how things stand.
            next(FIRST_WAIT_MILLIS);
        }
    }

    /** Marks the time for the host that is asked for news, so that the age of its next news can be told. */
    public void sendEchoTimestamp() {
        relay.mark();
    }

    /** Tells those that ask this host that there is nothing newer. */
    public void sendHeartbeat() {
        publish(List.of());
    }

    private void next(long firstWait) {
        if (!direct || calling) {
            return;
        }
        if (revision < 0) {
            read();
        } else {
            watch(firstWait);
        }
    }

    private void retryLater() {
        loop.schedule(() -> next(waitMillis), RETRY_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void read() {
        calling = true;
        long sentAt = clock.getAsLong();
        store.range(prefix, result -> readEnded(result, sentAt));
    }

    private void readEnded(Either<StoreError, StoreClient.Range> result, long sentAt) {
        calling = false;
        if (result.isLeft()) {
            failed(result.getLeft());
            retryLater();
            return;
        }
        answered();
        if (result.get().revision() >= revision) {
            replace(result.get().items(), result.get().revision());
            relay.publish(whole());
        }
        confirm(sentAt);
        next(waitMillis);
    }

    private void replace(List<StoredItem> all, long newRevision) {
        items.clear();
        all.forEach(item -> items.put(item.key(), item));
        revision = newRevision;
        listener.valuesChanged(items);
    }

    private void confirm(long at) {
        completeAt = Math.max(completeAt, at);
        listener.confirmed(at);
    }

    private void watch(long wait) {
        calling = true;
        long sentAt = clock.getAsLong();
        store.watch(prefix, revision, wait, result -> watchEnded(result, sentAt, wait));
    }

    private void watchEnded(Either<StoreError, StoreClient.Changes> result, long sentAt, long wait) {
        calling = false;
        if (result.isLeft()) {
            if (result.getLeft() == StoreError.COMPACTED) {
                read();
            } else {
                failed(result.getLeft());
                retryLater();
            }
            return;
        }
        answered();
        StoreClient.Changes changes = result.get();
        // A wait that ended without changes shows that there were none until it ended.
        boolean quiet = changes.changes().isEmpty();
        completeAt = Math.max(completeAt, quiet ? Math.min(sentAt + wait, clock.getAsLong()) : sentAt);
        apply(changes);
        confirm(completeAt);
        if (quiet) {
            next(waitMillis);
        } else {
            // Changes come in groups, and each call has its price.
            loop.schedule(() -> next(waitMillis), GROUP_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private void apply(StoreClient.Changes changes) {
        List<StoreChange> fresh = new ArrayList<>();
        for (StoreChange change : changes.changes()) {
            if (apply(change)) {
                fresh.add(change);
            }
        }
        revision = Math.max(revision, changes.revision());
        if (!fresh.isEmpty()) {
            listener.valuesChanged(items);
            publish(fresh);
        }
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

    private void relayed(RelayFrame frame) {
        if (frame.returnedMillis() < NEVER_MILLIS) {
            returnedAt = Math.max(returnedAt, clock.getAsLong() - frame.returnedMillis());
            listener.storeRecovered(returnedAt);
        }
        if (frame.whole()) {
            if (frame.changes().revision() < revision) {
                return;
            }
            List<StoredItem> all = new ArrayList<>();
            for (StoreChange change : frame.changes().changes()) {
                if (change instanceof StoreChange.Written(StoredItem item)) {
                    all.add(item);
                }
            }
            replace(all, frame.changes().revision());
        } else {
            apply(frame.changes());
        }
        boolean current = frame.changes().revision() >= revision;
        frame.completeAt().ifPresent(at -> {
            if (current) {
                confirm(at);
            }
            listener.updatesRelayed(at);
        });
    }

    private RelayFrame whole() {
        List<StoreChange> all = new ArrayList<>();
        items.values().forEach(item -> all.add(new StoreChange.Written(item)));
        return frame(true, all);
    }

    private void publish(List<StoreChange> changes) {
        if (revision >= 0) {
            relay.publish(frame(false, changes));
        }
    }

    private RelayFrame frame(boolean whole, List<StoreChange> changes) {
        long now = clock.getAsLong();
        return new RelayFrame(
                whole,
                new StoreClient.Changes(changes, revision),
                Math.min(NEVER_MILLIS, now - completeAt),
                Math.min(NEVER_MILLIS, now - returnedAt),
                Optional.empty());
    }

    private void answered() {
        if (!reachable) {
            reachable = true;
            returnedAt = clock.getAsLong();
            LOG.info("event=store_reachable");
            listener.storeRecovered(returnedAt);
        }
    }

    private void failed(StoreError error) {
        if (reachable) {
            reachable = false;
            LOG.info("event=store_unreachable error={}", error);
        }
    }
}
