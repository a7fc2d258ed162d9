package org.dragonflymux.core.balance;

import java.util.HashMap;
import java.util.Map;
import org.dragonflymux.core.name.HostId;

/** One host's view of one incarnation of a target. Times are milliseconds of the monotonic clock. */
public final class TargetState {

    private static final double SMOOTHING = 0.15;
    /** Smaller than SMOOTHING because shard plans outlive single selections: one expensive request must not change them. */
    private static final double LONG_TERM_SMOOTHING = 0.06;

    private static final double SLOWDOWN_SMOOTHING = 0.03;
    /** A slowdown of about a second shows in this average; plans by the slower one alone took several seconds to react. */
    private static final double RECENT_SLOWDOWN_SMOOTHING = 0.15;

    /**
     * Below this the recent slowdown doesn't count for plans. Moments in which all slots are busy slow a target down as well; keys
     * moved back and forth because of them.
     */
    private static final double MIN_RECENT_SLOWDOWN = 1.6;

    private static final double FAILURE_SMOOTHING = 0.2;
    private static final long SLOWDOWN_VALID_MILLIS = 400;
    private static final double SLOWDOWN_DURATION_MILLIS = 150;
    private static final long FIRST_HOLD_DOWN_MILLIS = 400;
    private static final long MAX_HOLD_DOWN_MILLIS = 3_000;
    private static final int MAX_HOLD_DOWN_DOUBLINGS = 3;
    private static final int FAILURES_BEFORE_HOLD_DOWN = 3;
    /** Shorter than a hold-down, because a target that turns requests away is alive and may run the next one. */
    private static final long REST_MILLIS = 100;

    /** Limits the harm of a target that asks for an unreasonably long pause. */
    private static final long MAX_PAUSE_MILLIS = 60_000;

    private static final long NOT_LEAVING = Long.MAX_VALUE;

    private final int nameHash;
    private TargetEntry entry;
    private int inFlight;
    private final Map<HostId, PeerUse> peers = new HashMap<>();
    private PeerUse peersTotal = PeerUse.NONE;
    private double serviceMillis = -1;
    private double baseServiceMillis = -1;
    private double averageSlowdown = 1;
    private double recentSlowdown = 1;
    private double failureRatio;
    private int consecutiveFailures;
    private int consecutiveRefusals;
    private long heldDownUntil = Long.MIN_VALUE / 2;
    private int slowdownPercent = 100;
    private long slowdownAt = Long.MIN_VALUE / 2;
    private long coldSince;
    private long coldUntil;
    private long lastColdSend = Long.MIN_VALUE / 2;
    private long restsUntil = Long.MIN_VALUE / 2;
    private long pausedUntil = Long.MIN_VALUE / 2;
    private boolean resuming;
    private long leavingSince = NOT_LEAVING;
    private int completionsSinceReport;
    private double completionMillisSinceReport;

    private TargetState(TargetEntry entry, long now) {
        this.entry = entry;
        this.nameHash = entry.id().hash();
        this.coldSince = now;
        this.coldUntil = now + entry.coldMillis();
    }

    /** Creates the state of a target of which only the entry is known. */
    public static TargetState of(TargetEntry entry, long now) {
        return new TargetState(entry, now);
    }

    /**
     * Creates the state of a new incarnation. A pause goes on, since it may be the new incarnation that asked for it, before its entry
     * was known.
     *
     * @param previous the state of the incarnation that was known before
     */
    static TargetState ofNextIncarnation(TargetState previous, TargetEntry entry, long now) {
        TargetState next = of(entry, now);
        next.pausedUntil = previous.pausedUntil;
        next.resuming = now < previous.pausedUntil;
        return next;
    }

    public int nameHash() {
        return nameHash;
    }

    public TargetEntry entry() {
        return entry;
    }

    /** Applies a newer entry of the same incarnation. */
    public void update(TargetEntry newer, long now) {
        entry = newer;
        if (newer.coldMillis() > 0) {
            markCold(newer.coldMillis(), now);
        }
    }

    /** Records that the target stays cold for the given time. */
    public void markCold(long millis, long now) {
        if (!cold(now)) {
            coldSince = now;
        }
        coldUntil = Math.max(coldUntil, now + millis);
    }

    public boolean cold(long now) {
        return now < coldUntil;
    }

    /** Returns when the target's latest cold period began, as far as known. */
    public long coldSince() {
        return coldSince;
    }

    /** Returns when this host last sent a request while the target was cold. */
    public long lastColdSend() {
        return lastColdSend;
    }

    /** Records that this host sends a request to the target. */
    public void sent(long now) {
        inFlight++;
        if (cold(now)) {
            lastColdSend = now;
        }
    }

    /** Records that a request of this host ended, with or without success. */
    public void ended() {
        inFlight = Math.max(0, inFlight - 1);
    }

    public int inFlight() {
        return inFlight;
    }

    /** Returns the estimated number of requests of all hosts at the target. */
    public int totalInFlight() {
        return inFlight + peersTotal.inFlight;
    }

    /** Returns how many requests at other hosts wait for this target and can go to no other. */
    public int waitingAtPeers() {
        return peersTotal.waiting;
    }

    /** Records how many requests another host has at the target and how many of its requests wait for it. */
    public void updatePeerUse(HostId peer, int count, int waitingCount) {
        PeerUse before = peers.put(peer, new PeerUse(count, waitingCount));
        peersTotal = peersTotal.plus(count, waitingCount).minus(before);
    }

    /** Drops the requests that all other hosts have reported. */
    void forgetPeers() {
        peers.clear();
        peersTotal = PeerUse.NONE;
    }

    /** Drops the requests that another host has reported. */
    public void forgetPeer(HostId peer) {
        peersTotal = peersTotal.minus(peers.remove(peer));
    }

    /** In-flight and waiting requests of one other host, or of all of them. */
    private record PeerUse(int inFlight, int waiting) {

        static final PeerUse NONE = new PeerUse(0, 0);

        PeerUse plus(int moreInFlight, int moreWaiting) {
            return new PeerUse(inFlight + moreInFlight, waiting + moreWaiting);
        }

        PeerUse minus(PeerUse other) {
            return other == null ? this : new PeerUse(inFlight - other.inFlight, waiting - other.waiting);
        }
    }

    /**
     * Records a successful answer.
     *
     * @param millis time from sending the request to the complete answer
     * @param busyAtSend how many requests were at the target when the request was sent
     * @param now when the answer arrived
     */
    public void succeeded(double millis, int busyAtSend, long now) {
        double correctedMillis = millis * Math.min(1.0, (double) entry.slots() / Math.max(1, busyAtSend));
        recordServiceTimes(correctedMillis, 1, now);
        completionsSinceReport++;
        completionMillisSinceReport += correctedMillis;
        consecutiveFailures = 0;
        consecutiveRefusals = 0;
        resuming = false;
        failureRatio -= failureRatio * FAILURE_SMOOTHING;
    }

    /** Records the mean service time of a number of successful answers, of this host or of others. */
    public void recordServiceTimes(double millis, int count, long now) {
        serviceMillis = smoothed(serviceMillis, millis, SMOOTHING, count);
        baseServiceMillis = smoothed(baseServiceMillis, millis / slowdown(now), LONG_TERM_SMOOTHING, count);
    }

    private static double smoothed(double before, double latest, double weight, int count) {
        double keep = Math.pow(1 - weight, count);
        return before < 0 ? latest : before * keep + latest * (1 - keep);
    }

    /** Records a failure of the target. An unreachable target, or one that fails repeatedly, is held down for a while. */
    public void failed(boolean unreachable, long now) {
        failureRatio += (1 - failureRatio) * FAILURE_SMOOTHING;
        consecutiveFailures++;
        if (unreachable || consecutiveFailures >= FAILURES_BEFORE_HOLD_DOWN) {
            int doublings = Math.min(MAX_HOLD_DOWN_DOUBLINGS, Math.max(0, consecutiveFailures - 1));
            heldDownUntil = now + Math.min(MAX_HOLD_DOWN_MILLIS, FIRST_HOLD_DOWN_MILLIS << doublings);
        }
    }

    /** Records that the target asked this host to send no requests for the given time. */
    public void pause(long millis, long now) {
        pausedUntil = Math.max(pausedUntil, now + Math.min(millis, MAX_PAUSE_MILLIS));
        resuming = true;
    }

    /** Records that the target answered without having run a request. One that does so repeatedly rests for a moment. */
    public void turnedAway(long now) {
        failureRatio += (1 - failureRatio) * FAILURE_SMOOTHING;
        consecutiveRefusals++;
        if (consecutiveRefusals >= FAILURES_BEFORE_HOLD_DOWN) {
            restsUntil = now + REST_MILLIS;
        }
    }

    /** Returns whether requests should wait for a moment because the target has just turned several away. */
    public boolean resting(long now) {
        return now < restsUntil;
    }

    /** Returns whether this host must not send requests now, because the target failed or asked for a pause. */
    public boolean heldBack(long now) {
        return now < heldBackUntil();
    }

    /** Returns until when this host must not send requests; a time in the past if it may send now. */
    public long heldBackUntil() {
        return Math.max(heldDownUntil, pausedUntil);
    }

    /**
     * Returns whether the target has room for a request besides those that run, given how many requests may queue there.
     * After a pause a host sends one request at a time until the first one succeeds, so that hosts whose pauses end at the
     * same time do not overload the target again.
     */
    public boolean hasRoom(int maxQueued) {
        return resuming ? inFlight == 0 : totalInFlight() < entry.slots() + maxQueued;
    }

    /** Records that the target announced its shutdown in an answer. This holds until its incarnation ends. */
    public void markLeaving(long now) {
        leavingSince = Math.min(leavingSince, now);
    }

    /** Returns whether the target announced its shutdown. */
    public boolean leaving() {
        return leavingSince != NOT_LEAVING;
    }

    /** Returns when this host was first told that the target is leaving; far in the future if it was not. */
    public long leavingSince() {
        return leavingSince;
    }

    public double failureRatio() {
        return failureRatio;
    }

    /** Records the slowdown that the target reported; a report older than the latest is ignored. */
    public void slowdownReported(int percent, long at) {
        if (at >= slowdownAt) {
            slowdownPercent = percent;
            slowdownAt = at;
            averageSlowdown += SLOWDOWN_SMOOTHING * (percent / 100.0 - averageSlowdown);
            recentSlowdown += RECENT_SLOWDOWN_SMOOTHING * (percent / 100.0 - recentSlowdown);
        }
    }

    public int slowdownPercent() {
        return slowdownPercent;
    }

    public long slowdownAt() {
        return slowdownAt;
    }

    /** Returns the current slowdown factor. The weight of the last report decreases with its age. */
    public double slowdown(long now) {
        double freshness = Math.max(0, 1 - (double) (now - slowdownAt) / SLOWDOWN_VALID_MILLIS);
        return 1 + (slowdownPercent / 100.0 - 1) * freshness;
    }

    /** Returns the recent service time, corrected for queueing, or the default if there are no measurements. */
    public double serviceMillis(double defaultMillis) {
        return serviceMillis < 0 ? defaultMillis : serviceMillis;
    }

    /**
     * Returns how long the target, with all its slots, takes to complete a number of requests. The current slowdown is
     * assumed to last only a short time and the average slowdown to apply after that.
     */
    public double estimatedMillisFor(double requests, double defaultMillis, long now) {
        double each = (baseServiceMillis < 0 ? defaultMillis : baseServiceMillis) / entry.slots();
        double soon = requests * each * slowdown(now);
        if (soon <= SLOWDOWN_DURATION_MILLIS) {
            return soon;
        }
        double later = requests - SLOWDOWN_DURATION_MILLIS / (each * slowdown(now));
        return SLOWDOWN_DURATION_MILLIS + later * each * averageSlowdown;
    }

    /** Returns the long-term service time including the average slowdown, or the default if there are no measurements. */
    public double longTermServiceMillis(double defaultMillis) {
        return baseServiceMillis < 0 ? defaultMillis : baseServiceMillis * averageSlowdown;
    }

    /** Returns the long-term service time without any slowdown, or the default if there are no measurements. */
    public double nominalServiceMillis(double defaultMillis) {
        return baseServiceMillis < 0 ? defaultMillis : baseServiceMillis;
    }

    /**
     * Returns the long-term service time by which keys are placed, or the default if there are no measurements. The larger of
     * the average and the recent slowdown counts, so that keys leave a slow target soon and return to it late.
     */
    public double plannedServiceMillis(double defaultMillis) {
        double recent = recentSlowdown > MIN_RECENT_SLOWDOWN ? recentSlowdown : 1;
        return nominalServiceMillis(defaultMillis) * Math.max(averageSlowdown, recent);
    }

    public boolean hasMeasurements() {
        return serviceMillis >= 0;
    }

    /** Returns the successful answers since the last call and resets the counters. */
    public Completions drainCompletions() {
        Completions taken = new Completions(
                completionsSinceReport,
                completionsSinceReport == 0 ? 0 : completionMillisSinceReport / completionsSinceReport);
        completionsSinceReport = 0;
        completionMillisSinceReport = 0;
        return taken;
    }

    /**
     * Successful answers of a period.
     *
     * @param count their number
     * @param meanMillis their mean service time, corrected for queueing at the target
     */
    public record Completions(int count, double meanMillis) {}
}
