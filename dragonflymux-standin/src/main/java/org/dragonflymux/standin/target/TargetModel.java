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
 * The state of a stand-in target: its grant, its slots and its queue. All instants are passed in.
 *
 * <p>A target that checks grants starts a request only with the fencing token of its current, unexpired grant, and
 * abandons running requests when the grant expires. A target that checks deadlines does not start a request after its
 * deadline.
 */
public final class TargetModel {

    /**
     * A request that was sent to the target.
     *
     * @param id an id that is unique to the request
     * @param fence the fencing token that was sent with the request
     * @param deadline the time after which the caller no longer waits for the response
     */
    public record TargetRequest(long id, String key, long fence, Instant deadline) {}

    private static final int QUEUE_PER_SLOT = 16;

    private final Fencing fencing;
    private final int slots;
    private final String boot;
    private final Instant bootedAt;
    private final Deque<TargetRequest> queue = new ArrayDeque<>();
    private final Map<Long, TargetRequest> running = new HashMap<>();
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
     * Returns a newly started target.
     *
     * @param boot the id of the target process, which differs after each restart
     */
    public static TargetModel started(Fencing fencing, int slots, String boot, Instant now) {
        return new TargetModel(fencing, slots, boot, now);
    }

    private long clockMillis(Instant now) {
        return Duration.between(bootedAt, now).toMillis();
    }

    /**
     * Handles a grant, or a query for the target's boot id and clock.
     *
     * @param offeredFence the fencing token of the grant
     * @param forBoot the id of the target process that the grant is for, or empty for a query
     * @param untilMillis when the grant expires on the target's own clock, in milliseconds
     */
    public GrantReply grant(long offeredFence, String forBoot, long untilMillis, Instant now) {
        boolean accepted = forBoot.equals(boot) && offeredFence >= fence;
        if (accepted) {
            boolean renewal = offeredFence == fence;
            fence = offeredFence;
            validUntilMillis = renewal ? Math.max(validUntilMillis, untilMillis) : untilMillis;
        }
        return new GrantReply.Answered(accepted, boot, clockMillis(now), leaving);
    }

    /** Makes the target ask not to be sent new requests. */
    public void leave() {
        leaving = true;
    }

    /** Queues a request until {@link #startNext} returns it, or returns why the request is declined. */
    public Optional<DeclineReason> submit(TargetRequest request, Instant now) {
        Optional<DeclineReason> declineReason = declineReason(request, now);
        if (declineReason.isEmpty() && queue.size() >= slots * QUEUE_PER_SLOT) {
            return Optional.of(DeclineReason.SHED);
        }
        if (declineReason.isEmpty()) {
            queue.add(request);
        }
        return declineReason;
    }

    private Optional<DeclineReason> declineReason(TargetRequest request, Instant now) {
        if (fencing == Fencing.CHECKED && !grantCovers(request, now)) {
            return Optional.of(DeclineReason.FENCED);
        }
        boolean expired = fencing != Fencing.NONE && !now.isBefore(request.deadline());
        return expired ? Optional.of(DeclineReason.EXPIRED) : Optional.empty();
    }

    /** Returns whether a request has the fencing token of the current, unexpired grant. */
    public boolean grantCovers(TargetRequest request, Instant now) {
        return request.fence() == fence && clockMillis(now) < validUntilMillis;
    }

    /** Returns whether a request that has run to completion may take effect. */
    public boolean mayTakeEffect(TargetRequest request, Instant now) {
        return switch (fencing) {
            case CHECKED -> grantCovers(request, now);
            case DEADLINE -> now.isBefore(request.deadline());
            case NONE -> true;
        };
    }

    /** Removes the next request from the queue if a slot is free; the request starts now, or is declined. */
    public Optional<DequeuedRequest> startNext(Instant now) {
        if (running.size() >= slots || queue.isEmpty()) {
            return Optional.empty();
        }
        TargetRequest next = queue.poll();
        Optional<DeclineReason> declineReason = declineReason(next, now);
        if (declineReason.isEmpty()) {
            running.put(next.id(), next);
        }
        return Optional.of(new DequeuedRequest(next, declineReason));
    }

    /**
     * A request that was removed from the queue.
     *
     * @param declineReason why the request is declined, or empty if it starts
     */
    public record DequeuedRequest(TargetRequest request, Optional<DeclineReason> declineReason) {}

    /** Releases the slot of a request. */
    public void finish(long id) {
        running.remove(id);
    }

    /** Returns the number of queued and running requests. */
    public int load() {
        return queue.size() + running.size();
    }
}
