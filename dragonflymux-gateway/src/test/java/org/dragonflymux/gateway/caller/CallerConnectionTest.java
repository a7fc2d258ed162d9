package org.dragonflymux.gateway.caller;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.dragonflymux.core.desired.RequestLimits;
import org.dragonflymux.gateway.http.PollAge;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class CallerConnectionTest implements CallerHandler {

    private final List<CallerReply> replies = new ArrayList<>();
    private final List<String> paths = new ArrayList<>();
    private final List<String> gone = new ArrayList<>();
    private long now = 1_000;
    private final PollAge news = PollAge.by(() -> now);
    private final CallerServer server =
            CallerServer.on(null, this, () -> new RequestLimits(8_192, 65_536, 3_000, 15_000), () -> now, news);
    private final EmbeddedChannel channel =
            new EmbeddedChannel(new HttpServerCodec(), new HttpObjectAggregator(65_536), new CallerConnection(server));

    @BeforeEach
    void freezeTime() {
        channel.freezeTime();
    }

    @Override
    public void requested(FullHttpRequest request, CallerReply reply) {
        String path = request.uri();
        paths.add(path);
        replies.add(reply);
        reply.whenGone(() -> gone.add(path));
    }

    private void send(String text) {
        channel.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII));
        pass();
    }

    /** Lets the loop ask for news and do what is due. */
    private void pass() {
        news.polled();
        channel.advanceTimeBy(1, TimeUnit.MILLISECONDS);
        channel.runPendingTasks();
    }

    /** Reads a request, and has something happen before the loop does what is due. */
    private void readOne(Runnable then) {
        channel.eventLoop().execute(() -> {
            channel.pipeline()
                    .fireChannelRead(
                            Unpooled.copiedBuffer("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n", StandardCharsets.US_ASCII));
            then.run();
        });
    }

    private static FullHttpResponse answer(String body) {
        FullHttpResponse answer = new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1, HttpResponseStatus.OK, Unpooled.copiedBuffer(body, StandardCharsets.US_ASCII));
        answer.headers().set("Content-Length", body.length());
        return answer;
    }

    private String written() {
        StringBuilder text = new StringBuilder();
        for (ByteBuf bytes = channel.readOutbound(); bytes != null; bytes = channel.readOutbound()) {
            text.append(bytes.toString(StandardCharsets.US_ASCII));
            bytes.release();
        }
        return text.toString();
    }

    @Nested
    class Pipelining {

        @Test
        void answers_go_out_in_the_order_of_the_requests() {
            send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\n");
            assertThat(paths).containsExactly("/1", "/2");

            replies.get(1).answer(answer("second"));
            assertThat(written()).isEmpty();
            replies.get(0).answer(answer("first"));

            assertThat(written()).containsSubsequence("first", "second");
        }

        @Test
        void requests_behind_an_answer_that_closes_are_dropped_unanswered() {
            send("GET /1 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\n");
            replies.get(0).answer(answer("first"));

            assertThat(written()).contains("first").contains("connection: close");
            assertThat(channel.isOpen()).isFalse();
        }
    }

    @Nested
    class Leaving {

        @Test
        void a_caller_that_goes_away_gives_up_what_waits() {
            send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n");
            channel.close();

            assertThat(gone).containsExactly("/1");
        }

        /** Requests lay unread on a busy host; 69 were passed on after their callers had left on a bench day. */
        @Test
        void a_request_is_not_decided_about_when_its_caller_left_before_it_was_read() {
            readOne(() -> channel.pipeline().fireChannelInactive());
            channel.runPendingTasks();

            assertThat(paths).isEmpty();
        }

        /** The end of a connection is told later than it is known; 39 requests were served that came with that end. */
        @Test
        void a_request_is_not_decided_about_when_its_caller_left_right_after_it() {
            readOne(() -> channel.unsafe().close(channel.voidPromise()));
            channel.runPendingTasks();

            assertThat(paths).isEmpty();
        }

        /** Connections lay unaccepted for four seconds, and their ends became visible only after their requests. */
        @Test
        void a_request_is_not_decided_about_when_its_caller_is_seen_to_have_left_at_the_next_poll() {
            channel.writeInbound(
                    Unpooled.copiedBuffer("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n", StandardCharsets.US_ASCII));
            assertThat(paths).isEmpty();
            channel.close();
            pass();

            assertThat(paths).isEmpty();
        }

        /** One pass of a busy loop took over a second; 68 callers left during it and were served all the same. */
        @Test
        void a_decision_that_comes_late_is_put_off_until_the_connection_was_looked_at_again() {
            readOne(() -> now += 1_500);
            channel.runPendingTasks();
            assertThat(paths).isEmpty();
            news.polled();
            channel.advanceTimeBy(5, TimeUnit.MILLISECONDS);
            channel.runPendingTasks();

            assertThat(paths).containsExactly("/1");
        }

        /** Passes of over a second came one after the other; a request was served after its caller had left. */
        @Test
        void a_decision_waits_for_as_many_passes_as_it_takes() {
            send("");
            readOne(() -> now += 1_500);
            for (int pass = 0; pass < 10; pass++) {
                channel.runPendingTasks();
                news.polled();
                now += 1_500;
                channel.advanceTimeBy(5, TimeUnit.MILLISECONDS);
            }
            channel.pipeline().fireChannelInactive();
            news.polled();
            channel.advanceTimeBy(5, TimeUnit.MILLISECONDS);
            channel.runPendingTasks();

            assertThat(paths).isEmpty();
        }

        @Test
        void an_answer_after_that_does_no_harm() {
            send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n");
            channel.close();
            FullHttpResponse late = answer("late");
            replies.get(0).answer(late);

            assertThat(late.refCnt()).isZero();
        }

        @Test
        void a_draining_server_closes_each_connection_with_its_answer() {
            server.drain();
            send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n");
            replies.get(0).answer(answer("last"));

            assertThat(written()).contains("connection: close");
            assertThat(channel.isOpen()).isFalse();
        }

        @Test
        void a_draining_server_answers_all_that_it_read_before_it_closes() {
            send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\n");
            server.drain();
            send("GET /3 HTTP/1.1\r\nHost: h\r\n\r\n");
            replies.get(0).answer(answer("first"));
            assertThat(paths).containsExactly("/1", "/2");
            assertThat(gone).isEmpty();
            replies.get(1).answer(answer("second"));

            assertThat(written()).containsSubsequence("first", "connection: close", "second");
            assertThat(channel.isOpen()).isFalse();
        }
    }

    @Nested
    class BadInput {

        @Test
        void bytes_that_are_no_request_get_a_400_and_a_close() {
            send("NONSENSE\r\n\r\n");

            assertThat(written()).startsWith("HTTP/1.1 400");
            assertThat(channel.isOpen()).isFalse();
            assertThat(paths).isEmpty();
        }

        @Test
        void two_different_lengths_are_no_request() {
            send("POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nContent-Length: 5\r\n\r\nabcde");

            assertThat(written()).startsWith("HTTP/1.1 400");
            assertThat(paths).isEmpty();
        }

        @Test
        void a_body_that_is_too_large_gets_a_413() {
            send("POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: 70000\r\n\r\n");

            assertThat(written()).startsWith("HTTP/1.1 413");
        }
    }
}
