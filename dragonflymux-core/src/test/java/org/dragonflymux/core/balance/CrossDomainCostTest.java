package org.dragonflymux.core.balance;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.dragonflymux.core.desired.Route;
import org.dragonflymux.core.desired.WeightedService;
import org.dragonflymux.core.name.ServiceName;
import org.junit.jupiter.api.Test;

class CrossDomainCostTest {

    private static final double MILLIS_PER_KIBIBYTE = 2;
    private static final int UPLOAD_BYTES = 60 * 1024;

    private final CrossDomainCost cost = CrossDomainCost.of(MILLIS_PER_KIBIBYTE);

    private static Route route(String prefix, boolean largeAnswers) {
        return new Route(
                "",
                prefix,
                true,
                largeAnswers,
                1_000,
                500,
                0,
                List.of(new WeightedService(ServiceName.of("s"), 1)),
                1,
                true);
    }

    /** Guards against large uploads that cross failure domains as if they were small, because only answers counted. */
    @Test
    void a_route_with_large_requests_costs_as_much_as_one_with_large_answers() {
        Route upload = route("/up/", false);
        for (int i = 0; i < 50; i++) {
            cost.recordTransfer(upload, UPLOAD_BYTES);
        }

        assertThat(cost.millis(upload)).isGreaterThanOrEqualTo(UPLOAD_BYTES / 1024.0 * MILLIS_PER_KIBIBYTE);
    }

    /** Guards against a route with small answers that costs as much as a large one because it is named so. */
    @Test
    void what_was_measured_replaces_what_is_assumed_of_large_answers() {
        Route download = route("/down/", true);
        double assumed = cost.millis(download);
        for (int i = 0; i < 100; i++) {
            cost.recordTransfer(download, 1024);
        }

        assertThat(cost.millis(download)).isLessThan(assumed / 4);
    }

    @Test
    void a_small_request_costs_little() {
        assertThat(cost.millis(route("/", false))).isLessThan(10);
    }

    /** Guards against a route that counts as small again when operators change its weights or timeouts. */
    @Test
    void a_changed_route_keeps_its_size() {
        Route before = route("/up/", false);
        cost.recordTransfer(before, UPLOAD_BYTES);
        Route changed = new Route(
                "", "/up/", true, false, 2_000, 900, 1, List.of(new WeightedService(ServiceName.of("t"), 1)), 2, true);

        cost.retainRoutes(List.of(changed));

        assertThat(cost.millis(changed)).isEqualTo(cost.millis(before));
    }

    /** Guards against one unusual answer that replaces what is assumed of large ones. */
    @Test
    void one_small_answer_does_not_make_a_large_route_small() {
        Route download = route("/down/", true);
        double assumed = cost.millis(download);
        cost.recordTransfer(download, 0);

        assertThat(cost.millis(download)).isGreaterThan(assumed / 3);
    }

    /** Guards against memory that grows with each change of the routes. */
    @Test
    void measurements_of_removed_routes_are_dropped() {
        Route removed = route("/up/", false);
        cost.recordTransfer(removed, UPLOAD_BYTES);

        cost.retainRoutes(List.of());

        assertThat(cost.millis(removed)).isLessThan(10);
    }
}
