package org.dragonflymux.gateway.peer;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.dragonflymux.core.gateway.PeerReport;
import org.dragonflymux.core.gateway.WaitingClass;
import org.dragonflymux.core.name.HostId;
import org.dragonflymux.core.name.ServiceName;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;

class ReportWaitingClassesTest {

    private static final ServiceName SERVICE = ServiceName.of("s");
    private static final int EARLIER_FORMAT = 3;
    /** Collectors send the most reports, ten per second at most. A tenth of the slowest link has 87,500 bytes/s. */
    private static final int MAX_CLASSES_BYTES = 8_750 / 2;

    private static PeerReport report(Map<ServiceName, Integer> waiting, Map<WaitingClass, Integer> waitingByClass) {
        return new PeerReport(
                HostId.of("h"), 12, 34, Map.of(), List.of(), waiting, waitingByClass, Map.of(SERVICE, new int[] {
                    1, 65_535
                }));
    }

    private static PeerReport roundTrip(PeerReport report) {
        return ReportCodec.decode(ReportCodec.encode(report)).orElseThrow();
    }

    @Test
    void waiting_requests_by_class_are_kept() {
        PeerReport report = report(
                Map.of(SERVICE, 12, ServiceName.of("other"), 5),
                Map.of(new WaitingClass(SERVICE, 1), 4, new WaitingClass(SERVICE, WaitingClass.COUNT - 1), 7));

        assertThat(roundTrip(report)).usingRecursiveComparison().isEqualTo(report);
    }

    /** Guards against names that resemble a class entry and make the whole report unreadable. */
    @Test
    void names_that_are_no_class_entries_are_kept_as_services() {
        Map<ServiceName, Integer> waiting = new HashMap<>();
        List.of("0..s", "8..s", "12..s", "1.s", "1..-s", "1...s", "s..1")
                .forEach(name -> waiting.put(ServiceName.of(name), 3));

        assertThat(roundTrip(report(waiting, Map.of())).waiting()).isEqualTo(waiting);
    }

    @Nested
    class Size {

        @Test
        void of_the_classes_of_many_services_is_bounded() {
            Map<WaitingClass, Integer> classes = new HashMap<>();
            for (int i = 0; i < 1_000; i++) {
                ServiceName service = ServiceName.of(String.format("service-%052d", i));
                for (int each = 1; each < WaitingClass.COUNT; each++) {
                    classes.put(new WaitingClass(service, each), 1 << 20);
                }
            }
            int without = ReportCodec.encode(report(Map.of(), Map.of())).length;

            assertThat(ReportCodec.encode(report(Map.of(), classes)).length - without)
                    .isBetween(1, MAX_CLASSES_BYTES);
        }

        @Test
        void leaves_out_the_classes_with_the_fewest_waiting_requests() {
            Map<WaitingClass, Integer> classes = new HashMap<>();
            for (int i = 0; i < 1_000; i++) {
                classes.put(new WaitingClass(ServiceName.of("s" + i), 1), i + 1);
            }

            assertThat(roundTrip(report(Map.of(), classes)).waitingByClass())
                    .containsEntry(new WaitingClass(ServiceName.of("s999"), 1), 1_000)
                    .doesNotContainKey(new WaitingClass(ServiceName.of("s0"), 1));
        }

        /** Guards against reports that no host can read, because a class and a long service name exceed the length of a name. */
        @Test
        void of_a_name_that_has_no_room_for_a_class_leaves_the_class_out() {
            ServiceName longest = ServiceName.of("s".repeat(63));
            PeerReport read = roundTrip(report(Map.of(longest, 9), Map.of(new WaitingClass(longest, 2), 9)));

            assertThat(read.waiting()).containsEntry(longest, 9);
            assertThat(read.waitingByClass()).isEmpty();
        }
    }

    @Nested
    class DuringAnUpgrade {

        private static byte[] earlierReport() throws IOException {
            try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
                packer.packInt(EARLIER_FORMAT).packString("h").packLong(12).packLong(34);
                packer.packMapHeader(0).packArrayHeader(0);
                packer.packMapHeader(1).packString("s").packInt(9);
                packer.packMapHeader(1).packString("s").packArrayHeader(1).packInt(7);
                return packer.toByteArray();
            }
        }

        /** Guards against hosts that ignore each other's load while some of them run the earlier release. */
        @Test
        void a_report_of_an_earlier_release_has_waiting_requests_of_class_0_only() throws IOException {
            PeerReport read = ReportCodec.decode(earlierReport()).orElseThrow();

            assertThat(read.waiting()).isEqualTo(Map.of(SERVICE, 9));
            assertThat(read.waitingByClass()).isEmpty();
            assertThat(read.keys().get(SERVICE)).containsExactly(7);
        }

        /**
         * Guards against a grantor of an earlier release that misses the shard keys requested at upgraded hosts. Reads the
         * report as the earlier release does: it accepts one format, checks the names, and rejects further bytes.
         */
        @Test
        void an_earlier_release_reads_the_total_and_the_shard_keys() throws IOException {
            byte[] bytes = ReportCodec.encode(report(Map.of(SERVICE, 12), Map.of(new WaitingClass(SERVICE, 2), 4)));
            try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
                assertThat(unpacker.unpackInt()).isEqualTo(EARLIER_FORMAT);
                assertThat(unpacker.unpackString()).isEqualTo("h");
                assertThat(unpacker.unpackLong()).isEqualTo(12);
                assertThat(unpacker.unpackLong()).isEqualTo(34);
                assertThat(unpacker.unpackMapHeader()).isZero();
                assertThat(unpacker.unpackArrayHeader()).isZero();
                Map<ServiceName, Integer> waiting = new HashMap<>();
                for (int i = unpacker.unpackMapHeader(); i > 0; i--) {
                    waiting.put(ServiceName.of(unpacker.unpackString()), unpacker.unpackInt());
                }
                assertThat(waiting).containsEntry(SERVICE, 12);
                assertThat(unpacker.unpackMapHeader()).isEqualTo(1);
                assertThat(unpacker.unpackString()).isEqualTo("s");
                assertThat(unpacker.unpackArrayHeader()).isEqualTo(2);
                assertThat(unpacker.unpackInt()).isEqualTo(1);
                assertThat(unpacker.unpackInt()).isEqualTo(65_535);
                assertThat(unpacker.hasNext()).isFalse();
            }
        }
    }
}
