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

/**
 * The events of a request on all hosts in chronological order, with the view that each host had, and the cause of the
 * outcome.
 */
public final class RequestTimeline {

    private static final String REQUEST_REFUSED = "request_refused";
    private static final String ANSWER_LATE = "answer_late";

    private final List<LogLine> lines;
    private final String requestId;

    private RequestTimeline(List<LogLine> lines, String requestId) {
        this.lines = lines;
        this.requestId = requestId;
    }

    /**
     * Builds the timeline of a request.
     *
     * @param log the log lines of any number of hosts, in any order; lines that are not events are ignored
     * @param requestId the request's ID
     */
    public static RequestTimeline of(List<String> log, String requestId) {
        List<LogLine> lines = new ArrayList<>();
        log.forEach(text -> LogLine.parse(text).ifPresent(lines::add));
        lines.sort(Comparator.comparingDouble(LogLine::seconds));
        return new RequestTimeline(lines, requestId);
    }

    /**
     * Returns a row for each event of the request and one for the cause, or no rows if the log does not contain the
     * request.
     */
    public Report report() {
        Report report = Report.of("seconds", "host", "event", "what", "believed");
        Map<String, HostView> hostViews = new HashMap<>();
        Optional<LogLine> last = Optional.empty();
        for (LogLine line : lines) {
            HostView hostView = hostViews.computeIfAbsent(line.host(), _ -> new HostView());
            if (line.concerns(requestId)) {
                report = report.with(
                        "%.3f".formatted(line.seconds()), line.host(), line.event(), describe(line), hostView.text());
                last = Optional.of(line);
            } else {
                hostView.apply(line);
            }
        }
        if (last.isEmpty()) {
            return report;
        }
        String cause = cause(last.get(), hostViews.get(last.get().host()));
        return report.with("-", last.get().host(), "cause", cause, "-");
    }

    private static String describe(LogLine line) {
        return switch (line.event()) {
            case REQUEST_REFUSED ->
                "refused with %s after %s ms, customer %s, retry after %s ms"
                        .formatted(
                                line.field("reason"),
                                line.field("millis"),
                                line.field("customer"),
                                line.field("retryAfterMillis"));
            case ANSWER_LATE ->
                "late answer from %s: %s ms on this host until sent, %s ms on the target, with %s requests there"
                        .formatted(
                                line.field("target"),
                                line.field("waitedMillis"),
                                line.field("workedMillis"),
                                line.field("busyAtSend"));
            case "attempt_ended" -> "%s answered %s".formatted(line.field("target"), line.field("result"));
            case "attempt_failed" -> "%s did not answer: %s".formatted(line.field("target"), line.field("failure"));
            default -> line.fields().toString();
        };
    }

    private String cause(LogLine last, HostView hostView) {
        return switch (last.event()) {
            case ANSWER_LATE -> causeOfLateAnswer(last);
            case REQUEST_REFUSED ->
                reason(last)
                        .map(reason -> causeOfRefusal(reason, hostView))
                        .orElse("unknown refusal reason " + last.field("reason"));
            default -> "an attempt failed, and the log contains no final outcome";
        };
    }

    private static Optional<RefusalReason> reason(LogLine line) {
        return Arrays.stream(RefusalReason.values())
                .filter(reason -> reason.name().equals(line.field("reason")))
                .findFirst();
    }

    private String causeOfLateAnswer(LogLine late) {
        if (late.number("attempts") > 1) {
            return "it was sent more than once: " + failedTargets();
        }
        return late.number("waitedMillis") > late.number("workedMillis")
                ? "it waited on this host in the queue or for its key to move"
                : "target %s took a long time to process it".formatted(late.field("target"));
    }

    private String causeOfRefusal(RefusalReason reason, HostView hostView) {
        return switch (reason) {
            case NO_DESIRED_STATE -> "the host had just started and had no desired state yet";
            case NO_ROUTE -> "no route of the active desired state matches the host name and path";
            case UNKNOWN_CREDENTIAL -> "the credential belongs to no customer of the active desired state";
            case STALE_CREDENTIALS ->
                "credentials could not be trusted: the host had received no update from the store"
                        + (hostView.storeUnreachableSince().isEmpty()
                                ? ""
                                : " since " + hostView.storeUnreachableSince());
            case OVER_RATE -> "the customer's rate limit over all hosts was exhausted";
            case RATE_UNKNOWN ->
                "no token was available: the host that lends the customer's tokens did not answer in time";
            case NO_SHARD_KEY -> "the request had no usable shard key";
            case OVERLOADED -> "all eligible targets were expected to be busy for too long";
            case NO_TARGET -> "no eligible target was reachable" + optionalDetail(failedTargets());
            case TURNED_AWAY -> "targets declined to run it: " + failedTargets();
            case EXPIRED_UNSENT -> "its deadline passed before it was sent";
            case STOPPING -> "the host was shutting down and might not have finished it";
            case QUARANTINED -> "it is quarantined because it crashes targets";
            case EXPIRED -> "its deadline passed while a target was processing it";
            case LOST_ANSWER -> "it may have run: " + failedTargets();
        };
    }

    private static String optionalDetail(String targets) {
        return targets.isEmpty() ? "" : ": " + targets;
    }

    private String failedTargets() {
        List<String> failures = new ArrayList<>();
        for (LogLine line : lines) {
            if (line.concerns(requestId) && line.event().startsWith("attempt_")) {
                failures.add(line.field("target") + " " + line.fields().getOrDefault("failure", line.field("result")));
            }
        }
        return String.join(", ", failures);
    }
}
