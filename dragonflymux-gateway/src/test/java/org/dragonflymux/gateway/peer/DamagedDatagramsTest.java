package org.dragonflymux.gateway.peer;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.nio.NioEventLoopGroup;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Queue;
import java.util.Random;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import org.dragonflymux.core.gateway.PeerReport;
import org.dragonflymux.core.name.CustomerName;
import org.dragonflymux.core.name.HostId;
import org.dragonflymux.core.name.ServiceName;
import org.dragonflymux.core.quota.RateMessage;
import org.dragonflymux.core.shard.KeyRange;
import org.dragonflymux.gateway.damage.Allocation;
import org.dragonflymux.gateway.damage.DamagedBytes;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Guards against datagrams of faulty hosts that throw, allocate much, or are believed although they aren't whole. */
class DamagedDatagramsTest {

    private static final int CASES = Integer.getInteger("damage.cases", 5_000);
    private static final long MAX_ALLOCATED_BYTES = 2 << 20;
    private static final PeerReport REPORT = new PeerReport(
            HostId.of("h"),
            12,
            34,
            Map.of(HostId.of("g"), 33L),
            List.of(
                    new PeerReport.TargetUse(77, 3, 2, 5, 40, 300, 20),
                    new PeerReport.TargetUse(-78, 1, 0, 0, 0, 100, -1)),
            Map.of(ServiceName.of("s"), 4),
            Map.of(ServiceName.of("s"), new int[] {0, 1, 65_535}));
    private static final RateMessage ASK = new RateMessage.Ask(
            HostId.of("a"),
            12,
            HostId.of("b"),
            Optional.of(HostId.of("c")),
            List.of(new RateMessage.Demand(CustomerName.of("x"), 7, 8, 2, 5, 100, 3)));
    private static final RateMessage LEND = new RateMessage.Lend(
            HostId.of("b"),
            HostId.of("a"),
            Optional.empty(),
            List.of(
                    new RateMessage.Loan(CustomerName.of("x"), 7, 8, 4, 60),
                    new RateMessage.Loan(CustomerName.of("y"), 0, 9, 0, 0)));

    private static List<PeerReport> reportsOutOfRange() {
        return List.of(
                withUse(new PeerReport.TargetUse(77, -1, 0, 0, 0, 100, -1)),
                withUse(new PeerReport.TargetUse(77, Integer.MAX_VALUE, 0, 0, 0, 100, -1)),
                withUse(new PeerReport.TargetUse(77, 0, -1, 0, 0, 100, -1)),
                withUse(new PeerReport.TargetUse(77, 0, Integer.MAX_VALUE, 0, 0, 100, -1)),
                withUse(new PeerReport.TargetUse(77, 0, 0, -1, 0, 100, -1)),
                withUse(new PeerReport.TargetUse(77, 0, 0, Integer.MAX_VALUE, 0, 100, -1)),
                withUse(new PeerReport.TargetUse(77, 0, 0, 1, -1, 100, -1)),
                withUse(new PeerReport.TargetUse(77, 0, 0, 0, 0, -1, 0)),
                report(List.of(), Map.of(ServiceName.of("s"), -1), Map.of()),
                report(List.of(), Map.of(ServiceName.of("s"), Integer.MAX_VALUE), Map.of()),
                report(List.of(), Map.of(), Map.of(ServiceName.of("s"), new int[] {-1})),
                report(List.of(), Map.of(), Map.of(ServiceName.of("s"), new int[] {65_536})));
    }

    private static PeerReport withUse(PeerReport.TargetUse use) {
        return report(List.of(use), Map.of(), Map.of());
    }

    private static PeerReport report(
            List<PeerReport.TargetUse> uses, Map<ServiceName, Integer> waiting, Map<ServiceName, int[]> keys) {
        return new PeerReport(HostId.of("h"), 1, 1, Map.of(), uses, waiting, keys);
    }

    private static List<RateMessage> rateMessagesOutOfRange() {
        CustomerName customer = CustomerName.of("x");
        return List.of(
                ask(new RateMessage.Demand(customer, -1, 8, 2, 5, 100, 3)),
                ask(new RateMessage.Demand(customer, 7, -1, 2, 5, 100, 3)),
                ask(new RateMessage.Demand(customer, 7, 8, -1, 5, 100, 3)),
                ask(new RateMessage.Demand(customer, 7, 8, 2, -1, 100, 3)),
                ask(new RateMessage.Demand(customer, 7, 8, 2, 5, -1, 3)),
                ask(new RateMessage.Demand(customer, 7, 8, 2, 5, 100, -1)),
                lend(new RateMessage.Loan(customer, -1, 8, 4, 60)),
                lend(new RateMessage.Loan(customer, 7, -1, 4, 60)),
                lend(new RateMessage.Loan(customer, 7, 8, -1, 60)),
                lend(new RateMessage.Loan(customer, 7, 8, 4, -1)));
    }

    private static RateMessage ask(RateMessage.Demand demand) {
        return new RateMessage.Ask(HostId.of("a"), 12, HostId.of("b"), Optional.empty(), List.of(demand));
    }

    private static RateMessage lend(RateMessage.Loan loan) {
        return new RateMessage.Lend(HostId.of("a"), HostId.of("b"), Optional.empty(), List.of(loan));
    }

    @ParameterizedTest
    @MethodSource("reportsOutOfRange")
    void a_report_with_a_number_out_of_range_is_rejected(PeerReport report) {
        assertThat(ReportCodec.decode(ReportCodec.encode(report))).isEmpty();
    }

    @ParameterizedTest
    @MethodSource("rateMessagesOutOfRange")
    void a_rate_message_with_a_number_out_of_range_is_rejected(RateMessage message) {
        assertThat(RateCodec.decode(RateCodec.encode(message))).isEmpty();
    }

    @Test
    void a_message_with_further_bytes_is_rejected() {
        for (int extra = 0; extra < 256; extra++) {
            assertThat(ReportCodec.decode(append(ReportCodec.encode(REPORT), extra)))
                    .isEmpty();
            assertThat(RateCodec.decode(append(RateCodec.encode(ASK), extra))).isEmpty();
            assertThat(RateCodec.decode(append(RateCodec.encode(LEND), extra))).isEmpty();
        }
    }

    private static byte[] append(byte[] bytes, int extra) {
        byte[] result = Arrays.copyOf(bytes, bytes.length + 1);
        result[bytes.length] = (byte) extra;
        return result;
    }

    @Test
    void a_damaged_report_is_rejected_or_in_range() {
        List<byte[]> originals = List.of(ReportCodec.encode(REPORT));
        for (int seed = 0; seed < CASES; seed++) {
            byte[] bytes = DamagedBytes.ofMessagePack().draw(new Random(seed), originals);
            long allocated = Allocation.of(() -> ReportCodec.decode(bytes));

            assertThat(allocated).as("seed %d", seed).isLessThan(MAX_ALLOCATED_BYTES);
            Optional<PeerReport> read = ReportCodec.decode(bytes);
            if (read.isPresent()) {
                assertInRange(read.get(), seed);
                assertThat(ReportCodec.decode(ReportCodec.encode(read.get())).orElseThrow())
                        .as("seed %d", seed)
                        .usingRecursiveComparison()
                        .isEqualTo(read.get());
            }
        }
    }

    private static void assertInRange(PeerReport report, int seed) {
        assertThat(report.targets())
                .as("seed %d", seed)
                .allSatisfy(
                        use -> assertThat(List.of(use.inFlight(), use.waiting(), use.completions(), use.meanMillis()))
                                .allSatisfy(number -> assertThat(number).isNotNegative()));
        assertThat(report.waiting().values())
                .as("seed %d", seed)
                .allSatisfy(count -> assertThat(count).isNotNegative());
        assertThat(report.keys().values())
                .as("seed %d", seed)
                .allSatisfy(keys -> assertThat(Arrays.stream(keys))
                        .allMatch(key -> key >= KeyRange.MIN_KEY && key <= KeyRange.MAX_KEY));
    }

    @Test
    void a_damaged_rate_message_is_rejected_or_in_range() {
        List<byte[]> originals = List.of(RateCodec.encode(ASK), RateCodec.encode(LEND));
        for (int seed = 0; seed < CASES; seed++) {
            byte[] bytes = DamagedBytes.ofMessagePack().draw(new Random(seed), originals);
            long allocated = Allocation.of(() -> RateCodec.decode(bytes));

            assertThat(allocated).as("seed %d", seed).isLessThan(MAX_ALLOCATED_BYTES);
            Optional<RateMessage> read = RateCodec.decode(bytes);
            if (read.isPresent()) {
                assertThat(numbers(read.get())).as("seed %d", seed).allMatch(number -> number >= 0);
                assertThat(RateCodec.decode(RateCodec.encode(read.get())))
                        .as("seed %d", seed)
                        .isEqualTo(read);
            }
        }
    }

    private static List<Long> numbers(RateMessage message) {
        return switch (message) {
            case RateMessage.Ask ask ->
                ask.demands().stream()
                        .flatMap(each -> List.of(
                                each.epoch(),
                                each.sequence(),
                                (long) each.needed(),
                                (long) each.wanted(),
                                each.used(),
                                each.returned())
                                .stream())
                        .toList();
            case RateMessage.Lend lend ->
                lend.loans().stream()
                        .flatMap(
                                each -> List.of(
                                        each.epoch(),
                                        each.sequence(),
                                        (long) each.tokens(),
                                        each.millisUntilNextToken())
                                        .stream())
                        .toList();
        };
    }

    /** A socket that receives damaged datagrams, and whose handlers throw for some messages. */
    @Nested
    class Socket {

        private static final int DATAGRAMS = 2_000;
        private static final int LOT = 50;
        private static final long TIMEOUT_MILLIS = 10_000;
        private static final HostId LAST = HostId.of("last");

        @Test
        void still_receives_whole_messages_after_damaged_ones() throws Exception {
            NioEventLoopGroup loops = new NioEventLoopGroup(1);
            Queue<HostId> senders = new ConcurrentLinkedQueue<>();
            int port = unusedPort();
            PeerSocket socket = PeerSocket.open(
                    loops.next(),
                    new InetSocketAddress(InetAddress.getLoopbackAddress(), port),
                    report -> {
                        senders.add(report.from());
                        failUnlessLast(report.from());
                    },
                    (message, _) -> failUnlessLast(message.from()));
            try (DatagramSocket peer = new DatagramSocket()) {
                List<byte[]> originals =
                        List.of(ReportCodec.encode(REPORT), RateCodec.encode(ASK), RateCodec.encode(LEND));
                for (int seed = 0; seed < DATAGRAMS; seed++) {
                    Random random = new Random(seed);
                    byte[] bytes = DamagedBytes.ofMessagePack().draw(random, originals);
                    send(peer, random.nextInt(4), Arrays.copyOf(bytes, Math.min(bytes.length, 60_000)), port);
                    if (seed % LOT == 0) {
                        Thread.sleep(1);
                    }
                }
                PeerReport last = new PeerReport(LAST, 1, 1, Map.of(), List.of(), Map.of(), Map.of());
                long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MILLIS);
                while (!senders.contains(LAST) && System.nanoTime() < deadline) {
                    send(peer, 1, ReportCodec.encode(last), port);
                    Thread.sleep(10);
                }
                assertThat(senders).contains(LAST).hasSizeGreaterThan(1);
            } finally {
                socket.close();
                loops.shutdownGracefully();
            }
        }

        private static void failUnlessLast(HostId from) {
            if (!from.equals(LAST)) {
                throw new IllegalStateException("a message that can't be handled");
            }
        }

        private static int unusedPort() throws Exception {
            try (DatagramSocket any = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
                return any.getLocalPort();
            }
        }

        private static void send(DatagramSocket peer, int kind, byte[] bytes, int port) throws Exception {
            byte[] datagram = new byte[bytes.length + 1];
            datagram[0] = (byte) kind;
            System.arraycopy(bytes, 0, datagram, 1, bytes.length);
            peer.send(new DatagramPacket(datagram, datagram.length, InetAddress.getLoopbackAddress(), port));
        }
    }
}
