package org.dragonflymux.ctl.explain;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.dragonflymux.core.gateway.RefusalReason;
import org.dragonflymux.ctl.output.Report;

/** What happened to one request, over all hosts and in order, with what each host took for true, and the cause. */
public final class RequestStory {

    private static final String REFUSED = "request_refused";
    private static final String LATE = "answer_late";

    private final List<LogLine> lines;
    private final String requestId;

    private RequestStory(List<LogLine> lines, String requestId) {
        this.lines = lines;
        this.requestId = requestId;
    }

    /**
     * Returns the story of a request.
     *
     * @param log lines of any number of hosts, in any order; those that are no events are left out
     * @param requestId the request
     */
    public static RequestStory of(List<String> log, String requestId) {
        List<LogLine> lines = new ArrayList<>();
        log.forEach(text -> LogLine.parse(text).ifPresent(lines::add));
        lines.sort(Comparator.comparingDouble(LogLine::seconds));
        return new RequestStory(lines, requestId);
    }

    /** Returns a row for each event of the request and one for the cause; none where the log doesn't name the request. */
    public Report report() {
        Report report = Report.of("seconds", "host", "event", "what", "believed");
        Map<String, Beliefs> beliefs = new HashMap<>();
        Optional<LogLine> last = Optional.empty();
        for (LogLine line : lines) {
            Beliefs ofHost = beliefs.computeIfAbsent(line.host(), _ -> new Beliefs());
            if (line.concerns(requestId)) {
                report = report.with(
                        "%.3f".formatted(line.seconds()), line.host(), line.event(), what(line), ofHost.text());
                last = Optional.of(line);
            } else {
                ofHost.learn(line);
            }
        }
        if (last.isEmpty()) {
            return report;
        }
        String cause = cause(last.get(), beliefs.get(last.get().host()));
        return report.with("-", last.get().host(), "cause", cause, "-");
    }

    private static String what(LogLine line) {
        return switch (line.event()) {
            case REFUSED ->
                "refused as %s after %s ms, customer %s, come back in %s ms"
                        .formatted(
                                line.field("reason"),
                                line.field("millis"),
                                line.field("customer"),
                                line.field("retryAfterMillis"));
            case LATE ->
                "answered late by %s: waited %s ms here, took %s ms there, where %s requests were"
                        .formatted(
                                line.field("target"),
                                line.field("waitedMillis"),
                                line.field("workedMillis"),
                                line.field("busyAtSend"));
            case "attempt_ended" -> "%s answered %s".formatted(line.field("target"), line.field("result"));
            case "attempt_failed" -> "%s gave no answer: %s".formatted(line.field("target"), line.field("failure"));
            default -> line.fields().toString();
        };
    }

    private String cause(LogLine last, Beliefs beliefs) {
        return switch (last.event()) {
            case LATE -> causeOfLateness(last);
            case REFUSED ->
                reason(last)
                        .map(reason -> causeOfRefusal(reason, beliefs))
                        .orElse("this program doesn't know the reason " + last.field("reason"));
            default -> "an attempt ended without success, and the log holds no final answer";
        };
    }

    private static Optional<RefusalReason> reason(LogLine line) {
        return Arrays.stream(RefusalReason.values())
                .filter(reason -> reason.name().equals(line.field("reason")))
                .findFirst();
    }

    private String causeOfLateness(LogLine late) {
        if (late.number("attempts") > 1) {
            return "it was sent more than once: " + failedTargets();
        }
        return late.number("waitedMillis") > late.number("workedMillis")
                ? "it waited here for its turn or for its key to move"
                : "target %s worked long on it".formatted(late.field("target"));
    }

    private String causeOfRefusal(RefusalReason reason, Beliefs beliefs) {
        return switch (reason) {
            case NO_DESIRED_STATE -> "the host had just started and knew no desired state";
            case NO_ROUTE -> "no route has this host name and path in the version in force";
            case UNKNOWN_CREDENTIAL -> "the credential is nobody's in the version in force";
            case STALE_CREDENTIALS ->
                "credentials could not be trusted: the host had no news of the store"
                        + (beliefs.storeLostSince().isEmpty() ? "" : " since " + beliefs.storeLostSince());
            case OVER_RATE -> "the customer's rate over all hosts was used up";
            case RATE_UNKNOWN ->
                "no token could be had: the host that lends the customer's tokens gave no answer in time";
            case NO_SHARD_KEY -> "the request had no usable shard key";
            case OVERLOADED -> "the targets that may run it were expected to be busy for too long";
            case NO_TARGET -> "no target that may run it could be reached" + orNothing(failedTargets());
            case TURNED_AWAY -> "targets turned it away: " + failedTargets();
            case EXPIRED_UNSENT -> "its time was up before it was sent";
            case QUARANTINED -> "it crashes targets";
            case EXPIRED -> "its time was up while a target worked on it";
            case LOST_ANSWER -> "it may have run: " + failedTargets();
        };
    }

    private static String orNothing(String targets) {
        return targets.isEmpty() ? "" : ": " + targets;
    }

    private String failedTargets() {
        List<String> found = new ArrayList<>();
        for (LogLine line : lines) {
            if (line.concerns(requestId) && line.event().startsWith("attempt_")) {
                found.add(line.field("target") + " " + line.fields().getOrDefault("failure", line.field("result")));
            }
        }
        return String.join(", ", found);
    }
}
