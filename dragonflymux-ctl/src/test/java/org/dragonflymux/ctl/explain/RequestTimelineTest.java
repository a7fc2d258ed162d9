package org.dragonflymux.ctl.explain;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class RequestTimelineTest {

    private static List<String> log() throws IOException {
        try (InputStream file = RequestTimelineTest.class.getResourceAsStream("/explain/host-logs.txt")) {
            return new String(file.readAllBytes(), StandardCharsets.UTF_8)
                    .lines()
                    .toList();
        }
    }

    private static List<List<String>> rows(String requestId) throws IOException {
        return RequestTimeline.of(log(), requestId).report().rows();
    }

    private static String cause(String requestId) throws IOException {
        return rows(requestId).getLast().get(3);
    }

    @Nested
    class Causes {

        @Test
        void of_stale_credentials_includes_when_the_store_became_unreachable() throws IOException {
            assertThat(cause("6ccead9fa4260532")).contains("no update from the store since 16.5");
        }

        @Test
        void of_a_lost_answer_names_the_target_that_closed_the_connection() throws IOException {
            assertThat(cause("63c9cbb59a841b93")).isEqualTo("it may have run: i-53f7d96ce3 BROKEN");
        }

        @Test
        void of_a_late_answer_after_a_key_move_names_the_target_that_declined_the_request() throws IOException {
            assertThat(cause("334432b23c4fdb8a")).contains("sent more than once", "i-303aac2c72", "misdirected=true");
        }

        @Test
        void of_a_late_answer_to_the_first_attempt_is_the_longer_of_waiting_and_processing() throws IOException {
            assertThat(cause("9e4c84282a17ac07")).isEqualTo("target i-beba7a7bba took a long time to process it");
        }

        @Test
        void of_an_unknown_rate_is_that_the_lender_did_not_answer() {
            List<String> lines =
                    List.of("1.0 h INFO RequestPath event=request_refused id=x reason=RATE_UNKNOWN millis=600");

            assertThat(RequestTimeline.of(lines, "x").report().rows().getLast().get(3))
                    .contains("lends the customer's tokens");
        }

        @Test
        void of_a_reason_that_this_release_does_not_define_is_reported_as_unknown() {
            List<String> lines =
                    List.of("1.0 h INFO RequestPath event=request_refused id=x reason=NEW_REASON millis=1");

            assertThat(RequestTimeline.of(lines, "x").report().rows().getLast().get(3))
                    .contains("unknown refusal reason NEW_REASON");
        }
    }

    @Test
    void events_are_in_chronological_order_with_the_view_of_the_host() throws IOException {
        assertThat(rows("63c9cbb59a841b93"))
                .extracting(row -> row.get(2))
                .containsExactly("attempt_failed", "request_refused", "cause");
        assertThat(rows("6ccead9fa4260532").getFirst().get(4))
                .isEqualTo("store unreachable since 16.5, version 34 since 11.6");
    }

    @Test
    void a_request_that_is_not_in_the_log_has_no_rows() throws IOException {
        assertThat(rows("0000000000000000")).isEmpty();
    }
}
