package org.dragonflymux.gateway.peer;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Arrays;
import java.util.List;
import java.util.Map;
import org.dragonflymux.core.gateway.PeerReport;
import org.dragonflymux.core.name.HostId;
import org.dragonflymux.core.name.ServiceName;
import org.junit.jupiter.api.Test;

class ReportCodecTest {

    private static final PeerReport REPORT = new PeerReport(
            HostId.of("h"),
            12,
            34,
            Map.of(HostId.of("g"), 33L),
            List.of(new PeerReport.TargetUse(77, 3, 2, 5, 40, 300, 20)),
            Map.of(ServiceName.of("s"), 4),
            Map.of(ServiceName.of("s"), new int[] {1, 65_535}));

    @Test
    void what_is_written_is_read() {
        PeerReport read = ReportCodec.decode(ReportCodec.encode(REPORT)).orElseThrow();

        assertThat(read).usingRecursiveComparison().isEqualTo(REPORT);
    }

    @Test
    void a_cut_or_foreign_report_is_no_report() {
        byte[] whole = ReportCodec.encode(REPORT);
        for (int length = 0; length < whole.length; length++) {
            assertThat(ReportCodec.decode(Arrays.copyOf(whole, length))).isEmpty();
        }
        assertThat(ReportCodec.decode("not a report".getBytes(java.nio.charset.StandardCharsets.UTF_8)))
                .isEmpty();
    }
}
