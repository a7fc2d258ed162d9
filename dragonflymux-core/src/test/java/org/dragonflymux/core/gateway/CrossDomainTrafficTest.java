package org.dragonflymux.core.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import org.dragonflymux.core.balance.TargetEntry;
import org.dragonflymux.core.desired.DesiredState;
import org.dragonflymux.core.desired.RequestLimits;
import org.dragonflymux.core.desired.Route;
import org.dragonflymux.core.desired.ServiceSpec;
import org.dragonflymux.core.desired.WeightedService;
import org.dragonflymux.core.name.FailureDomain;
import org.dragonflymux.core.name.HostId;
import org.dragonflymux.core.name.ServiceName;
import org.dragonflymux.core.name.TargetId;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** A host with a target in its failure domain and one in another. */
class CrossDomainTrafficTest {

    private static final ServiceName SERVICE = ServiceName.of("s");
    private static final FailureDomain HOME = FailureDomain.of("a");
    private static final int SLOTS = 2;
    private static final int WORK_MILLIS = 100;
    private static final int UPLOAD_BYTES = 60 * 1024;

    private final Gateway gateway =
            Gateway.of(new GatewaySettings(HostId.of("h"), 1, HOME, 5_000, 2_000, 0.2, 50, 10_000), () -> 0L, 0);
    private long now = 1_000_000;
    private long exchange;

    @BeforeEach
    void setUp() {
        Route route =
                new Route("", "/up/", false, false, 5_000, 2_000, 1, List.of(new WeightedService(SERVICE, 1)), 1, true);
        gateway.updateDesiredState(new DesiredState(
                1,
                Map.of("host", List.of(route)),
                Map.of(SERVICE, new ServiceSpec(SERVICE, "/health", 100, 3_000, 10, false)),
                Map.of(),
                false,
                new RequestLimits(8_192, 1 << 20, 3_000, 15_000)));
        gateway.directory().replace(List.of(target("near", HOME), target("far", FailureDomain.of("b"))), now);
    }

    private static TargetEntry target(String id, FailureDomain domain) {
        return new TargetEntry(TargetId.of(id), SERVICE, "127.0.0.1:1", domain, SLOTS, false, 0, 1);
    }

    private GatewayEffect.Send send() {
        List<GatewayEffect> effects = gateway.requestArrived(
                new ArrivedRequest(
                        ++exchange,
                        "id" + exchange,
                        "host",
                        "/up/x",
                        Optional.empty(),
                        OptionalInt.empty(),
                        OptionalLong.of(5_000)),
                now);
        return (GatewayEffect.Send) effects.getFirst();
    }

    private void answer(GatewayEffect.Send send, long bytes) {
        now += WORK_MILLIS;
        gateway.bytesTransferred(send.attempt(), bytes);
        gateway.attemptEnded(send.attempt(), new AttemptResult.Answered(AttemptResult.Grade.SUCCESS), now);
    }

    /** Occupies all slots of the target in the host's own domain, and returns where the next request goes. */
    private TargetId destinationWhileHomeIsBusy() {
        for (int i = 0; i < SLOTS; i++) {
            assertThat(send().target().id()).isEqualTo(TargetId.of("near"));
        }
        return send().target().id();
    }

    @Test
    void small_requests_leave_a_busy_domain() {
        answer(send(), 100);

        assertThat(destinationWhileHomeIsBusy()).isEqualTo(TargetId.of("far"));
    }

    /** Guards against large uploads that cross failure domains as if they were small. */
    @Test
    void large_uploads_wait_for_a_moment_at_home() {
        answer(send(), UPLOAD_BYTES);

        assertThat(destinationWhileHomeIsBusy()).isEqualTo(TargetId.of("near"));
    }

    @Test
    void totals_tell_what_left() {
        answer(send(), 100);
        for (int i = 0; i < SLOTS; i++) {
            send();
        }
        answer(send(), 300);

        assertThat(gateway.drainCrossDomainTraffic()).isEqualTo(new CrossDomainTraffic.Totals(1, 1, 300));
        assertThat(gateway.drainCrossDomainTraffic()).isEqualTo(new CrossDomainTraffic.Totals(0, 0, 0));
    }
}
