package org.dragonflymux.entry.caller;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.Locale;
import java.util.Set;
import org.dragonflymux.core.message.Header;
import org.dragonflymux.core.message.Outcome;
import org.dragonflymux.runtime.http.TargetProtocol;
import ratpack.http.Response;

/** Writes outcomes as HTTP responses. An outcome without a target's response becomes an RFC 9457 problem. */
final class OutcomeWriter {

    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final Set<String> OMITTED_HEADERS =
            Set.of("connection", "keep-alive", "transfer-encoding", "content-length", "upgrade", "trailer");
    private static final String PROBLEM_CONTENT_TYPE = "application/problem+json";
    private static final int STATUS_CONFLICT = 409;

    private OutcomeWriter() {}

    static void write(Response response, Outcome outcome) {
        switch (outcome) {
            case Outcome.Answered answered -> writeAnswered(response, answered);
            case Outcome.Refused refused -> {
                setRetryAfter(response, refused.retryAfter());
                writeProblem(response, refused.reason().status(), "not-run", refused.reason());
            }
            case Outcome.Unknown unknown ->
                writeProblem(response, unknown.reason().status(), "unknown", unknown.reason());
            case Outcome.AlreadyRan ran -> {
                ObjectNode problem = MAPPER.createObjectNode()
                        .put("type", "urn:dragonflymux:already-ran")
                        .put("title", "already ran; the answer is no longer kept")
                        .put("status", STATUS_CONFLICT)
                        .put("first-status", ran.status());
                send(response, STATUS_CONFLICT, "ran", problem);
            }
        }
    }

    private static void writeAnswered(Response response, Outcome.Answered answered) {
        for (Header header : answered.headers()) {
            String lower = header.name().toLowerCase(Locale.ROOT);
            if (!OMITTED_HEADERS.contains(lower)) {
                response.getHeaders().add(header.name(), header.value());
            }
        }
        response.getHeaders().set(TargetProtocol.EXECUTION_HEADER, "ran");
        response.status(answered.status()).send(answered.body());
    }

    private static void setRetryAfter(Response response, Duration after) {
        if (!after.isZero()) {
            long seconds = Math.max(1, Math.ceilDiv(after.toMillis(), 1000L));
            response.getHeaders().set("Retry-After", Long.toString(seconds));
        }
    }

    private static void writeProblem(Response response, int status, String execution, Enum<?> reason) {
        String name = reason.name().toLowerCase(Locale.ROOT);
        ObjectNode problem = MAPPER.createObjectNode()
                .put("type", "urn:dragonflymux:" + name.replace('_', '-'))
                .put("title", name.replace('_', ' '))
                .put("status", status);
        send(response, status, execution, problem);
    }

    private static void send(Response response, int status, String execution, ObjectNode problem) {
        problem.put("execution", execution);
        response.getHeaders().set(TargetProtocol.EXECUTION_HEADER, execution);
        response.status(status).contentType(PROBLEM_CONTENT_TYPE).send(problem.toString());
    }
}
