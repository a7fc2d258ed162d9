package org.dragonflymux.ctl.explain;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class RequestStoryTest {

    private static List<String> log() throws IOException {
        try (InputStream file = RequestStoryTest.class.getResourceAsStream("/explain/bench-day-lines.txt")) {
            return new String(file.readAllBytes(), StandardCharsets.UTF_8)
                    .lines()
                    .toList();
        }
    }

    private static List<List<String>> rows(String requestId) throws IOException {
        return RequestStory.of(log(), requestId).report().rows();
    }

    private static String cause(String requestId) throws IOException {
        return rows(requestId).getLast().get(3);
    }

    @Nested
    class Causes {

        @Test
        void of_a_refusal_for_want_of_news_names_since_when_the_store_was_lost() throws IOException {
            assertThat(cause("6ccead9fa4260532")).contains("no news of the store since 16.5");
        }

        @Test
        void of_an_unknown_end_names_the_target_that_broke_off() throws IOException {
            assertThat(cause("63c9cbb59a841b93")).isEqualTo("it may have run: i-53f7d96ce3 BROKEN");
        }

        @Test
        void of_a_late_answer_after_a_key_had_moved_names_who_turned_it_away() throws IOException {
            assertThat(cause("334432b23c4fdb8a")).contains("sent more than once", "i-303aac2c72", "misdirected=true");
        }

        @Test
        void of_a_late_answer_at_the_first_try_names_the_longer_part() throws IOException {
            assertThat(cause("9e4c84282a17ac07")).isEqualTo("target i-beba7a7bba worked long on it");
        }

        @Test
        void of_a_refusal_without_a_lender_says_that_the_rate_is_not_known() {
            List<String> lines =
                    List.of("1.0 h INFO RequestPath event=request_refused id=x reason=RATE_UNKNOWN millis=600");

            assertThat(RequestStory.of(lines, "x").report().rows().getLast().get(3))
                    .contains("lends the customer's tokens");
        }

        @Test
        void of_a_reason_from_a_later_release_are_not_made_up() {
            List<String> later =
                    List.of("1.0 h INFO RequestPath event=request_refused id=x reason=NEW_REASON millis=1");

            assertThat(RequestStory.of(later, "x").report().rows().getLast().get(3))
                    .contains("doesn't know the reason NEW_REASON");
        }
    }

    @Test
    void events_come_in_order_with_what_the_host_believed() throws IOException {
        assertThat(rows("63c9cbb59a841b93"))
                .extracting(row -> row.get(2))
                .containsExactly("attempt_failed", "request_refused", "cause");
        assertThat(rows("6ccead9fa4260532").getFirst().get(4))
                .isEqualTo("store unreachable since 16.5, version 34 since 11.6");
    }

    @Test
    void a_request_that_no_line_names_has_no_story() throws IOException {
        assertThat(rows("0000000000000000")).isEmpty();
    }
}
