package org.dragonflymux.core.balance;

import java.util.HashMap;
import java.util.Map;
import org.dragonflymux.core.name.HostId;

/** What one host believes about one life of a target. Times are milliseconds of the monotonic clock. */
public final class TargetState {

    private static final double SMOOTHING = 0.15;
    /** Plans last longer than single choices, so that one heavy request must not sway them. */
    private static final double STEADY_SMOOTHING = 0.06;

    private static final double SLOWDOWN_SMOOTHING = 0.03;
    private static final double FAILURE_SMOOTHING = 0.2;
    private static final long SLOWDOWN_VALID_MILLIS = 400;
    private static final double SLOWDOWN_LASTS_MILLIS = 150;
    private static final long FIRST_HOLD_DOWN_MILLIS = 400;
    private static final long MAX_HOLD_DOWN_MILLIS = 3_000;
    private static final int MAX_HOLD_DOWN_DOUBLINGS = 3;

    private final int nameHash;
    private TargetEntry entry;
    private int inFlight;
    private final Map<HostId, PeerUse> peers = new HashMap<>();
    private PeerUse peersTotal = PeerUse.NONE;
    private double serviceMillis = -1;
    private double unslowedMillis = -1;
    private double usualSlowdown = 1;
    private double failureRatio;
    private int failuresInARow;
    private long heldDownUntil = Long.MIN_VALUE;
    private int slowdownPercent = 100;
    private long slowdownAt = Long.MIN_VALUE / 2;
    private long coldSince;
    private long coldUntil;
    private long lastColdSend = Long.MIN_VALUE / 2;
    private int doneSinceReport;
    private double doneMillisSinceReport;

    private TargetState(TargetEntry entry, long now) {
        this.entry = entry;
        this.nameHash = entry.id().hash();
        this.coldSince = now;
        this.coldUntil = now + entry.coldMillis();
    }

    /** Returns the state of a target of which nothing but its entry is known. */
    public static TargetState of(TargetEntry entry, long now) {
        return new TargetState(entry, now);
    }

    /** Returns the hash of the target's name. */
    public int nameHash() {
        return nameHash;
    }

    public TargetEntry entry() {
        return entry;
    }

    /** Takes in a newer entry of the same life. */
    public void update(TargetEntry newer, long now) {
        entry = newer;
        if (newer.coldMillis() > 0) {
            becameCold(newer.coldMillis(), now);
        }
    }

    /** Takes in that the target is cold. */
    public void becameCold(long millis, long now) {
        if (!cold(now)) {
            coldSince = now;
        }
        coldUntil = Math.max(coldUntil, now + millis);
    }

    public boolean cold(long now) {
        return now < coldUntil;
    }

    /** Returns since when the target is cold, as far as known. */
    public long coldSince() {
        return coldSince;
    }

    /** Returns when the host last sent a request while the target was cold. */
    public long lastColdSend() {
        return lastColdSend;
    }

    /** Takes in that a request is sent. */
    public void sent(long now) {
        inFlight++;
        if (cold(now)) {
            lastColdSend = now;
        }
    }

    /** Takes in that a request ended in whatever way. */
    public void ended() {
        inFlight = Math.max(0, inFlight - 1);
    }

    public int inFlight() {
        return inFlight;
    }

    /** Returns how many requests of all hosts are believed to be at the target. */
    public int busy() {
        return inFlight + peersTotal.inFlight;
    }

    /** Returns how many requests wait at other hosts for this target alone. */
    public int waitingAtPeers() {
        return peersTotal.waiting;
    }

    /** Takes in how many requests another host has at the target and for it. */
    public void peerHas(HostId peer, int count, int waitingCount) {
        PeerUse before = peers.put(peer, new PeerUse(count, waitingCount));
        peersTotal = peersTotal.plus(count, waitingCount).minus(before);
    }

    /** Forgets what another host has. */
    public void forgetPeer(HostId peer) {
        peersTotal = peersTotal.minus(peers.remove(peer));
    }

    /** What another host, or all of them, have at a target and for it. */
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
     * Takes in a good answer.
     *
     * @param millis from sending to the whole answer
     * @param busyAtSend how many requests were at the target when it was sent
     * @param now when the answer came
     */
    public void succeeded(double millis, int busyAtSend, long now) {
        double alone = millis * Math.min(1.0, (double) entry.slots() / Math.max(1, busyAtSend));
        learn(alone, 1, now);
        doneSinceReport++;
        doneMillisSinceReport += alone;
        failuresInARow = 0;
        failureRatio -= failureRatio * FAILURE_SMOOTHING;
    }

    /** Takes in what another host saw of good answers. */
    public void learn(double millis, int count, long now) {
        serviceMillis = smoothed(serviceMillis, millis, SMOOTHING, count);
        unslowedMillis = smoothed(unslowedMillis, millis / slowdown(now), STEADY_SMOOTHING, count);
    }

    private static double smoothed(double before, double latest, double weight, int count) {
        double keep = Math.pow(1 - weight, count);
        return before < 0 ? latest : before * keep + latest * (1 - keep);
    }

    /** Takes in a failure that speaks against the target; it is left alone for a while after several. */
    public void failed(boolean unreachable, long now) {
        failureRatio += (1 - failureRatio) * FAILURE_SMOOTHING;
        failuresInARow++;
        if (unreachable || failuresInARow >= 3) {
            int doublings = Math.min(MAX_HOLD_DOWN_DOUBLINGS, Math.max(0, failuresInARow - 1));
            heldDownUntil = now + Math.min(MAX_HOLD_DOWN_MILLIS, FIRST_HOLD_DOWN_MILLIS << doublings);
        }
    }

    public boolean heldDown(long now) {
        return now < heldDownUntil;
    }

    public double failureRatio() {
        return failureRatio;
    }

    /** Takes in the target's own report. */
    public void reported(int percent, long at) {
        if (at >= slowdownAt) {
            slowdownPercent = percent;
            slowdownAt = at;
            usualSlowdown += SLOWDOWN_SMOOTHING * (percent / 100.0 - usualSlowdown);
        }
    }

    public int slowdownPercent() {
        return slowdownPercent;
    }

    public long slowdownAt() {
        return slowdownAt;
    }

    /** Returns by what factor work takes longer now; an old report counts less. */
    public double slowdown(long now) {
        double freshness = Math.max(0, 1 - (double) (now - slowdownAt) / SLOWDOWN_VALID_MILLIS);
        return 1 + (slowdownPercent / 100.0 - 1) * freshness;
    }

    /** Returns how long the target works on a request that it runs alone, or a guess where nothing is known. */
    public double serviceMillis(double guess) {
        return serviceMillis < 0 ? guess : serviceMillis;
    }

    /**
     * Returns how long the target, with all its slots, takes to end a number of requests. What slows it now lasts a
     * moment; after that it works as usual.
     */
    public double millisFor(double requests, double guess, long now) {
        double each = (unslowedMillis < 0 ? guess : unslowedMillis) / entry.slots();
        double soon = requests * each * slowdown(now);
        if (soon <= SLOWDOWN_LASTS_MILLIS) {
            return soon;
        }
        double later = requests - SLOWDOWN_LASTS_MILLIS / (each * slowdown(now));
        return SLOWDOWN_LASTS_MILLIS + later * each * usualSlowdown;
    }

    /** Returns how long the target usually works on a request, the usual slowdown included, or a guess. */
    public double longTermServiceMillis(double guess) {
        return unslowedMillis < 0 ? guess : unslowedMillis * usualSlowdown;
    }

    public boolean measured() {
        return serviceMillis >= 0;
    }

    /** Returns good answers since the last call, and their mean time; both are then forgotten. */
    public Completions takeCompletions() {
        Completions taken =
                new Completions(doneSinceReport, doneSinceReport == 0 ? 0 : doneMillisSinceReport / doneSinceReport);
        doneSinceReport = 0;
        doneMillisSinceReport = 0;
        return taken;
    }

    /**
     * Good answers in a span of time.
     *
     * @param count how many
     * @param meanMillis their mean time at a target that runs them alone
     */
    public record Completions(int count, double meanMillis) {}
}
