package org.dragonflymux.gateway.store;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.ByteBufUtil;
import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import io.vavr.control.Either;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** A host that follows, or is followed by, another one that sends other bytes than whole frames. */
class FaultyRelayTest {

    private static final long TIMEOUT_MILLIS = 10_000;
    private static final int SOCKET_TIMEOUT_MILLIS = 5_000;
    private static final long POLL_MILLIS = 5;

    private final NioEventLoopGroup loops = new NioEventLoopGroup(1);
    private final EventLoop loop = loops.next();
    private final Recorder recorder = new Recorder();

    @AfterEach
    void close() {
        loops.shutdownGracefully();
    }

    private static long now() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }

    /** A store that holds one value and never changes. */
    private final class ConstantStore implements StoreClient {

        @Override
        public void range(String prefix, Consumer<Either<StoreError, Range>> result) {
            loop.execute(() ->
                    result.accept(Either.right(new Range(List.of(new StoredItem("first", new byte[1], 1)), 1))));
        }

        @Override
        public void watch(String prefix, long after, long waitMillis, Consumer<Either<StoreError, Changes>> result) {
            // It never answers, so all later changes come from the other host.
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

        private final AtomicLong completeAt = new AtomicLong(Long.MIN_VALUE);
        private final AtomicLong relayedAt = new AtomicLong(Long.MIN_VALUE);
        private final AtomicLong recoveredAt = new AtomicLong(Long.MIN_VALUE);
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
            relayedAt.accumulateAndGet(at, Math::max);
        }

        @Override
        public void storeRecovered(long at) {
            recoveredAt.accumulateAndGet(at, Math::max);
        }
    }

    private StoreMirror mirror(InetSocketAddress relayAddress) {
        return StoreMirror.start(
                loop,
                new ConstantStore(),
                "",
                1_000,
                FaultyRelayTest::now,
                FaultyRelayTest::now,
                relayAddress,
                recorder);
    }

    private static InetSocketAddress unusedAddress() throws IOException {
        try (ServerSocket any = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return (InetSocketAddress) any.getLocalSocketAddress();
        }
    }

    private void awaitKey(String key) throws InterruptedException {
        long deadline = now() + TIMEOUT_MILLIS;
        while (!recorder.items.containsKey(key) && now() < deadline) {
            Thread.sleep(POLL_MILLIS);
        }
        assertThat(recorder.items).containsKey(key);
    }

    private static byte[] withLength(byte[] frame) {
        return ByteBuffer.allocate(Integer.BYTES + frame.length)
                .putInt(frame.length)
                .put(frame)
                .array();
    }

    private static byte[] frame(String key, long revision, long age, long sinceRecovery, long echo) throws IOException {
        RelayFrame frame = new RelayFrame(
                false,
                new StoreClient.Changes(
                        List.of(new StoreChange.Written(new StoredItem(key, new byte[8], revision))), revision),
                age,
                sinceRecovery,
                Optional.of(new RelayFrame.EchoTimestamp(echo, 0)));
        return ByteBufUtil.getBytes(frame.encode());
    }

    /** A host whose bytes on each connection are given by the test. */
    @Nested
    class Source {

        private static final int CONNECTIONS = 200;
        private final AtomicInteger connections = new AtomicInteger();

        private interface Script {
            /** Returns the bytes to send on a connection. */
            byte[] bytes(int connection) throws IOException;
        }

        private ServerSocket follow(Script script) throws Exception {
            ServerSocket socket = new ServerSocket(0, 64, InetAddress.getLoopbackAddress());
            Thread.ofVirtual().start(() -> serve(socket, script));
            StoreMirror mirror = mirror(unusedAddress());
            awaitKey("first");
            Optional<InetSocketAddress> source = Optional.of((InetSocketAddress) socket.getLocalSocketAddress());
            loop.scheduleAtFixedRate(
                    () -> mirror.setUpdateSources(false, source), 0, POLL_MILLIS, TimeUnit.MILLISECONDS);
            return socket;
        }

        private void serve(ServerSocket socket, Script script) {
            while (!socket.isClosed()) {
                try (Socket connection = socket.accept()) {
                    connection.setSoTimeout(SOCKET_TIMEOUT_MILLIS);
                    connection.getOutputStream().write(script.bytes(connections.getAndIncrement()));
                    connection.shutdownOutput();
                    while (connection.getInputStream().read() >= 0) {
                        // The follower closes a connection whose bytes it can't use, or that has ended.
                    }
                } catch (IOException closed) {
                    // The follower connects again, or the test has ended.
                }
            }
        }

        @Test
        void that_sends_no_whole_frames_changes_nothing_and_is_followed_again() throws Exception {
            byte[] lost = frame("lost", 50, 0, 0, 0);
            try (ServerSocket _ = follow(connection -> connection < CONNECTIONS
                    ? notWhole(new Random(connection), lost)
                    : withLength(frame("second", 2, 0, 0, 0)))) {
                awaitKey("second");

                assertThat(connections).hasValueGreaterThan(CONNECTIONS);
                assertThat(recorder.items).containsOnlyKeys("first", "second");
            }
        }

        private static byte[] notWhole(Random random, byte[] frame) {
            byte[] whole = withLength(frame);
            return switch (random.nextInt(5)) {
                case 0 -> Arrays.copyOf(whole, random.nextInt(whole.length));
                case 1 -> withLength(Arrays.copyOf(frame, random.nextInt(frame.length)));
                case 2 -> withLength(Arrays.copyOf(frame, frame.length + 1 + random.nextInt(9)));
                case 3 ->
                    ByteBuffer.allocate(Integer.BYTES + frame.length)
                            .putInt(random.nextBoolean() ? -1 - random.nextInt(99) : Integer.MAX_VALUE)
                            .put(frame)
                            .array();
                default -> {
                    byte[] noise = new byte[random.nextInt(200)];
                    random.nextBytes(noise);
                    yield withLength(noise);
                }
            };
        }

        /** A host would accept revoked credentials for as long as such a time lies ahead. */
        @Test
        void whose_updates_are_dated_ahead_doesnt_make_them_newer_than_their_arrival() throws Exception {
            long hour = TimeUnit.HOURS.toMillis(1);
            byte[] ahead = frame("second", 2, -hour, -hour, now() + hour);
            try (ServerSocket _ = follow(_ -> withLength(ahead))) {
                awaitKey("second");
                long deadline = now() + TIMEOUT_MILLIS;
                while (recorder.relayedAt.get() == Long.MIN_VALUE && now() < deadline) {
                    Thread.sleep(POLL_MILLIS);
                }

                // Further frames arrive, so the times are read before the clock.
                List<Long> times =
                        List.of(recorder.relayedAt.get(), recorder.completeAt.get(), recorder.recoveredAt.get());
                long latest = now();
                assertThat(times).allSatisfy(time -> assertThat(time).isLessThanOrEqualTo(latest));
            }
        }
    }

    /** A host that follows this one and sends other bytes than timestamps. */
    @Nested
    class Follower {

        private static final int MAX_DRAINED = 1_000;

        private Socket connect(InetSocketAddress address) throws IOException {
            Socket socket = new Socket(address.getAddress(), address.getPort());
            socket.setSoTimeout(SOCKET_TIMEOUT_MILLIS);
            return socket;
        }

        private static byte[] read(Socket socket) throws IOException {
            DataInputStream in = new DataInputStream(socket.getInputStream());
            return in.readNBytes(in.readInt());
        }

        /** Returns whether the other side ends the connection rather than waiting for further bytes. */
        private static boolean ended(Socket socket) {
            try {
                for (int i = 0; i < MAX_DRAINED; i++) {
                    if (socket.getInputStream().read() < 0) {
                        return true;
                    }
                }
                return false;
            } catch (java.net.SocketTimeoutException waiting) {
                return false;
            } catch (IOException reset) {
                return true;
            }
        }

        /** Such a connection kept up to 32 MB, and any number of them may be opened. */
        @Test
        void that_announces_more_than_a_timestamp_is_disconnected_before_it_sends_that() throws Exception {
            InetSocketAddress address = unusedAddress();
            mirror(address);
            awaitKey("first");
            for (int length : new int[] {9, 1_000, 32 << 20, Integer.MAX_VALUE, -1}) {
                try (Socket follower = connect(address)) {
                    new DataOutputStream(follower.getOutputStream()).writeInt(length);

                    assertThat(ended(follower)).as("length %d", length).isTrue();
                }
            }
        }

        /** Guards against followers that are disconnected by their first timestamp, so that all hosts watch the store. */
        @Test
        void that_sends_a_timestamp_gets_it_back_on_the_same_connection() throws Exception {
            InetSocketAddress address = unusedAddress();
            StoreMirror mirror = mirror(address);
            awaitKey("first");
            try (Socket follower = connect(address)) {
                read(follower);
                DataOutputStream out = new DataOutputStream(follower.getOutputStream());
                out.writeInt(Long.BYTES);
                out.writeLong(4_711);
                Thread.sleep(200);
                loop.submit(mirror::sendHeartbeat).get();

                assertThat(RelayFrame.decode(io.netty.buffer.Unpooled.wrappedBuffer(read(follower)))
                                .echoTimestamp()
                                .map(RelayFrame.EchoTimestamp::time))
                        .contains(4_711L);
            }
        }

        @Test
        void that_sends_any_bytes_doesnt_disturb_the_others() throws Exception {
            InetSocketAddress address = unusedAddress();
            mirror(address);
            awaitKey("first");
            for (int seed = 0; seed < 100; seed++) {
                try (Socket follower = connect(address)) {
                    byte[] noise = new byte[new Random(seed).nextInt(100)];
                    new Random(seed).nextBytes(noise);
                    follower.getOutputStream().write(noise);
                } catch (IOException disconnected) {
                    // This is one of the right answers.
                }
            }
            try (Socket follower = connect(address)) {
                assertThat(RelayFrame.decode(io.netty.buffer.Unpooled.wrappedBuffer(read(follower)))
                                .changes()
                                .changes())
                        .hasSize(1);
            }
        }
    }
}
