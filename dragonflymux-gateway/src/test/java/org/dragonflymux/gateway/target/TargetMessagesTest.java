package org.dragonflymux.gateway.target;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import org.dragonflymux.core.balance.LoadReport;
import org.dragonflymux.core.balance.TargetEntry;
import org.dragonflymux.core.gateway.AttemptResult;
import org.dragonflymux.core.gateway.GatewayEffect;
import org.dragonflymux.core.name.CustomerName;
import org.dragonflymux.core.name.FailureDomain;
import org.dragonflymux.core.name.ServiceName;
import org.dragonflymux.core.name.TargetId;
import org.dragonflymux.gateway.HeaderNames;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class TargetMessagesTest {

    private static final HeaderNames NAMES = new HeaderNames(
            "Id",
            "Wait",
            "Credential",
            "Customer",
            "Expected",
            "Name",
            "Key",
            "Seal",
            "Not-Run",
            "Load",
            "Cold",
            "Leaving",
            "Hand");

    private final TargetMessages messages = TargetMessages.with(NAMES);

    private static FullHttpResponse response(int status, String... headers) {
        FullHttpResponse response = new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1,
                HttpResponseStatus.valueOf(status),
                Unpooled.copiedBuffer("body", StandardCharsets.UTF_8));
        for (int i = 0; i < headers.length; i += 2) {
            response.headers().set(headers[i], headers[i + 1]);
        }
        return response;
    }

    @Nested
    class Responses {

        @Test
        void a_sealed_response_to_the_request_is_a_success() {
            assertThat(messages.result(response(200, "Id", "x", "Seal", "s"), "x"))
                    .isEqualTo(new AttemptResult.Answered(AttemptResult.Grade.SUCCESS));
        }

        @Test
        void a_success_status_without_a_seal_or_for_another_request_is_no_success() {
            assertThat(messages.result(response(200, "Id", "x"), "x")).isEqualTo(new AttemptResult.Lost(true));
            assertThat(messages.result(response(200, "Id", "y", "Seal", "s"), "x"))
                    .isEqualTo(new AttemptResult.Lost(true));
        }

        @Test
        void a_request_counts_as_not_run_only_if_the_target_says_so() {
            assertThat(messages.result(response(503, "Id", "x", "Not-Run", "1"), "x"))
                    .isEqualTo(new AttemptResult.NotRun(false));
            assertThat(messages.result(response(421, "Id", "x"), "x")).isEqualTo(new AttemptResult.NotRun(true));
            for (int status : new int[] {408, 429, 503}) {
                assertThat(messages.result(response(status, "Id", "x", "Seal", "s"), "x"))
                        .as("status %d", status)
                        .isEqualTo(new AttemptResult.Lost(false));
            }
        }

        /** Guards against passing on a status that is none of HTTP's, which callers cannot interpret. */
        @Test
        void a_status_outside_the_range_is_malformed() {
            for (int status : new int[] {0, 99, 600, 999}) {
                assertThat(messages.result(response(status, "Id", "x", "Seal", "s"), "x"))
                        .as("status %d", status)
                        .isEqualTo(new AttemptResult.Lost(true));
            }
        }

        /** Guards against telling a caller that its request has not run when a target repeats an earlier refusal. */
        @Test
        void a_refusal_of_another_request_or_without_an_id_says_nothing_about_this_one() {
            assertThat(messages.result(response(503, "Id", "y", "Not-Run", "1"), "x"))
                    .isEqualTo(new AttemptResult.Lost(true));
            assertThat(messages.result(response(421, "Id", "y"), "x")).isEqualTo(new AttemptResult.Lost(true));
            assertThat(messages.result(response(503, "Not-Run", "1"), "x")).isEqualTo(new AttemptResult.Lost(true));
            assertThat(messages.answersOtherRequest(response(503, "Id", "y"), "x"))
                    .isTrue();
            assertThat(messages.answersOtherRequest(response(503), "x")).isFalse();
        }

        @Test
        void a_pause_is_the_retry_time_of_a_503_in_seconds() {
            assertThat(messages.signals(response(503, "Retry-After", "1.5")).pauseMillis())
                    .hasValue(1_500);
            assertThat(messages.signals(response(200, "Retry-After", "1.5")).pauseMillis())
                    .isEmpty();
            for (String unusable : List.of("soon", "-1", "NaN", "0", "")) {
                assertThat(messages.signals(response(503, "Retry-After", unusable))
                                .pauseMillis())
                        .as(unusable)
                        .isEmpty();
            }
        }

        @Test
        void a_target_may_announce_its_shutdown_in_any_response() {
            assertThat(messages.signals(response(200, "Leaving", "1")).leaving())
                    .isTrue();
            assertThat(messages.signals(response(503, "Leaving", "1")).leaving())
                    .isTrue();
            assertThat(messages.signals(response(200)).leaving()).isFalse();
        }

        @Test
        void a_load_with_a_fourth_number_includes_the_slowdown() {
            assertThat(messages.load(response(200, "Load", "3,1,8"))).contains(new LoadReport(3, 1, 8, 100));
            assertThat(messages.load(response(200, "Load", "3,1,8,300"))).contains(new LoadReport(3, 1, 8, 300));
            assertThat(messages.load(response(200, "Load", "3,x,8"))).isEmpty();
            assertThat(messages.load(response(200))).isEmpty();
        }

        @Test
        void callers_receive_the_seal_but_not_the_load_and_connection_headers() {
            FullHttpResponse forwarded =
                    messages.response(response(200, "Id", "x", "Seal", "s", "Load", "1,1,1", "Connection", "close"));

            assertThat(forwarded.headers().get("Seal")).isEqualTo("s");
            assertThat(forwarded.headers().contains("Load")).isFalse();
            assertThat(forwarded.headers().contains("Connection")).isFalse();
            assertThat(forwarded.headers().getInt("Content-Length")).isEqualTo(4);
        }
    }

    @Nested
    class Requests {

        private FullHttpRequest forwarded(Optional<CustomerName> customer) {
            FullHttpRequest original = new DefaultFullHttpRequest(
                    HttpVersion.HTTP_1_1,
                    HttpMethod.POST,
                    "/a/b?c=d",
                    Unpooled.copiedBuffer("order", StandardCharsets.UTF_8));
            original.headers()
                    .set("Id", "x")
                    .set("Credential", "secret")
                    .set("Customer", "forged")
                    .set("Expected", "forged")
                    .set("Connection", "keep-alive, X-Hop")
                    .set("X-Hop", "1")
                    .set("Transfer-Encoding", "chunked")
                    .set("Other", "kept");
            TargetEntry target = new TargetEntry(
                    TargetId.of("t"), ServiceName.of("s"), "127.0.0.1:1", FailureDomain.of("a"), 3, false, 0, 1);
            return messages.request(original, new GatewayEffect.Send(1, 1, target, 700, customer, false, false));
        }

        @Test
        void keep_path_body_request_id_and_other_headers() {
            FullHttpRequest request = forwarded(Optional.empty());

            assertThat(request.uri()).isEqualTo("/a/b?c=d");
            assertThat(request.content().toString(StandardCharsets.UTF_8)).isEqualTo("order");
            assertThat(request.headers().get("Id")).isEqualTo("x");
            assertThat(request.headers().get("Other")).isEqualTo("kept");
        }

        @Test
        void never_contain_the_credential_or_headers_forged_by_the_caller() {
            FullHttpRequest request = forwarded(Optional.of(CustomerName.of("c")));

            assertThat(request.headers().contains("Credential")).isFalse();
            assertThat(request.headers().getAll("Customer")).containsExactly("c");
            assertThat(request.headers().getAll("Expected")).containsExactly("t");
            assertThat(forwarded(Optional.empty()).headers().contains("Customer"))
                    .isFalse();
        }

        @Test
        void contain_one_content_length_and_no_hop_by_hop_headers() {
            FullHttpRequest request = forwarded(Optional.empty());

            assertThat(request.headers().getAll("Content-Length")).containsExactly("5");
            assertThat(request.headers().contains("Transfer-Encoding")).isFalse();
            assertThat(request.headers().contains("X-Hop")).isFalse();
            assertThat(request.headers().get("Wait")).isEqualTo("700");
        }
    }
}
