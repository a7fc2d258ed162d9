package org.dragonflymux.gateway.http;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against passing on a response that broke off as a complete one. */
class BrokenResponseTest {

    private static final String HEAD = "HTTP/1.1 200 OK\r\nId: a\r\n";
    private static final String WITH_LENGTH = HEAD + "Content-Length: 5\r\n\r\nwhole";
    private static final String IN_CHUNKS = HEAD + "Transfer-Encoding: chunked\r\n\r\n2\r\nwh\r\n3\r\nole\r\n0\r\n\r\n";
    private static final String UNTIL_CLOSE = HEAD + "\r\nwhole";

    private static String outcome(String bytes, ScriptedTarget.End end) throws Exception {
        try (ScriptedTarget target = ScriptedTarget.start(List.of(bytes), end)) {
            return target.call("a");
        }
    }

    private static void assertFailsAtEachCut(String response, ScriptedTarget.End end) throws Exception {
        for (int length = 0; length < response.length(); length++) {
            assertThat(outcome(response.substring(0, length), end))
                    .as("cut after %d bytes", length)
                    .isIn(CallFailure.BROKEN.name(), CallFailure.MALFORMED.name());
        }
    }

    @ParameterizedTest
    @EnumSource(names = {"CLOSE", "RESET"})
    void a_response_with_a_length_is_complete_only_with_its_last_byte(ScriptedTarget.End end) throws Exception {
        assertFailsAtEachCut(WITH_LENGTH, end);
        assertThat(outcome(WITH_LENGTH, ScriptedTarget.End.CLOSE)).isEqualTo("whole");
    }

    @ParameterizedTest
    @EnumSource(names = {"CLOSE", "RESET"})
    void a_response_in_chunks_is_complete_only_with_its_last_byte(ScriptedTarget.End end) throws Exception {
        assertFailsAtEachCut(IN_CHUNKS, end);
        assertThat(outcome(IN_CHUNKS, ScriptedTarget.End.CLOSE)).isEqualTo("whole");
    }

    @ParameterizedTest
    @ValueSource(strings = {UNTIL_CLOSE, HEAD + "Connection: close\r\n\r\nwhole"})
    void a_response_without_a_length_is_complete_only_if_its_connection_is_closed_in_order(String response)
            throws Exception {
        assertThat(outcome(response, ScriptedTarget.End.CLOSE)).isEqualTo("whole");
        assertThat(outcome(response, ScriptedTarget.End.RESET)).isEqualTo(CallFailure.BROKEN.name());
    }

    /** A request that is still being written when its connection breaks. */
    @Nested
    class DuringTheRequest {

        private static final int BODY_BYTES = 8 << 20;

        private static String outcome(String bytes, ScriptedTarget.End end) throws Exception {
            try (ScriptedTarget target = ScriptedTarget.start(List.of(bytes), end)) {
                return target.callWithBody("a", BODY_BYTES);
            }
        }

        /** Half of a response without a length passed for the whole one, since only the write showed the reset. */
        @ParameterizedTest
        @EnumSource(names = {"RESET", "RESET_LATER"})
        void a_response_without_a_length_is_not_complete_after_a_reset(ScriptedTarget.End end) throws Exception {
            assertThat(outcome(UNTIL_CLOSE, end)).isEqualTo(CallFailure.BROKEN.name());
        }

        @ParameterizedTest
        @ValueSource(strings = {WITH_LENGTH, IN_CHUNKS, UNTIL_CLOSE})
        void a_whole_response_is_passed_on(String response) throws Exception {
            assertThat(outcome(response, ScriptedTarget.End.CLOSE)).isEqualTo("whole");
        }
    }

    /** Guards against an empty or short success in place of a response whose target stopped in its head. */
    @ParameterizedTest
    @EnumSource(names = {"CLOSE", "RESET", "RESET_LATER"})
    void a_response_that_ends_in_its_head_fails(ScriptedTarget.End end) throws Exception {
        String head = "HTTP/1.1 200 OK\r\nId: a\r\nSeal: 1\r\nContent-Length: 0\r\n";
        for (int length = 0; length <= head.length(); length++) {
            assertThat(outcome(head.substring(0, length), end))
                    .as("cut after %d bytes", length)
                    .isIn(CallFailure.BROKEN.name(), CallFailure.MALFORMED.name());
        }
    }

    /**
     * Guards against passing on a response whose status is none of HTTP's, and against a caller that waits for its time limit
     * because such a response was taken for an interim one.
     */
    @ParameterizedTest
    @ValueSource(strings = {"000", "001", "099", "600", "999", "1000", "-01", "2x0"})
    void a_response_with_a_status_outside_the_range_fails_at_once(String status) throws Exception {
        String response = "HTTP/1.1 %s OK\r\nId: a\r\nContent-Length: 5\r\n\r\nwhole".formatted(status);

        assertThat(outcome(response, ScriptedTarget.End.KEEP)).isEqualTo(CallFailure.MALFORMED.name());
    }

    /** Guards against taking the statuses at the ends of the range for malformed ones. */
    @ParameterizedTest
    @ValueSource(strings = {"200", "299", "500", "599"})
    void a_response_with_any_status_of_the_range_is_passed_on(String status) throws Exception {
        String response = "HTTP/1.1 %s X\r\nId: a\r\nContent-Length: 5\r\n\r\nwhole".formatted(status);

        assertThat(outcome(response, ScriptedTarget.End.KEEP)).isEqualTo("whole");
    }

    /** Guards against ending a call by an interim response, after which the final one follows. */
    @ParameterizedTest
    @ValueSource(strings = {"100", "199"})
    void an_interim_response_is_skipped(String status) throws Exception {
        String response = "HTTP/1.1 %s X\r\n\r\n".formatted(status) + WITH_LENGTH;

        assertThat(outcome(response, ScriptedTarget.End.KEEP)).isEqualTo("whole");
    }
}
