package org.dragonflymux.standin.target;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.dragonflymux.core.document.Fencing;
import org.dragonflymux.core.message.GrantReply;
import org.dragonflymux.core.message.TargetResult.DeclineReason;

/**
 * The state of a stand-in target: its grant, its slots and its queue, at given instants.
 *
 * <p>A target that checks grants starts a request only under the token of its present grant, and gives up what it runs
 * when the grant lapses. A target that checks deadlines starts nothing past a request's deadline.
 */
public final class TargetModel {

    /**
     * A request on the target.
     *
     * @param id a number that no other request has
     * @param key the key
     * @param fence the fencing token that came with it
     * @param deadline when its caller gives up
     */
    public record Work(long id, String key, long fence, Instant deadline) {}

    private static final int QUEUE_PER_SLOT = 16;

    private final Fencing fencing;
    private final int slots;
    private final String boot;
    private final Instant bootedAt;
    private final Deque<Work> queue = new ArrayDeque<>();
    private final Map<Long, Work> running = new HashMap<>();
    private long fence;
    private long validUntilMillis;
    private boolean leaving;

    private TargetModel(Fencing fencing, int slots, String boot, Instant bootedAt) {
        this.fencing = fencing;
        this.slots = slots;
        this.boot = boot;
        this.bootedAt = bootedAt;
    }

    /**
     * Returns a target that has just started.
     *
     * @param boot differs between two runs of the target
     */
    public static TargetModel started(Fencing fencing, int slots, String boot, Instant now) {
        return new TargetModel(fencing, slots, boot, now);
    }

    private long clockMillis(Instant now) {
        return Duration.between(bootedAt, now).toMillis();
    }

    /**
     * Takes in a grant, or answers a question for the clock.
     *
     * @param forBoot the run that the grant is for, or empty for a question
     */
    public GrantReply grant(long offered, String forBoot, long untilMillis, Instant now) {
        boolean accepted = forBoot.equals(boot) && offered >= fence;
        if (accepted) {
            boolean renewal = offered == fence;
            fence = offered;
            validUntilMillis = renewal ? Math.max(validUntilMillis, untilMillis) : untilMillis;
        }
        return new GrantReply.Answered(accepted, boot, clockMillis(now), leaving);
    }

    /** Asks for no new work from now on. */
    public void leave() {
        leaving = true;
    }

    /** Takes in a request; declines it, or queues it until {@link #start} returns it. */
    public Optional<DeclineReason> arrive(Work work, Instant now) {
        Optional<DeclineReason> refusal = refusal(work, now);
        if (refusal.isEmpty() && queue.size() >= slots * QUEUE_PER_SLOT) {
            return Optional.of(DeclineReason.SHED);
        }
        if (refusal.isEmpty()) {
            queue.add(work);
        }
        return refusal;
    }

    private Optional<DeclineReason> refusal(Work work, Instant now) {
        if (fencing == Fencing.CHECKED && !covers(work, now)) {
            return Optional.of(DeclineReason.FENCED);
        }
        boolean late = fencing != Fencing.NONE && !now.isBefore(work.deadline());
        return late ? Optional.of(DeclineReason.EXPIRED) : Optional.empty();
    }

    /** Tells whether the present grant covers a request. */
    public boolean covers(Work work, Instant now) {
        return work.fence() == fence && clockMillis(now) < validUntilMillis;
    }

    /** Tells whether a request that ran to its end may take effect. */
    public boolean mayFinish(Work work, Instant now) {
        return switch (fencing) {
            case CHECKED -> covers(work, now);
            case DEADLINE -> now.isBefore(work.deadline());
            case NONE -> true;
        };
    }

    /** Returns the next request that starts now, or why it is declined after all. */
    public Optional<Start> start(Instant now) {
        if (running.size() >= slots || queue.isEmpty()) {
            return Optional.empty();
        }
        Work next = queue.poll();
        Optional<DeclineReason> refusal = refusal(next, now);
        if (refusal.isEmpty()) {
            running.put(next.id(), next);
        }
        return Optional.of(new Start(next, refusal));
    }

    /**
     * A request that leaves the queue.
     *
     * @param refusal why it is declined; empty when it starts
     */
    public record Start(Work work, Optional<DeclineReason> refusal) {}

    /** Frees the slot of a request. */
    public void finish(long id) {
        running.remove(id);
    }

    /** Returns how many requests wait and run. */
    public int load() {
        return queue.size() + running.size();
    }
}
