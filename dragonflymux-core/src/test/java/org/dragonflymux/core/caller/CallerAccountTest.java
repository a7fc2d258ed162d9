package org.dragonflymux.core.caller;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.dragonflymux.core.caller.CallerUsage.Phase;
import org.dragonflymux.core.desired.RequestLimits;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class CallerAccountTest {

    private static final long MIB = 1 << 20;
    private static final RequestLimits REQUESTS = new RequestLimits(16_384, (int) MIB, 3_000, 15_000);

    private final CallerAccount account = CallerAccount.of(new CallerLimits(16 * MIB, 10, 4, 4 * MIB));
    private long now = 10_000;

    private static CallerUsage body(long bytes, long since) {
        return new CallerUsage(Phase.BODY, since, since, since, bytes, 0, 0, 0, true);
    }

    private static CallerUsage queued(long bytes, long since) {
        return new CallerUsage(Phase.IDLE, since, since, since, 0, bytes, 0, 1, true);
    }

    private List<CallerAction> use(long connection, CallerUsage usage) {
        return account.used(connection, usage, REQUESTS, now);
    }

    private List<CallerAction> openWith(long connection, CallerUsage usage) {
        account.opened(connection, now);
        return use(connection, usage);
    }

    @Nested
    class Memory {

        @Test
        void a_single_request_of_the_maximum_size_is_neither_paused_nor_closed() {
            RequestLimits large = new RequestLimits(16_384, (int) (14 * MIB), 3_000, 15_000);
            account.opened(1, now);
            List<CallerAction> actions = new ArrayList<>();
            for (long bytes = 0; bytes <= 14 * MIB; bytes += MIB / 4) {
                now += 1_000;
                actions.addAll(account.used(1, body(bytes, now), large, now));
                actions.addAll(account.tick(large, now));
            }
            assertThat(actions).isEmpty();
        }

        @Test
        void large_connections_are_paused_first_and_small_ones_are_not() {
            openWith(1, body(1_000, now));
            openWith(2, body(6 * MIB, now));

            assertThat(openWith(3, body(7 * MIB, now)))
                    .containsExactlyInAnyOrder(new CallerAction.Pause(2), new CallerAction.Pause(3));
        }

        @Test
        void the_slowest_and_largest_is_closed_if_the_memory_stays_short_and_the_others_are_read_again() {
            openWith(1, body(6 * MIB, now - 9_000));
            openWith(2, body(5 * MIB, now));
            openWith(3, body(2 * MIB, now));
            now += 1_000;

            assertThat(account.tick(REQUESTS, now))
                    .containsExactly(
                            new CallerAction.Close(1, CloseReason.MEMORY),
                            new CallerAction.Resume(2),
                            new CallerAction.Resume(3));
        }

        @Test
        void uploads_that_end_in_time_free_the_memory_and_nothing_is_closed() {
            openWith(1, body(6 * MIB, now));
            openWith(2, body(7 * MIB, now));
            now += 100;

            assertThat(account.closed(1, REQUESTS, now)).containsExactly(new CallerAction.Resume(2));
        }

        @Test
        void beyond_the_limit_connections_are_closed_at_once() {
            openWith(1, body(8 * MIB, now - 1_000));
            openWith(2, body(4 * MIB, now));

            assertThat(use(2, body(9 * MIB, now))).contains(new CallerAction.Close(1, CloseReason.MEMORY));
            assertThat(account.totalBytes()).isLessThan(16 * MIB);
        }

        /** Guards against ending requests that a target may be running. */
        @Test
        void a_connection_is_not_closed_for_requests_that_may_be_running() {
            openWith(1, queued(12 * MIB, now - 60_000));

            assertThat(openWith(2, body(5 * MIB, now))).contains(new CallerAction.Close(2, CloseReason.MEMORY));
        }

        @Test
        void unread_responses_count_as_well() {
            CallerUsage unread = new CallerUsage(Phase.IDLE, now, now, now - 5_000, 0, 0, 10 * MIB, 0, true);
            openWith(1, unread);

            assertThat(openWith(2, body(7 * MIB, now))).contains(new CallerAction.Close(1, CloseReason.MEMORY));
        }

        /** Guards against paused connections that are never read again because running requests hold the memory. */
        @Test
        void connections_are_read_again_if_only_running_requests_are_left_below_the_level() {
            openWith(1, queued(11 * MIB, now));
            openWith(2, body(2 * MIB, now));
            now += 600;
            account.tick(REQUESTS, now);

            assertThat(openWith(3, body(MIB / 2, now))).isEmpty();
        }

        /** Guards against memory of refused callers that counts nowhere while their earlier requests run. */
        @Test
        void earlier_requests_of_a_closing_connection_count_until_it_ends() {
            openWith(1, new CallerUsage(Phase.BODY, now, now, now, 15 * MIB, 2 * MIB, 0, 1, true));
            assertThat(account.totalBytes()).isBetween(2 * MIB, 3 * MIB);
            account.closed(1, REQUESTS, now);

            assertThat(account.totalBytes()).isZero();
        }

        /** Guards against cancelling running requests for a byte of the next head or for an unread response. */
        @Test
        void a_connection_with_running_requests_gives_up_only_its_unfinished_request() {
            openWith(1, new CallerUsage(Phase.IDLE, now, now, now - 9_000, 0, 2 * MIB, 10 * MIB, 1, true));
            openWith(2, body(3 * MIB, now));

            assertThat(use(2, body(5 * MIB, now))).containsExactly(new CallerAction.Close(2, CloseReason.MEMORY));
        }

        /** Guards against closing connections without reaching the level, as running requests hold the rest. */
        @Test
        void nothing_is_closed_after_a_pause_if_that_does_not_suffice() {
            openWith(1, queued(12 * MIB, now));
            openWith(2, body(MIB, now));
            now += 600;

            assertThat(account.tick(REQUESTS, now)).noneMatch(CallerAction.Close.class::isInstance);
        }

        /** Guards against not noticing that a caller has disconnected, as its connection is not read. */
        @Test
        void connections_with_complete_requests_are_not_paused() {
            openWith(1, queued(6 * MIB, now));

            assertThat(openWith(2, body(7 * MIB, now))).containsExactly(new CallerAction.Pause(2));
            assertThat(use(2, queued(7 * MIB, now))).containsExactly(new CallerAction.Resume(2));
        }

        /** Guards against ending a caller that reads its response before one that does not. */
        @Test
        void callers_that_read_their_responses_are_closed_after_those_that_do_not() {
            openWith(1, new CallerUsage(Phase.IDLE, now, now - 60_000, now, 0, 0, 8 * MIB, 0, true));
            openWith(2, body(4 * MIB, now - 1_000));

            assertThat(use(2, body(9 * MIB, now - 1_000)))
                    .contains(new CallerAction.Close(2, CloseReason.MEMORY))
                    .doesNotContain(new CallerAction.Close(1, CloseReason.MEMORY));
        }

        @Test
        void the_sums_return_to_zero() {
            openWith(1, body(6 * MIB, now));
            openWith(2, body(9 * MIB, now));
            openWith(3, body(9 * MIB, now));
            for (long connection = 1; connection <= 3; connection++) {
                account.closed(connection, REQUESTS, now);
            }

            assertThat(account.totalBytes()).isZero();
            assertThat(account.connections()).isZero();
            assertThat(account.acceptsRequest(1, 0)).isTrue();
        }
    }

    @Nested
    class Connections {

        @Test
        void the_one_that_has_kept_others_waiting_for_longest_gives_way() {
            for (long connection = 1; connection <= 10; connection++) {
                openWith(connection, body(10, now + connection % 5));
            }

            assertThat(account.opened(11, now)).containsExactly(new CallerAction.Close(5, CloseReason.CONNECTIONS));
        }

        /** Guards against ending a caller that is reading its response. */
        @Test
        void those_without_unread_responses_give_way_first() {
            openWith(1, new CallerUsage(Phase.IDLE, now, now - 60_000, now - 60_000, 0, 0, 10, 0, true));
            for (long connection = 2; connection <= 10; connection++) {
                openWith(connection, body(10, now + connection));
            }

            assertThat(account.opened(11, now)).containsExactly(new CallerAction.Close(2, CloseReason.CONNECTIONS));
        }

        @Test
        void the_new_one_is_closed_if_all_others_have_requests() {
            for (long connection = 1; connection <= 10; connection++) {
                openWith(connection, queued(10, now));
            }

            assertThat(account.opened(11, now)).containsExactly(new CallerAction.Close(11, CloseReason.CONNECTIONS));
        }

        @Test
        void no_more_requests_are_taken_than_there_may_be_connections_to_targets() {
            for (long connection = 1; connection <= 3; connection++) {
                openWith(connection, queued(10, now));
            }
            assertThat(account.acceptsRequest(5, 0)).isTrue();
            openWith(4, queued(10, now));

            assertThat(account.acceptsRequest(5, 0)).isFalse();
        }

        /** Guards against one caller that sends requests ahead and makes the host refuse those of all others. */
        @Test
        void a_quarter_of_the_requests_is_left_to_the_first_ones_of_connections() {
            account.opened(1, now);
            account.opened(2, now);

            assertThat(account.acceptsRequest(1, 2)).isTrue();
            assertThat(account.acceptsRequest(1, 3)).isFalse();
            use(1, new CallerUsage(Phase.IDLE, now, now, now, 0, 30, 0, 3, true));
            assertThat(account.acceptsRequest(2, 0)).isTrue();
        }
    }

    @Nested
    class Timeouts {

        private List<CallerAction> after(long millis) {
            List<CallerAction> actions = new ArrayList<>();
            for (long end = now + millis; now < end; now += 1_000) {
                actions.addAll(account.tick(REQUESTS, now));
            }
            return actions;
        }

        @Test
        void a_header_section_must_be_complete_within_the_header_timeout() {
            openWith(1, new CallerUsage(Phase.HEADER, now, now + 5_000, now, 10, 0, 0, 0, true));

            assertThat(after(3_000)).isEmpty();
            assertThat(after(2_000)).containsExactly(new CallerAction.Close(1, CloseReason.HEADER_TIMEOUT));
        }

        @Test
        void a_body_may_take_long_as_long_as_bytes_arrive() {
            openWith(1, new CallerUsage(Phase.BODY, now, now + 20_000, now, 10, 0, 0, 0, true));

            assertThat(after(30_000)).isEmpty();
            assertThat(after(10_000)).containsExactly(new CallerAction.Close(1, CloseReason.BODY_TIMEOUT));
        }

        @Test
        void a_caller_that_reads_nothing_is_closed_after_the_idle_timeout() {
            openWith(1, new CallerUsage(Phase.IDLE, now, now, now, 0, 0, 100, 0, false));

            assertThat(after(20_000)).containsExactly(new CallerAction.Close(1, CloseReason.UNREAD_RESPONSES));
        }

        /** Guards against a last response that is never read and stays accounted for ever. */
        @Test
        void a_refused_caller_that_reads_nothing_is_closed_after_the_idle_timeout() {
            openWith(1, new CallerUsage(Phase.HEADER, now, now, now, 10, 0, 0, 0, true));
            assertThat(after(5_000)).containsExactly(new CallerAction.Close(1, CloseReason.HEADER_TIMEOUT));
            use(1, new CallerUsage(Phase.IDLE, now, now, now, 0, 0, 100, 0, true));

            assertThat(after(20_000)).containsExactly(new CallerAction.Close(1, CloseReason.UNREAD_RESPONSES));
        }

        @Test
        void a_connection_that_is_not_read_is_not_late() {
            openWith(1, new CallerUsage(Phase.BODY, now, now, now, 10, 0, 0, 0, false));

            assertThat(after(60_000)).isEmpty();
        }

        /** Guards against ending callers for a pause of the host, during which what they sent was not read. */
        @Test
        void a_pause_of_the_host_is_not_counted_until_what_arrived_can_be_read() {
            openWith(1, body(10, now));
            account.tick(REQUESTS, now);
            now += 60_000;

            assertThat(account.tick(REQUESTS, now)).isEmpty();
        }
    }

    @Nested
    class DerivedLimits {

        /** Guards against limits that ordinary callers of the smallest known host reach. */
        @Test
        void leave_descriptors_for_files_and_targets_and_connections_for_hundreds_of_callers() {
            CallerLimits limits = CallerLimits.of(92 * MIB, 2_212);

            assertThat(limits.connections()).isBetween(800, 1_000);
            assertThat(limits.memoryBytes()).isEqualTo(69 * MIB);
        }

        @Test
        void of_a_tiny_process_are_still_usable() {
            CallerLimits limits = CallerLimits.of(32 * MIB, 256);

            assertThat(limits.connections()).isEqualTo(64);
        }

        @Test
        void can_be_replaced() {
            assertThat(CallerLimits.of(32 * MIB, 256).with(MIB, 0, 7)).isEqualTo(new CallerLimits(MIB, 64, 64, 7));
        }
    }

    @Nested
    class BodiesOfATarget {

        private final TargetBodies bodies = TargetBodies.upTo(3 * MIB);

        @Test
        void are_bounded_for_each_target() {
            assertThat(bodies.started(1, "a", 2 * MIB, MIB)).isTrue();
            assertThat(bodies.started(2, "a", 2 * MIB, MIB)).isFalse();
            assertThat(bodies.started(3, "b", 2 * MIB, MIB)).isTrue();
            bodies.ended(1);
            bodies.ended(1);
            assertThat(bodies.started(2, "a", 2 * MIB, MIB)).isTrue();
        }

        @Test
        void never_exclude_a_request_without_a_body_or_a_single_one() {
            assertThat(bodies.started(1, "a", 9 * MIB, 9 * MIB)).isTrue();
            assertThat(bodies.started(2, "a", 0, 9 * MIB)).isTrue();
            bodies.ended(1);
            assertThat(bodies.heldBy("a")).isZero();
        }
    }
}
