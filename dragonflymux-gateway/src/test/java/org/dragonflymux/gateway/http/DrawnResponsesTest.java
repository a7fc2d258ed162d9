package org.dragonflymux.gateway.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.Random;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.dragonflymux.core.gateway.AttemptResult;
import org.dragonflymux.gateway.HeaderNames;
import org.dragonflymux.gateway.target.TargetMessages;
import org.junit.jupiter.api.Test;

/**
 * Requests to targets that write drawn bytes: whole and cut answers, interim ones, repeated ones, those to other requests, and
 * others before and behind them; early, in parts, and followed by an end or a reset of the connection. What the target does
 * on a connection follows from the seed; which request takes which connection may also depend on the time.
 */
class DrawnResponsesTest {

    private static final int SEEDS = Integer.getInteger("drawn.seeds", 200);
    private static final int FIRST_SEED = Integer.getInteger("drawn.first", 0);
    private static final int PARALLEL = 4;
    private static final int ROUNDS = 5;
    private static final int MAX_CALLS = 3;
    /** More than the buffers of a connection hold, so that a request may be written only in part when its answer arrives. */
    private static final int LONG_BODY_BYTES = 8 << 20;

    private static final byte[] BODY = new byte[LONG_BODY_BYTES];
    private static final int MAX_RESPONSE_BYTES = 4_096;
    private static final long LONG_TIMEOUT_MILLIS = 20_000;
    private static final long SETTLE_MILLIS = 20;
    private static final TargetMessages MESSAGES = TargetMessages.with(new HeaderNames(
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
            "Hand"));

    /** How a request ended: a response with what it means and its body, or a failure. */
    private record Outcome(CallFailure failure, AttemptResult result, String body) {}

    private static final class Exchange implements CallListener {

        private final String id;
        private final boolean patient;
        private final CountDownLatch ended = new CountDownLatch(1);
        private final Queue<Outcome> outcomes = new ConcurrentLinkedQueue<>();

        Exchange(String id, boolean patient) {
            this.id = id;
            this.patient = patient;
        }

        @Override
        public boolean accepts(FullHttpResponse response) {
            return !MESSAGES.answersOtherRequest(response, id);
        }

        @Override
        public void responseReceived(FullHttpResponse response) {
            end(new Outcome(
                    null, MESSAGES.result(response, id), response.content().toString(StandardCharsets.US_ASCII)));
        }

        @Override
        public void failed(CallFailure failure) {
            end(new Outcome(failure, null, ""));
        }

        private void end(Outcome outcome) {
            outcomes.add(outcome);
            ended.countDown();
        }
    }

    private static FullHttpRequest request(String id, int bodyBytes) {
        FullHttpRequest request = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1, HttpMethod.POST, "/" + id, Unpooled.wrappedBuffer(BODY, 0, bodyBytes));
        request.headers().set(HttpHeaderNames.CONTENT_LENGTH, bodyBytes);
        return request;
    }

    private static List<Exchange> play(int seed, EventLoop loop, DrawnTarget target) throws Exception {
        Random random = new Random(seed);
        ConnectionPool pool =
                ConnectionPool.on(loop, ResponseLimits.ofHeap(MAX_RESPONSE_BYTES), PollTracker.alwaysFresh());
        ConnectionPool.Endpoint endpoint = new ConnectionPool.Endpoint("target", target.address());
        List<Exchange> all = new ArrayList<>();
        for (int round = 0; round < ROUNDS; round++) {
            List<Exchange> parallel = new ArrayList<>();
            for (int i = random.nextInt(MAX_CALLS); i >= 0; i--) {
                Exchange exchange = new Exchange("r" + seed + "-" + round + "-" + i, random.nextInt(20) > 0);
                int bodyBytes = random.nextInt(5) == 0 ? random.nextInt(LONG_BODY_BYTES) : random.nextInt(100);
                long timeout = exchange.patient ? LONG_TIMEOUT_MILLIS : 1 + random.nextInt(20);
                parallel.add(exchange);
                loop.execute(() -> pool.call(endpoint, request(exchange.id, bodyBytes), timeout, 1.0, exchange));
            }
            for (Exchange exchange : parallel) {
                exchange.ended.await(2 * LONG_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
            }
            all.addAll(parallel);
        }
        Thread.sleep(SETTLE_MILLIS);
        return all;
    }

    private static void check(int seed, Exchange exchange, DrawnTarget target) {
        String as = "seed %d, request %s".formatted(seed, exchange.id);
        assertThat(exchange.outcomes).as("%s ends exactly once", as).hasSize(1);
        Outcome outcome = exchange.outcomes.peek();
        List<DrawnTarget.Answer> answers = target.answersTo(exchange.id);
        if (outcome.result() != null && !(outcome.result() instanceof AttemptResult.Lost)) {
            assertThat(answers).as("%s has a whole answer", as).isNotEmpty();
            assertThat(new DrawnTarget.Answer(outcome.result(), outcome.body()))
                    .as("%s gets the first whole answer to it", as)
                    .isEqualTo(answers.getFirst());
        }
        if (outcome.failure() == CallFailure.NOT_SENT) {
            assertThat(target.saw(exchange.id)).as("%s was not sent", as).isFalse();
        }
        if (exchange.patient && target.answeredInOrder(exchange.id)) {
            assertThat(outcome)
                    .as("%s gets the answer that was written in order", as)
                    .isEqualTo(new Outcome(
                            null,
                            answers.getFirst().result(),
                            answers.getFirst().body()));
        }
    }

    @Test
    void each_request_ends_once_and_only_a_whole_answer_to_it_counts() throws Exception {
        NioEventLoopGroup loops = new NioEventLoopGroup(PARALLEL);
        AtomicInteger successes = new AtomicInteger();
        AtomicInteger refusals = new AtomicInteger();
        AtomicInteger failures = new AtomicInteger();
        try (ExecutorService players = Executors.newFixedThreadPool(2 * PARALLEL)) {
            List<Future<?>> played = new ArrayList<>();
            for (int i = FIRST_SEED; i < FIRST_SEED + SEEDS; i++) {
                int seed = i;
                played.add(players.submit(() -> {
                    try (DrawnTarget target = DrawnTarget.start(seed)) {
                        for (Exchange exchange : play(seed, loops.next(), target)) {
                            check(seed, exchange, target);
                            Outcome outcome = exchange.outcomes.peek();
                            AtomicInteger counter = outcome.failure() != null
                                    ? failures
                                    : outcome.result() instanceof AttemptResult.NotRun ? refusals : successes;
                            counter.incrementAndGet();
                        }
                        assertThat(target.oddRequests()).as("seed %d", seed).isEmpty();
                    }
                    return null;
                }));
            }
            List<String> broken = new ArrayList<>();
            for (Future<?> each : played) {
                try {
                    each.get();
                } catch (ExecutionException failure) {
                    broken.add(failure.getCause().toString());
                }
            }
            assertThat(broken).isEmpty();
        } finally {
            loops.shutdownGracefully();
        }
        // The draws reach each kind of end often.
        assertThat(successes.get()).isGreaterThan(SEEDS);
        assertThat(refusals.get()).isGreaterThan(SEEDS / 10);
        assertThat(failures.get()).isGreaterThan(SEEDS);
    }
}
