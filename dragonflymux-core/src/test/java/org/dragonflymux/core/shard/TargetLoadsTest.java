package org.dragonflymux.core.shard;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.util.List;
import java.util.Map;
import org.dragonflymux.core.name.TargetId;
import org.junit.jupiter.api.Test;

class TargetLoadsTest {

    private static final TargetId OWNER = TargetId.of("owner");
    private static final TargetId OTHER = TargetId.of("other");
    private static final KeyRange KEYS = new KeyRange(0, 1_023);
    private static final KeyRange OTHER_KEYS = new KeyRange(1_024, KeyRange.MAX_KEY);

    private final KeyLoad load = KeyLoad.empty();

    private void requests(int perSecond, KeyRange keys, long from, long until) {
        for (int i = 0; i < perSecond * (until - from) / 1_000; i++) {
            load.recordRequest(keys.first() + i * 359 % keys.size(), from + i * 1_000L / perSecond);
        }
    }

    private TargetLoads loads(long now) {
        return new TargetLoads(load.windows(now), Map.of(OWNER, List.of(KEYS), OTHER, List.of(OTHER_KEYS)));
    }

    /** The load of the last second alone differs by chance so much that keys moved without end. */
    @Test
    void a_steady_load_is_taken_from_a_long_window() {
        requests(10, KEYS, 0, 10_000);

        TargetLoads.Load steady = loads(10_000).of(OWNER);

        assertThat(steady.requestsPerSecond()).isCloseTo(10, within(1.0));
        assertThat(steady.variance()).isLessThan(2);
    }

    /** A window of 1.5 s showed a new load in full only after 1.5 s. */
    @Test
    void a_sudden_load_shows_in_full_after_the_shortest_window() {
        requests(10, KEYS, 0, 10_000);
        requests(200, new KeyRange(100, 160), 10_000, 10_400);

        assertThat(loads(10_400).requestsPerSecond(OWNER)).isGreaterThan(190);
    }

    @Test
    void a_load_that_has_gone_is_not_counted_any_more() {
        requests(200, new KeyRange(100, 160), 0, 10_000);

        assertThat(loads(10_500).requestsPerSecond(OWNER)).isZero();
    }

    /** Each owner's part of a divided range is too small to show that the range as a whole has become busy. */
    @Test
    void a_part_of_a_busy_block_is_taken_from_the_same_window_as_the_block() {
        requests(200, new KeyRange(100, 160), 10_000, 10_400);
        requests(1, OTHER_KEYS, 0, 10_000);
        KeyRange part = new KeyRange(100, 103);
        double expected = 200 * 4 / 61.0;

        TargetLoads loads = new TargetLoads(
                load.windows(10_400), Map.of(OWNER, List.of(part), OTHER, List.of(new KeyRange(104, 65_535))));

        assertThat(loads.of(OWNER).requestsPerSecond()).isCloseTo(expected, within(expected / 3));
    }

    @Test
    void a_moved_range_counts_at_its_next_owner() {
        requests(10, KEYS, 0, 10_000);
        TargetLoads loads = loads(10_000);
        double before = loads.requestsPerSecond(OWNER);

        loads.move(new KeyRange(0, 511), OWNER, OTHER);

        assertThat(loads.requestsPerSecond(OWNER) + loads.requestsPerSecond(OTHER))
                .isCloseTo(before, within(1e-6));
        assertThat(loads.requestsPerSecond(OTHER)).isCloseTo(before / 2, within(before / 10));
    }

    /** The first requests after a change of the grantor looked like a small load, as the time before counted as idle. */
    @Test
    void the_time_before_the_first_request_is_unknown_not_idle() {
        requests(100, KEYS, 20_000, 20_800);

        assertThat(load.windows(20_800))
                .allSatisfy(window -> assertThat(window.requestsPerSecond(KEYS)).isCloseTo(100, within(5.0)));
    }

    /** With more requests than samples are kept, the older part of a window is unknown. */
    @Test
    void requests_beyond_the_number_of_samples_do_not_lower_the_load() {
        requests(20_000, KEYS, 0, 10_000);

        assertThat(load.windows(10_000))
                .allSatisfy(window -> assertThat(window.requestsPerSecond(KEYS)).isCloseTo(20_000, within(500.0)));
    }
}
