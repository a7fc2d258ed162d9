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
    void an_encoded_report_decodes_to_the_same_report() {
        PeerReport read = ReportCodec.decode(ReportCodec.encode(REPORT)).orElseThrow();

        assertThat(read).usingRecursiveComparison().isEqualTo(REPORT);
    }

    @Test
    void truncated_and_unknown_reports_are_rejected() {
        byte[] encoded = ReportCodec.encode(REPORT);
        for (int length = 0; length < encoded.length; length++) {
            assertThat(ReportCodec.decode(Arrays.copyOf(encoded, length))).isEmpty();
        }
        assertThat(ReportCodec.decode("not a report".getBytes(java.nio.charset.StandardCharsets.UTF_8)))
                .isEmpty();
    }
}
