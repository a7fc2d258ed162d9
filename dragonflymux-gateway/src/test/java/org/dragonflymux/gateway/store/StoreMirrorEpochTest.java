package org.dragonflymux.gateway.store;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import io.vavr.control.Either;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.dragonflymux.core.membership.StoreEpoch;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Two hosts, of which the second follows the first one's updates, when the store comes back from a copy. */
class StoreMirrorEpochTest {

    private static final long TIMEOUT_MILLIS = 10_000;
    private static final long POLL_MILLIS = 10;
    private static final long WATCH_MILLIS = 50;
    /** For how long a host must not have taken over an outdated value: several updates of its source arrive meanwhile. */
    private static final long OBSERVATION_MILLIS = 400;

    private final NioEventLoopGroup loops = new NioEventLoopGroup(1);
    private final EventLoop loop = loops.next();

    @AfterEach
    void close() {
        loops.shutdownGracefully();
    }

    private static long now() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }

    /** The store as one host sees it: it has one value, and a watch of an earlier epoch is answered as one of no history. */
    private final class View implements StoreClient {

        private volatile long epoch;
        private volatile long number;
        private volatile String key;

        private View(long epoch, long number, String key) {
            show(epoch, number, key);
        }

        private void show(long shownEpoch, long shownNumber, String shownKey) {
            epoch = shownEpoch;
            number = shownNumber;
            key = shownKey;
        }

        @Override
        public long epoch() {
            return epoch;
        }

        @Override
        public void range(String prefix, Consumer<Either<StoreError, Range>> result) {
            long revision = StoreEpoch.qualify(epoch, number);
            loop.execute(() -> result.accept(
                    Either.right(new Range(List.of(new StoredItem(key, new byte[0], revision)), revision))));
        }

        @Override
        public void watch(String prefix, long after, long waitMillis, Consumer<Either<StoreError, Changes>> result) {
            loop.schedule(
                    () -> result.accept(
                            StoreEpoch.of(after) == epoch
                                    ? Either.right(new Changes(List.of(), after))
                                    : Either.left(StoreError.COMPACTED)),
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

    private static final class Recorder implements StoreMirror.Listener {

        private volatile Set<String> keys = Set.of();
        private final AtomicInteger relayed = new AtomicInteger();
        private final AtomicInteger recoveries = new AtomicInteger();

        @Override
        public void valuesChanged(Map<String, StoredItem> items, Set<String> changedKeys) {
            keys = Set.copyOf(items.keySet());
        }

        @Override
        public void confirmed(long at) {
            // The age of the copies is of no interest here.
        }

        @Override
        public void updatesRelayed(long completeAt) {
            relayed.incrementAndGet();
        }

        @Override
        public void storeRecovered(long at) {
            recoveries.incrementAndGet();
        }
    }

    private static InetSocketAddress unusedAddress() throws IOException {
        try (ServerSocket any = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return (InetSocketAddress) any.getLocalSocketAddress();
        }
    }

    private Recorder mirror(View store, InetSocketAddress address, Optional<InetSocketAddress> source) {
        Recorder recorder = new Recorder();
        StoreMirror mirror = StoreMirror.start(
                loop, store, "", WATCH_MILLIS, StoreMirrorEpochTest::now, StoreMirrorEpochTest::now, address, recorder);
        loop.scheduleAtFixedRate(
                () -> {
                    mirror.setUpdateSources(source.isEmpty(), source);
                    mirror.sendEchoTimestamp();
                    mirror.sendHeartbeat();
                },
                0,
                POLL_MILLIS,
                TimeUnit.MILLISECONDS);
        return recorder;
    }

    private static void await(BooleanSupplier condition) throws InterruptedException {
        long deadline = now() + TIMEOUT_MILLIS;
        while (!condition.getAsBoolean() && now() < deadline) {
            Thread.sleep(POLL_MILLIS);
        }
        assertThat(condition.getAsBoolean()).isTrue();
    }

    /** Guards against a copy that keeps values which the store has lost: its revision is the higher number. */
    @Test
    void a_restored_store_replaces_the_copies_of_a_host_and_of_its_followers() throws Exception {
        InetSocketAddress address = unusedAddress();
        View store = new View(1, 900, "lost");
        Recorder first = mirror(store, address, Optional.empty());
        Recorder second = mirror(new View(1, 900, "lost"), unusedAddress(), Optional.of(address));
        await(() -> first.keys.contains("lost") && second.keys.contains("lost") && second.relayed.get() > 0);

        store.show(2, 100, "restored");

        await(() -> first.keys.equals(Set.of("restored")) && second.keys.equals(Set.of("restored")));
        assertThat(second.recoveries).hasPositiveValue();
    }

    /** Guards against values of another host that look newer than the restored store, and against a source that counts as live. */
    @Test
    void a_host_ignores_what_is_relayed_of_an_earlier_epoch() throws Exception {
        InetSocketAddress address = unusedAddress();
        Recorder first = mirror(new View(1, 900, "lost"), address, Optional.empty());
        Recorder second = mirror(new View(2, 100, "restored"), unusedAddress(), Optional.of(address));
        await(() -> first.keys.contains("lost") && second.keys.contains("restored"));

        Thread.sleep(OBSERVATION_MILLIS);

        assertThat(second.keys).containsExactly("restored");
        assertThat(second.relayed).hasValue(0);
    }

    /** Guards against a host that knows of the restore by a lease call, and still follows a host that doesn't. */
    @Test
    void a_host_whose_calls_are_answered_in_a_later_epoch_ignores_its_outdated_source() throws Exception {
        InetSocketAddress address = unusedAddress();
        View known = new View(1, 900, "lost");
        mirror(new View(1, 900, "lost"), address, Optional.empty());
        Recorder second = mirror(known, unusedAddress(), Optional.of(address));
        await(() -> second.relayed.get() > 0);

        known.show(2, 100, "restored");
        Thread.sleep(OBSERVATION_MILLIS);
        int relayed = second.relayed.get();
        Thread.sleep(OBSERVATION_MILLIS);

        assertThat(second.relayed).hasValue(relayed);
    }
}
