package org.dragonflymux.gateway.http;

import static org.assertj.core.api.Assertions.assertThat;
import static org.dragonflymux.gateway.http.ScriptedTarget.response;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against a target that sends a response again on a connection that already carries the next request. */
class RepeatedResponseTest {

    @Test
    void a_repeated_response_before_the_next_one_is_skipped_and_the_connection_is_not_used_again() throws Exception {
        List<String> scripts = List.of(
                response("a", "first"), response("a", "first") + response("b", "second"), response("c", "unused"));
        try (ScriptedTarget target = ScriptedTarget.start(scripts, ScriptedTarget.End.KEEP)) {
            assertThat(target.call("a")).isEqualTo("first");
            assertThat(target.call("b")).isEqualTo("second");
            assertThat(target.connections()).isEqualTo(1);
            // A new connection starts with the response to request a again.
            assertThat(target.call("a")).isEqualTo("first");
            assertThat(target.connections()).isEqualTo(2);
        }
    }

    @Test
    void bytes_behind_a_response_leave_it_valid_but_end_the_connection() throws Exception {
        List<String> scripts = List.of(response("a", "first") + "no response", response("b", "second"));
        try (ScriptedTarget target = ScriptedTarget.start(scripts, ScriptedTarget.End.KEEP)) {
            assertThat(target.call("a")).isEqualTo("first");
            assertThat(target.call("a")).isEqualTo("first");
            assertThat(target.connections()).isEqualTo(2);
        }
    }

    @Test
    void a_call_fails_if_only_responses_to_other_requests_arrive() throws Exception {
        List<String> scripts = List.of(response("x", "other").repeat(64));
        try (ScriptedTarget target = ScriptedTarget.start(scripts, ScriptedTarget.End.KEEP)) {
            assertThat(target.call("a")).isEqualTo(CallFailure.MALFORMED.name());
        }
    }
}
