package org.dragonflymux.core.dispatch;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.dragonflymux.core.message.GrantReply;

/** The requests whose connections broke, until it is known whether their target crashed. */
final class CrashEvidence {

    /** How long to wait for evidence whether a target crashed under a request. */
    static final Duration TIMEOUT = Duration.ofMillis(600);

    private record Suspicion(QueuedRequest request, Instant brokenAt) {}

    private final Map<LaneKey, List<Suspicion>> open = new HashMap<>();

    private CrashEvidence() {}

    static CrashEvidence none() {
        return new CrashEvidence();
    }

    void broken(LaneKey lane, QueuedRequest request, Instant now) {
        open.computeIfAbsent(lane, _ -> new ArrayList<>()).add(new Suspicion(request, now));
    }

    /** Tells whether a grant's reply shows that the target is another run, or that none listens. */
    static boolean showsCrash(GrantReply reply, boolean restarted) {
        return restarted || reply instanceof GrantReply.ConnectionRefused;
    }

    /** Tells whether a grant's reply shows that the target goes on. */
    static boolean showsLife(GrantReply reply, boolean restarted) {
        return !restarted && reply instanceof GrantReply.Answered;
    }

    /** Removes and returns the requests whose connections to a target broke. */
    List<QueuedRequest> take(LaneKey lane) {
        List<Suspicion> taken = open.remove(lane);
        return taken == null
                ? List.of()
                : taken.stream().map(Suspicion::request).toList();
    }

    /** Removes and returns the requests for which no evidence came in time. */
    List<QueuedRequest> takeOverdue(Instant now) {
        List<QueuedRequest> overdue = new ArrayList<>();
        open.values()
                .forEach(suspicions -> suspicions.removeIf(suspicion -> {
                    boolean late = !now.isBefore(suspicion.brokenAt().plus(TIMEOUT));
                    if (late) {
                        overdue.add(suspicion.request());
                    }
                    return late;
                }));
        open.values().removeIf(List::isEmpty);
        return overdue;
    }
}
