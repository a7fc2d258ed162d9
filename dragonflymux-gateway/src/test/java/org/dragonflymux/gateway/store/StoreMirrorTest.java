package org.dragonflymux.gateway.store;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.primitives.Ints;
import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import io.vavr.control.Either;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** A host that watches the store, one that it relays to, and a third that the second relays to. */
class StoreMirrorTest {

    private static final long WATCH_MILLIS = 100;
    private static final long TIMEOUT_MILLIS = 5_000;
    private static final long POLL_MILLIS = 10;
    private static final long MAX_AGE_MILLIS = 1_200;
    /** After this time, a store client reports a call without an answer as failed. */
    private static final long CALL_TIMEOUT_MILLIS = 1_500;
    /**
     * Changes are in force within 2 s of their confirmation. Of these, a host has 1,500 ms to notice that the store answers
     * again, since relays and a slow answer take time as well.
     */
    private static final long MAX_RETURN_MILLIS = 1_500;
    /** An answer that comes later than the next call is sent. */
    private static final long SLOW_ANSWER_MILLIS = 1_100;
    /** A source of updates that says nothing for longer is taken for lost. */
    private static final long MAX_SILENCE_MILLIS = 1_400;

    private static final AtomicInteger PORTS = new AtomicInteger(7_100);

    private final NioEventLoopGroup loops = new NioEventLoopGroup(1);
    private final EventLoop loop = loops.next();
    private final FakeStore store = new FakeStore();

    @AfterEach
    void close() {
        loops.shutdownGracefully();
    }

    /**
     * A store whose values are set by the test; a watch ends at once if there are changes, otherwise after its wait. While it
     * is silent, calls stay unanswered.
     */
    private final class FakeStore implements StoreClient {

        private final List<StoreChange> history = new ArrayList<>();
        private final AtomicInteger calls = new AtomicInteger();
        private final AtomicInteger unansweredWatches = new AtomicInteger();
        private final AtomicInteger reads = new AtomicInteger();
        private volatile boolean silent;
        private volatile boolean compacted;
        private long revision = 1;

        void write(String key) {
            loop.execute(() -> history.add(new StoreChange.Written(new StoredItem(key, new byte[0], ++revision))));
        }

        @Override
        public void range(String prefix, Consumer<Either<StoreError, Range>> result) {
            calls.incrementAndGet();
            reads.incrementAndGet();
            loop.execute(() -> result.accept(Either.right(new Range(List.of(), revision))));
        }

        @Override
        public void watch(String prefix, long after, long waitMillis, Consumer<Either<StoreError, Changes>> result) {
            calls.incrementAndGet();
            if (compacted) {
                loop.schedule(
                        () -> result.accept(Either.left(StoreError.COMPACTED)),
                        waitMillis + SLOW_ANSWER_MILLIS,
                        TimeUnit.MILLISECONDS);
                return;
            }
            if (silent) {
                unansweredWatches.incrementAndGet();
                loop.schedule(
                        () -> result.accept(Either.left(StoreError.UNKNOWN)),
                        waitMillis + CALL_TIMEOUT_MILLIS,
                        TimeUnit.MILLISECONDS);
                return;
            }
            loop.schedule(
                    () -> result.accept(Either.right(new Changes(
                            history.stream()
                                    .filter(change -> ((StoreChange.Written) change)
                                                    .item()
                                                    .revision()
                                            > after)
                                    .toList(),
                            revision))),
                    waitMillis,
                    TimeUnit.MILLISECONDS);
        }

        @Override
        public void commit(List<ExpectedRevision> expected, List<Put> puts, Consumer<Either<StoreError, Long>> result) {
            throw new UnsupportedOperationException();
        }

        @Override
        public void obtainLease(long millis, Consumer<Either<StoreError, Lease>> result) {
            throw new UnsupportedOperationException();
        }

        @Override
        public void renewLease(long lease, Consumer<Either<StoreError, Long>> result) {
            throw new UnsupportedOperationException();
        }

        @Override
        public void endLease(long lease, Consumer<Either<StoreError, Long>> result) {
            throw new UnsupportedOperationException();
        }
    }

    private static class Recorder implements StoreMirror.Listener {

        private final AtomicLong completeAt = new AtomicLong();
        private final AtomicInteger updates = new AtomicInteger();
        private volatile Map<String, StoredItem> items = Map.of();

        @Override
        public void valuesChanged(Map<String, StoredItem> changed, Set<String> changedKeys) {
            items = Map.copyOf(changed);
        }

        @Override
        public void confirmed(long at) {
            completeAt.accumulateAndGet(at, Math::max);
        }

        @Override
        public void updatesRelayed(long at) {
            updates.incrementAndGet();
            completeAt.accumulateAndGet(at, Math::max);
        }

        @Override
        public void storeRecovered(long at) {
            // Recoveries are of no interest here.
        }
    }

    private static long now() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }

    /** Returns an address that no other process uses: each test process has a loopback address of its own. */
    private static InetSocketAddress unusedAddress() throws Exception {
        byte[] pid = Ints.toByteArray((int) ProcessHandle.current().pid());
        InetAddress address = InetAddress.getByAddress(new byte[] {127, (byte) (64 | pid[1]), pid[2], pid[3]});
        return new InetSocketAddress(address, PORTS.incrementAndGet());
    }

    private void mirror(InetSocketAddress relayAddress, Optional<InetSocketAddress> source, Recorder recorder) {
        StoreMirror mirror = StoreMirror.start(
                loop, store, "", WATCH_MILLIS, StoreMirrorTest::now, StoreMirrorTest::now, relayAddress, recorder);
        source.ifPresent(address -> loop.scheduleAtFixedRate(
                () -> mirror.setUpdateSources(false, Optional.of(address)), 0, POLL_MILLIS, TimeUnit.MILLISECONDS));
        loop.scheduleAtFixedRate(mirror::sendEchoTimestamp, POLL_MILLIS, WATCH_MILLIS, TimeUnit.MILLISECONDS);
    }

    private static void awaitKey(Recorder recorder, String key) throws InterruptedException {
        long deadline = now() + TIMEOUT_MILLIS;
        while (!recorder.items.containsKey(key) && now() < deadline) {
            Thread.sleep(POLL_MILLIS);
        }
        assertThat(recorder.items).containsKey(key);
    }

    @Test
    void changes_and_their_age_pass_through_a_chain_of_hosts() throws Exception {
        InetSocketAddress first = unusedAddress();
        InetSocketAddress second = unusedAddress();
        Recorder last = new Recorder();
        mirror(first, Optional.empty(), new Recorder());
        mirror(second, Optional.of(first), new Recorder());
        mirror(unusedAddress(), Optional.of(second), last);

        store.write("a");
        awaitKey(last, "a");
        store.write("b");
        awaitKey(last, "b");

        long deadline = now() + TIMEOUT_MILLIS;
        while (now() - last.completeAt.get() > MAX_AGE_MILLIS && now() < deadline) {
            Thread.sleep(POLL_MILLIS);
        }
        assertThat(now() - last.completeAt.get()).isBetween(0L, MAX_AGE_MILLIS);
    }

    /**
     * Guards against a host that stays at an old version for seconds after the store's return, because it waits until a call
     * from the time of the silence has timed out.
     */
    @Test
    void the_return_of_a_silent_store_is_noticed_while_an_earlier_call_is_unanswered() throws Exception {
        Recorder recorder = new Recorder();
        mirror(unusedAddress(), Optional.empty(), recorder);
        store.write("before");
        awaitKey(recorder, "before");

        store.silent = true;
        awaitUnansweredWatches(store.unansweredWatches.get() + 3);
        store.silent = false;
        long returnedAt = now();
        store.write("after");
        awaitKey(recorder, "after");

        assertThat(now() - returnedAt).isLessThan(MAX_RETURN_MILLIS);
    }

    /** Returns right after the mirror has sent a call that stays unanswered. */
    private void awaitUnansweredWatches(int count) throws InterruptedException {
        long deadline = now() + 3 * TIMEOUT_MILLIS;
        while (store.unansweredWatches.get() < count && now() < deadline) {
            Thread.sleep(POLL_MILLIS);
        }
        assertThat(store.unansweredWatches).hasValueGreaterThanOrEqualTo(count);
    }

    /**
     * Guards against a fleet that turns from its collectors to the grantor while the store is silent, because the collectors
     * have nothing new to tell. The grantor then sends a snapshot to every host.
     */
    @Test
    void a_source_without_news_is_not_silent() throws Exception {
        InetSocketAddress first = unusedAddress();
        InetSocketAddress second = unusedAddress();
        Recorder last = new Recorder();
        mirror(first, Optional.empty(), new Recorder());
        mirror(second, Optional.of(first), new Recorder());
        mirror(unusedAddress(), Optional.of(second), last);
        store.write("a");
        awaitKey(last, "a");

        store.silent = true;
        Thread.sleep(5 * WATCH_MILLIS);
        int before = last.updates.get();
        Thread.sleep(3 * MAX_SILENCE_MILLIS);

        assertThat(last.updates.get() - before).isGreaterThanOrEqualTo(3);
    }

    /** Guards against a copy that is never read anew, because a slow store tells of lost history only after the next call. */
    @Test
    void a_late_answer_that_history_is_lost_leads_to_a_read() throws Exception {
        mirror(unusedAddress(), Optional.empty(), new Recorder());
        Thread.sleep(2 * WATCH_MILLIS);
        int before = store.reads.get();

        store.compacted = true;
        Thread.sleep(3 * SLOW_ANSWER_MILLIS);

        assertThat(store.reads.get() - before).isBetween(1, 4);
    }

    /** Guards against hosts that burden a store which is slow to answer with ever more calls. */
    @Test
    void a_silent_store_gets_few_calls() throws Exception {
        mirror(unusedAddress(), Optional.empty(), new Recorder());
        store.silent = true;
        Thread.sleep(2 * WATCH_MILLIS);
        int before = store.calls.get();

        Thread.sleep(3_000);

        assertThat(store.calls.get() - before).isLessThanOrEqualTo(5);
    }

    /** Guards against updates that circulate between hosts which follow each other. */
    @Test
    void hosts_that_follow_each_other_do_not_flood_each_other() throws Exception {
        InetSocketAddress first = unusedAddress();
        InetSocketAddress second = unusedAddress();
        Recorder recorder = new Recorder();
        mirror(first, Optional.of(second), recorder);
        mirror(second, Optional.of(first), new Recorder());

        store.write("a");
        Thread.sleep(10 * WATCH_MILLIS);

        assertThat(recorder.updates).hasValueLessThan(20);
    }

    /** Guards against a host that stops following the store after one value that it can't handle. */
    @Test
    void a_listener_that_fails_once_gets_later_changes() throws Exception {
        Recorder failing = new Recorder() {
            @Override
            public void valuesChanged(Map<String, StoredItem> changed, Set<String> changedKeys) {
                if (changed.size() == 1) {
                    throw new IllegalStateException("a value that can't be handled");
                }
                super.valuesChanged(changed, changedKeys);
            }
        };
        mirror(unusedAddress(), Optional.empty(), failing);

        store.write("odd");
        Thread.sleep(2 * WATCH_MILLIS);
        store.write("good");

        awaitKey(failing, "good");
    }
}
