package org.dragonflymux.gateway.caller;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.ReferenceCountUtil;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.dragonflymux.core.caller.CallerLimits;
import org.dragonflymux.core.desired.RequestLimits;
import org.dragonflymux.gateway.http.PollTracker;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** A caller's connection with all its handlers. */
class RequestIntakeTest implements CallerHandler {

    private static final int MAX_BODY_BYTES = 300_000;
    private static final int MAX_HEADER_BYTES = 8_192;

    private final List<CallerReply> replies = new ArrayList<>();
    private final List<String> received = new ArrayList<>();
    private long now = 1_000;
    private final PollTracker pollTracker = PollTracker.of(() -> now);
    private final CallerServer server = CallerServer.on(
            null,
            this,
            () -> new RequestLimits(MAX_HEADER_BYTES, MAX_BODY_BYTES, 3_000, 15_000),
            () -> now,
            pollTracker,
            new CallerLimits(1 << 20, 10, 100, 1 << 20));
    private final EmbeddedChannel channel = connect();

    private EmbeddedChannel connect() {
        return new EmbeddedChannel(new ChannelInitializer<>() {
            @Override
            protected void initChannel(Channel added) {
                new CallerConnection(server)
                        .addHandlers(
                                added.pipeline(), new HttpServerCodec(4_096, MAX_HEADER_BYTES, 65_536), MAX_BODY_BYTES);
            }
        });
    }

    @BeforeEach
    void freezeTime() {
        channel.freezeTime();
    }

    @Override
    public void requestArrived(FullHttpRequest request, CallerReply reply) {
        received.add(request.uri() + " " + request.content().readableBytes());
        replies.add(reply);
    }

    private void send(String text) {
        if (channel.isOpen()) {
            channel.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII));
        }
        runTasks(1);
    }

    private void runTasks(long millis) {
        pollTracker.recordPoll();
        channel.advanceTimeBy(millis, TimeUnit.MILLISECONDS);
        channel.runPendingTasks();
    }

    private static FullHttpResponse response() {
        FullHttpResponse response =
                new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK, Unpooled.EMPTY_BUFFER);
        response.headers().set("Content-Length", 0);
        return response;
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
    class Bodies {

        @Test
        void of_the_maximum_size_arrive_in_one_piece_and_in_single_bytes() {
            send("POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: 300000\r\n\r\n" + "x".repeat(MAX_BODY_BYTES));
            for (byte each :
                    "POST /2 HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc".getBytes(StandardCharsets.US_ASCII)) {
                send(Character.toString((char) each));
            }

            assertThat(received).containsExactly("/1 300000", "/2 3");
        }

        @Test
        void in_chunks_are_followed_by_the_next_request() {
            send("POST /1 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
                    + "3\r\nabc\r\n".repeat(1_000)
                    + "0\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\n");

            assertThat(received).containsExactly("/1 3000", "/2 0");
        }

        /** Guards against decoding bodies in chunks in many small pieces, which took about 30 times the processor time. */
        @Test
        void in_chunks_are_decoded_in_pieces_as_large_as_they_arrive() {
            AtomicInteger pieces = new AtomicInteger();
            channel.pipeline()
                    .addAfter(channel.pipeline().names().getFirst(), null, new ChannelInboundHandlerAdapter() {
                        @Override
                        public void channelRead(ChannelHandlerContext ctx, Object message) {
                            pieces.incrementAndGet();
                            ctx.fireChannelRead(message);
                        }
                    });
            send("POST /1 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
                    + ("4000\r\n" + "x".repeat(0x4000) + "\r\n").repeat(4)
                    + "1;a=b\r\ny\r\n".repeat(1_000) + "0\r\nt: 1\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\n");

            assertThat(received).containsExactly("/1 66536", "/2 0");
            assertThat(pieces).hasValueLessThanOrEqualTo(5);
        }

        @Test
        void in_chunks_may_arrive_in_single_bytes() {
            for (byte each : ("POST /1 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
                            + "A\r\n0123456789\r\n03 ;x\r\n\n\n\n\r\n0\r\nt: 1\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\n")
                    .getBytes(StandardCharsets.US_ASCII)) {
                send(Character.toString((char) each));
            }

            assertThat(received).containsExactly("/1 13", "/2 0");
        }

        @Test
        void over_the_limit_get_a_413_without_being_received_declared_or_not() {
            send("POST /1 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
                    + ("1000\r\n" + "x".repeat(4_096) + "\r\n").repeat(80));

            assertThat(written()).startsWith("HTTP/1.1 413").contains("connection: close");
            assertThat(received).isEmpty();
            runTasks(1_000);
            assertThat(channel.isOpen()).isFalse();
        }

        /** Guards against small pieces that each keep the buffer that they were read into. */
        @Test
        void take_little_more_memory_than_their_size() {
            send("POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: 200000\r\n\r\n");
            long before = server.accountedBytes();
            for (int i = 0; i < 1_000; i++) {
                send("x");
            }

            assertThat(server.accountedBytes() - before).isBetween(1_000L, 4_000L);
        }
    }

    @Nested
    class Headers {

        @Test
        void beyond_the_limit_get_a_431() {
            send("GET /1 HTTP/1.1\r\nHost: h\r\n" + "a: b\r\n".repeat(3_000) + "\r\n");

            assertThat(written()).startsWith("HTTP/1.1 431").contains("connection: close");
        }

        /** Guards against a few bytes of a header section that keep a read buffer of up to 64 kB. */
        @Test
        void that_are_unfinished_do_not_keep_the_buffer_that_they_were_read_into() {
            ByteBuf read = Unpooled.buffer(65_536).writeBytes("GET /1 HT".getBytes(StandardCharsets.US_ASCII));
            channel.writeInbound(read);

            assertThat(read.refCnt()).isZero();
        }

        @Test
        void of_many_fields_count_with_what_the_fields_take() {
            long before = server.accountedBytes();
            send("GET /1 HTTP/1.1\r\nHost: h\r\n" + "a:1\r\n".repeat(500));

            assertThat(server.accountedBytes() - before).isGreaterThan(500 * 200);
        }

        /** Guards against trailers that take memory which no account shows. */
        @Test
        void after_the_body_count_as_well() {
            send("POST /1 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n");
            long before = server.accountedBytes();
            send("a:1\r\n".repeat(1_000));

            assertThat(server.accountedBytes() - before).isGreaterThan(1_000 * 200);
        }

        @Test
        void that_take_too_long_get_a_408() {
            send("GET /1 HTTP/1.1\r\nHos");
            server.checkConnections();
            now += 2_000;
            server.checkConnections();
            assertThat(channel.isOpen()).isTrue();
            now += 2_000;
            server.checkConnections();

            assertThat(written()).startsWith("HTTP/1.1 408").contains("connection: close");
            assertThat(received).isEmpty();
        }
    }

    @Nested
    class Pipelining {

        @Test
        void a_bounded_number_of_requests_is_read_ahead_and_all_are_answered_in_the_end() {
            send("GET /x HTTP/1.1\r\nHost: h\r\n\r\n".repeat(200));
            assertThat(received).hasSize(64);
            assertThat(channel.config().isAutoRead()).isFalse();
            for (int i = 0; i < 200; i++) {
                replies.get(i).respond(response());
                runTasks(1);
            }

            assertThat(received).hasSize(200);
            assertThat(written().split("HTTP/1.1 200")).hasSize(201);
            assertThat(channel.config().isAutoRead()).isTrue();
        }

        @Test
        void nothing_is_left_in_the_account_after_the_last_response() {
            long before = server.accountedBytes();
            send("GET /x HTTP/1.1\r\nHost: h\r\n\r\n".repeat(3));
            assertThat(server.accountedBytes()).isGreaterThan(before);
            replies.forEach(reply -> reply.respond(response()));

            assertThat(server.accountedBytes()).isEqualTo(before);
        }

        @Test
        void a_request_that_was_handled_gets_no_refusal_when_the_one_behind_it_is_too_late() {
            send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HT");
            server.checkConnections();
            now += 2_000;
            server.checkConnections();
            now += 2_000;
            server.checkConnections();

            assertThat(written()).isEmpty();
        }
    }

    @Nested
    class Shortage {

        @Test
        void the_unfinished_request_that_takes_the_most_gets_a_503_and_has_not_run() {
            send("POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: 290000\r\n\r\n" + "x".repeat(280_000));
            server.checkConnections();
            now += 1_000;
            List<EmbeddedChannel> others = List.of(connect(), connect(), connect());
            for (EmbeddedChannel other : others) {
                other.writeInbound(Unpooled.copiedBuffer(
                        "POST /2 HTTP/1.1\r\nHost: h\r\nContent-Length: 290000\r\n\r\n" + "x".repeat(250_000),
                        StandardCharsets.US_ASCII));
            }
            now += 1_000;
            server.checkConnections();

            assertThat(written()).startsWith("HTTP/1.1 503").contains("retry-after: 1");
            assertThat(received).isEmpty();
            assertThat(others).allMatch(EmbeddedChannel::isOpen);
        }
    }

    /** Requests that may be running, and responses that the caller hasn't taken. */
    @Nested
    class RunningRequests {

        private final List<ChannelPromise> unwritten = new ArrayList<>();

        /** Stops writes from completing, like a caller that doesn't read. */
        private void stopWrites() {
            channel.pipeline().addFirst(new ChannelOutboundHandlerAdapter() {
                @Override
                public void write(ChannelHandlerContext ctx, Object message, ChannelPromise promise) {
                    ReferenceCountUtil.release(message);
                    unwritten.add(promise);
                }
            });
        }

        private void completeWrites() {
            List.copyOf(unwritten).forEach(ChannelPromise::trySuccess);
            unwritten.clear();
        }

        private void pass(long millis) {
            for (long end = now + millis; now < end; ) {
                now += 1_000;
                server.checkConnections();
            }
        }

        /** Guards against cancelling a running request because the one behind it takes too much memory. */
        @Test
        void are_answered_before_the_refusal_of_an_unfinished_one_for_lack_of_memory() {
            send("POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: 100000\r\n\r\n" + "x".repeat(100_000)
                    + "POST /2 HTTP/1.1\r\nHost: h\r\nContent-Length: 290000\r\n\r\n" + "x".repeat(280_000));
            server.checkConnections();
            now += 1_000;
            for (EmbeddedChannel other : List.of(connect(), connect())) {
                other.writeInbound(Unpooled.copiedBuffer(
                        "POST /3 HTTP/1.1\r\nHost: h\r\nContent-Length: 290000\r\n\r\n" + "x".repeat(250_000),
                        StandardCharsets.US_ASCII));
            }
            pass(2_000);
            assertThat(channel.isOpen()).isTrue();
            replies.get(0).respond(response());

            assertThat(written()).containsSubsequence("HTTP/1.1 200", "HTTP/1.1 503");
        }

        /** Guards against taking a response that waits for an earlier one for a response that the caller doesn't read. */
        @Test
        void keep_the_connection_open_while_later_responses_wait_for_them() {
            send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\n");
            replies.get(1).respond(response());
            pass(20_000);
            replies.get(0).respond(response());

            assertThat(written().split("HTTP/1.1 200")).hasSize(3);
        }

        /** Guards against a close that cuts off responses which the caller is still reading. */
        @Test
        void are_answered_in_full_before_the_time_to_read_a_refusal_starts() {
            stopWrites();
            send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\nNONSENSE\r\n\r\n");
            replies.get(0).respond(response());
            runTasks(1_000);
            assertThat(channel.isOpen()).isTrue();
            completeWrites();
            runTasks(400);
            assertThat(channel.isOpen()).isTrue();
            runTasks(200);

            assertThat(channel.isOpen()).isFalse();
        }

        /** Guards against a last response that counts nowhere and whose connection stays for ever. */
        @Test
        void with_a_last_response_that_is_not_read_are_closed_after_the_idle_timeout() {
            long before = server.accountedBytes();
            stopWrites();
            send("GET /1 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
            replies.get(0).respond(response());
            assertThat(server.accountedBytes() - before).isEqualTo(1_500);
            pass(14_000);
            assertThat(channel.isOpen()).isTrue();
            pass(3_000);

            assertThat(channel.isOpen()).isFalse();
        }

        /** Guards against refusing a caller whose requests each arrive in time. */
        @Test
        void of_a_caller_that_sends_steadily_get_no_408() {
            send("GET /1 HT");
            for (int i = 0; i < 6; i++) {
                now += 1_000;
                send("TP/1.1\r\nHost: h\r\n\r\nGET /1 HT");
                replies.get(i).respond(response());
                server.checkConnections();
            }

            assertThat(written().split("HTTP/1.1 200")).hasSize(7);
            assertThat(channel.isOpen()).isTrue();
        }

        /** Guards against one caller that sends requests ahead and makes the host refuse everybody. */
        @Test
        void of_one_caller_leave_room_for_first_requests_of_others() {
            String request = "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n";
            send(request.repeat(64));
            connect().writeInbound(Unpooled.copiedBuffer(request.repeat(64), StandardCharsets.US_ASCII));
            EmbeddedChannel other = connect();
            other.writeInbound(Unpooled.copiedBuffer(request, StandardCharsets.US_ASCII));

            assertThat(other.outboundMessages()).isEmpty();
            assertThat(other.isOpen()).isTrue();
        }

        /** Guards against requests that were held back for long and look as if they had just arrived. */
        @Test
        void that_were_held_back_count_from_their_arrival() {
            send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n".repeat(65));
            now += 700;
            replies.get(0).respond(response());
            runTasks(1);
            runTasks(1);

            assertThat(replies.get(64).readAt()).isEqualTo(1_000);
        }
    }
}
