package org.dragonflymux.gateway.store;

import io.netty.channel.EventLoop;
import io.vavr.control.Either;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/** A host's copy of all values below a prefix, kept up by waiting for changes. */
public final class StoreMirror {

    private static final Logger LOG = LogManager.getLogger(StoreMirror.class);
    private static final long RETRY_MILLIS = 250;

    private final EventLoop loop;
    private final StoreClient store;
    private final String prefix;
    private final long waitMillis;
    private final LongSupplier clock;
    private final Listener listener;
    private final Map<String, StoredItem> items = new TreeMap<>();
    private long revision = -1;
    private boolean reachable;
    private boolean stopped;

    /** Who wants to know of changes. */
    public interface Listener {

        /** Takes in that values have changed. */
        void changed(Map<String, StoredItem> items);

        /** Takes in that the copy was complete at the given time. */
        void confirmed(long at);

        /** Takes in whether the store answers. */
        void reachable(boolean answers);
    }

    private StoreMirror(
            EventLoop loop,
            StoreClient store,
            String prefix,
            long waitMillis,
            LongSupplier clock,
            Listener listener) {
        this.loop = loop;
        this.store = store;
        this.prefix = prefix;
        this.waitMillis = waitMillis;
        this.clock = clock;
        this.listener = listener;
    }

    /**
     * Returns a copy that is kept up from now on.
     *
     * @param waitMillis for how long one call waits for changes
     * @param clock tells the time, in milliseconds
     */
    public static StoreMirror start(
            EventLoop loop,
            StoreClient store,
            String prefix,
            long waitMillis,
            LongSupplier clock,
            Listener listener) {
        StoreMirror mirror = new StoreMirror(loop, store, prefix, waitMillis, clock, listener);
        mirror.read();
        return mirror;
    }

    /** Stops keeping the copy up. */
    public void stop() {
        stopped = true;
    }

    private void read() {
        long sentAt = clock.getAsLong();
        store.range(prefix, result -> readEnded(result, sentAt));
    }

    private void readEnded(Either<StoreError, StoreClient.Range> result, long sentAt) {
        if (stopped) {
            return;
        }
        if (result.isLeft()) {
            failed(result.getLeft());
            loop.schedule(this::read, RETRY_MILLIS, TimeUnit.MILLISECONDS);
            return;
        }
        answered();
        items.clear();
        result.get().items().forEach(item -> items.put(item.key(), item));
        revision = result.get().revision();
        listener.changed(items);
        listener.confirmed(sentAt);
        watch();
    }

    private void watch() {
        long sentAt = clock.getAsLong();
        store.watch(prefix, revision, waitMillis, result -> watchEnded(result, sentAt));
    }

    private void watchEnded(Either<StoreError, StoreClient.Changes> result, long sentAt) {
        if (stopped) {
            return;
        }
        if (result.isLeft()) {
            boolean compacted = result.getLeft() == StoreError.COMPACTED;
            if (!compacted) {
                failed(result.getLeft());
            }
            Runnable next = compacted ? this::read : this::watch;
            loop.schedule(next, compacted ? 0 : RETRY_MILLIS, TimeUnit.MILLISECONDS);
            return;
        }
        answered();
        StoreClient.Changes changes = result.get();
        changes.changes().forEach(this::apply);
        revision = Math.max(revision, changes.revision());
        if (!changes.changes().isEmpty()) {
            listener.changed(items);
        }
        // A wait that ended without changes shows that there were none until it ended.
        listener.confirmed(changes.changes().isEmpty() ? Math.min(sentAt + waitMillis, clock.getAsLong()) : sentAt);
        watch();
    }

    private void apply(StoreChange change) {
        switch (change) {
            case StoreChange.Written written -> items.put(written.item().key(), written.item());
            case StoreChange.Removed removed -> items.remove(removed.key());
        }
    }

    private void answered() {
        if (!reachable) {
            reachable = true;
            LOG.info("event=store_reachable prefix={}", prefix);
            listener.reachable(true);
        }
    }

    private void failed(StoreError error) {
        if (reachable) {
            reachable = false;
            LOG.info("event=store_unreachable prefix={} error={}", prefix, error);
            listener.reachable(false);
        }
    }
}
