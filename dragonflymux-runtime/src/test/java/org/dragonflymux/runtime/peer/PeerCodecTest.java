package org.dragonflymux.runtime.peer;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Random;
import java.util.stream.Stream;
import org.dragonflymux.core.assignment.LaneReport;
import org.dragonflymux.core.assignment.TargetHealth;
import org.dragonflymux.core.assignment.UnitLoad;
import org.dragonflymux.core.configuration.StoredEntry;
import org.dragonflymux.core.document.DocumentKey;
import org.dragonflymux.core.message.Header;
import org.dragonflymux.core.message.Outcome;
import org.dragonflymux.core.message.PeerMessage;
import org.dragonflymux.core.message.RefusalReason;
import org.dragonflymux.core.message.ServiceRequest;
import org.dragonflymux.core.message.UnknownReason;
import org.dragonflymux.core.name.CustomerName;
import org.dragonflymux.core.name.HostId;
import org.dragonflymux.core.name.ServiceName;
import org.dragonflymux.core.name.TargetId;
import org.dragonflymux.core.quarantine.CrashCount;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

class PeerCodecTest {

    private static final ServiceName SERVICE = ServiceName.of("verifica");

    static Stream<PeerMessage> messages() {
        StoredEntry entry = new StoredEntry(DocumentKey.service(SERVICE), 7, "{}");
        StoredEntry deleted = new StoredEntry(DocumentKey.session(HostId.of("a.1")), 8, null);
        LaneReport report = new LaneReport(
                SERVICE, TargetId.of("t1"), 3, TargetHealth.READY, false, List.of(4L), List.of(new UnitLoad(5, 1.5)));
        return Stream.of(
                new PeerMessage.Ask(1, 2),
                new PeerMessage.Tell(1, 2, List.of(entry, deleted), 9, 100, List.of(new CrashCount(-5L, 1, 60))),
                new PeerMessage.ForwardOutcome(4, Outcome.Refused.of(RefusalReason.KEY_MOVING)),
                new PeerMessage.ForwardOutcome(
                        4, new Outcome.Refused(RefusalReason.RATE_EXCEEDED, Duration.ofMillis(12))),
                new PeerMessage.ForwardOutcome(4, new Outcome.Unknown(UnknownReason.TARGET_LOST)),
                new PeerMessage.ForwardOutcome(4, new Outcome.AlreadyRan(201)),
                new PeerMessage.Borrow(5, SERVICE, CustomerName.of("league"), 3),
                new PeerMessage.Lend(5, 2, -1),
                new PeerMessage.Report(HostId.of("a.1"), report),
                new PeerMessage.AskPledge(6, SERVICE, 40),
                new PeerMessage.Pledge(6, SERVICE, HostId.of("b.2")),
                new PeerMessage.RelayRenewal(7, Long.MAX_VALUE),
                new PeerMessage.RelayedRenewal(7, true),
                new PeerMessage.Notice(List.of(entry)));
    }

    @ParameterizedTest
    @MethodSource("messages")
    void decodesWhatItEncodes(PeerMessage message) {
        assertThat(PeerCodec.decode(PeerCodec.encode(message)).get()).isEqualTo(message);
    }

    @Test
    void preservesRequestBodiesAndHeaders() {
        byte[] body = new byte[1000];
        new Random(1).nextBytes(body);
        ServiceRequest request = new ServiceRequest(
                SERVICE,
                CustomerName.of("league"),
                "k",
                "POST",
                "/k/x",
                List.of(new Header("Accept", "text/plain")),
                body,
                null);
        PeerMessage.Forward decoded =
                (PeerMessage.Forward) PeerCodec.decode(PeerCodec.encode(new PeerMessage.Forward(1, request, 500)))
                        .get();
        assertThat(decoded.body().body()).isEqualTo(body);
        assertThat(decoded.body().headers()).isEqualTo(request.headers());
        assertThat(decoded.body().idempotencyKey()).isNull();
    }

    @Nested
    class MalformedFrames {

        @Test
        void areRejectedWithAnError() {
            Random random = new Random(7);
            for (int i = 0; i < 2000; i++) {
                byte[] frame = new byte[random.nextInt(200)];
                random.nextBytes(frame);
                assertThat(PeerCodec.decode(frame).isLeft()).isTrue();
            }
        }

        @Test
        void neverCauseAnExceptionWhenOneByteOfAMessageIsCorrupted() {
            byte[] frame = PeerCodec.encode(new PeerMessage.Borrow(5, SERVICE, CustomerName.of("league"), 3));
            for (int at = 0; at < frame.length; at++) {
                byte[] corrupted = frame.clone();
                corrupted[at] ^= 0x55;
                assertThat(PeerCodec.decode(corrupted)).isNotNull();
            }
        }
    }
}
