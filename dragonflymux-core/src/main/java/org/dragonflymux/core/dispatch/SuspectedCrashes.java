package org.dragonflymux.core.dispatch;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.dragonflymux.core.message.GrantReply;

/** Requests whose connections broke, kept until it is known whether their target crashed. */
final class SuspectedCrashes {

    /** How long to wait for evidence that a target crashed, or did not, while it ran a request. */
    static final Duration EVIDENCE_TIMEOUT = Duration.ofMillis(600);

    private record Suspicion(QueuedRequest request, Instant brokenAt) {}

    private final Map<LaneKey, List<Suspicion>> open = new HashMap<>();

    private SuspectedCrashes() {}

    static SuspectedCrashes none() {
        return new SuspectedCrashes();
    }

    void add(LaneKey lane, QueuedRequest request, Instant now) {
        open.computeIfAbsent(lane, _ -> new ArrayList<>()).add(new Suspicion(request, now));
    }

    /** Returns whether the reply to a grant shows that the target was restarted or does not accept connections. */
    static boolean showsCrash(GrantReply reply, boolean restarted) {
        return restarted || reply instanceof GrantReply.ConnectionRefused;
    }

    /** Returns whether the reply to a grant shows that the same process of the target is still running. */
    static boolean showsAlive(GrantReply reply, boolean restarted) {
        return !restarted && reply instanceof GrantReply.Answered;
    }

    /** Removes and returns the requests whose connections to a lane's target broke. */
    List<QueuedRequest> take(LaneKey lane) {
        List<Suspicion> taken = open.remove(lane);
        return taken == null
                ? List.of()
                : taken.stream().map(Suspicion::request).toList();
    }

    /** Removes and returns the requests for which no evidence arrived in time. */
    List<QueuedRequest> takeOverdue(Instant now) {
        List<QueuedRequest> result = new ArrayList<>();
        open.values()
                .forEach(suspicions -> suspicions.removeIf(suspicion -> {
                    boolean overdue = !now.isBefore(suspicion.brokenAt().plus(EVIDENCE_TIMEOUT));
                    if (overdue) {
                        result.add(suspicion.request());
                    }
                    return overdue;
                }));
        open.values().removeIf(List::isEmpty);
        return result;
    }
}
