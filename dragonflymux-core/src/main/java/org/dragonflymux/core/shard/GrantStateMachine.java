package org.dragonflymux.core.shard;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.dragonflymux.core.balance.TargetDirectory;
import org.dragonflymux.core.balance.TargetState;
import org.dragonflymux.core.desired.ServiceSpec;
import org.dragonflymux.core.name.ServiceName;
import org.dragonflymux.core.name.TargetId;
import org.dragonflymux.core.shard.MoveProgress.Step;
import org.dragonflymux.core.shard.ShardPlanner.PlannedMove;

/**
 * The duty of the one host that grants a service's keys: it plans the table, writes it to the store before it acts on
 * it, renews grants, and moves keys by release, handover and a grant with a higher fencing token.
 *
 * <p>An owner that can't be reached keeps its keys until every grant that it may have taken has run out, also those that
 * a predecessor without access to the store may still renew.
 */
public final class GrantStateMachine {

    private static final long PLAN_EVERY_MILLIS = 200;
    private static final long SETTLE_MILLIS = 1_500;
    private static final long SILENT_MILLIS = 900;
    private static final long RETRY_MILLIS = 150;
    /** Renewals wait while a target owes as many answers: a host that has just started can't carry out all at once. */
    private static final int MAX_CALLS_AT_TARGET = 3;
    /** Other hosts learn of a move a little later than the grantor, and stop sending to the old owner then. */
    private static final long SPREAD_MILLIS = 20;

    private static final long WRITE_TIMEOUT_MILLIS = 3_000;
    private static final double COLD_SHARE = 0.6;
    private static final double MILLIS_PER_SECOND = 1000;
    private static final double SLOWEST_RATIO = 3;
    private static final double FASTEST_RATIO = 0.4;
    /** Fencing tokens that a move takes: one to fence the old owner anew, one for the new owner. */
    private static final int FENCES_PER_MOVE = 2;

    private final ServiceName service;
    private final GrantSettings settings;
    private final TargetDirectory directory;
    private final KeyLoad load = KeyLoad.empty();
    private final Map<TargetId, TargetGrants> grants = new HashMap<>();
    private final Map<Assignment, MoveProgress> moves = new HashMap<>();
    private final Map<Assignment, Long> renewAt = new HashMap<>();
    private final Map<Long, Call> calls = new HashMap<>();
    private ShardTable table = ShardTable.EMPTY;
    private long tableRevision;
    private boolean leading;
    private boolean confirmed;
    private Set<Assignment> inherited = Set.of();
    private long leadingSince;
    private long predecessorUntil;
    private long planAt;
    private long writingUntil = Long.MIN_VALUE;
    private long lastCall;
    private ServiceSpec spec;

    private record Call(TargetId target, Assignment assignment, Step step, long sentAt) {}

    private GrantStateMachine(ServiceSpec spec, GrantSettings settings, TargetDirectory directory) {
        this.service = spec.name();
        this.spec = spec;
        this.settings = settings;
        this.directory = directory;
    }

    /** Returns the duty for a service whose table isn't known yet. */
    public static GrantStateMachine of(ServiceSpec spec, GrantSettings settings, TargetDirectory directory) {
        return new GrantStateMachine(spec, settings, directory);
    }

    /** Replaces what is known of the service. */
    public void spec(ServiceSpec newer) {
        spec = newer;
    }

    /** Takes in that a request for a key came to some host. */
    public void requested(int key, long now) {
        if (leading) {
            load.requested(key, now);
        }
    }

    /**
     * Takes in that this host grants from now on.
     *
     * @param predecessorEnded whether no other host can still be renewing grants
     */
    public void lead(boolean predecessorEnded, long now) {
        if (leading) {
            return;
        }
        leading = true;
        leadingSince = now;
        predecessorUntil = now + (predecessorEnded ? 0 : settings.renewalGraceMillis());
        inherited = new HashSet<>(table.assignments());
        grants.clear();
        moves.clear();
        renewAt.clear();
        calls.clear();
        writingUntil = Long.MIN_VALUE;
    }

    /** Takes in that this host doesn't grant any more. */
    public void stopLeading() {
        leading = false;
        calls.clear();
    }

    /** Takes in the table as it is stored. */
    public void stored(ShardTable newer, long revision) {
        if (revision < tableRevision) {
            return;
        }
        if (revision > tableRevision) {
            writingUntil = Long.MIN_VALUE;
        }
        table = newer;
        tableRevision = revision;
        moves.keySet().retainAll(newer.assignments());
        renewAt.keySet().retainAll(newer.assignments());
    }

    /** Takes in that a write was refused because something newer is stored, or failed. */
    public void notStored() {
        writingUntil = Long.MIN_VALUE;
    }

    /**
     * Does what is due.
     *
     * @param leaseConfirmed whether the lease in the store surely holds; without it the duty only renews
     */
    public List<GrantEffect> tick(boolean leaseConfirmed, long now) {
        List<GrantEffect> effects = new ArrayList<>();
        confirmed = leaseConfirmed;
        if (!leading) {
            return effects;
        }
        for (Assignment assignment : table.assignments()) {
            if (assignment.move().isPresent()) {
                advance(assignment, now, effects);
            } else {
                renew(assignment, now, effects);
            }
        }
        persist(now, effects);
        return effects;
    }

    private TargetGrants grantsOf(TargetId target) {
        return grants.computeIfAbsent(
                target,
                _ -> new TargetGrants(settings, predecessorUntil + settings.callTimeout() + settings.longestHold()));
    }

    private boolean reborn(TargetId id, long incarnation) {
        return directory
                .target(id)
                .filter(target -> target.entry().incarnation() > incarnation)
                .isPresent();
    }

    private void renew(Assignment assignment, long now, List<GrantEffect> effects) {
        TargetGrants target = grantsOf(assignment.owner());
        if (renewAt.getOrDefault(assignment, Long.MIN_VALUE) > now
                || target.outstanding() >= MAX_CALLS_AT_TARGET
                || !target.mayTry(now)
                || reborn(assignment.owner(), assignment.incarnation())
                || target.silentFor(now) > SILENT_MILLIS && now < target.holdsUntil()) {
            return;
        }
        renewAt.put(assignment, now + settings.renewEvery());
        grant(assignment, assignment.owner(), assignment.fence(), Optional.empty(), null, now, effects);
    }

    private void grant(
            Assignment assignment,
            TargetId to,
            long fence,
            Optional<String> handover,
            Step step,
            long now,
            List<GrantEffect> effects) {
        long call = ++lastCall;
        calls.put(call, new Call(to, assignment, step, now));
        grantsOf(to).sent();
        effects.add(new GrantEffect.Grant(call, to, assignment.range(), fence, settings.hold(), handover));
    }

    private void advance(Assignment assignment, long now, List<GrantEffect> effects) {
        MoveProgress move = moves.computeIfAbsent(assignment, a -> start(a, now));
        Move target = assignment.move().orElseThrow();
        if (move.step() == Step.DONE) {
            renewMoved(assignment, target, now, effects);
            return;
        }
        if (!confirmed) {
            return;
        }
        if (move.step() == Step.GRANT && reborn(target.to(), target.incarnation())) {
            move.next(Step.DONE);
            return;
        }
        boolean expired =
                now >= move.expiresAt() && !grantsOf(assignment.owner()).busy();
        boolean waitsForOwner =
                move.step() == Step.AWAIT_EXPIRY || move.step() == Step.RELEASE || move.step() == Step.FENCE_OWNER;
        if (waitsForOwner && (expired || reborn(assignment.owner(), assignment.incarnation()))) {
            move.next(Step.GRANT);
        }
        if (!move.mayCall(now)) {
            return;
        }
        switch (move.step()) {
            case FENCE_OWNER -> {
                move.called();
                grant(
                        assignment,
                        assignment.owner(),
                        target.fence() - 1,
                        Optional.empty(),
                        Step.FENCE_OWNER,
                        now,
                        effects);
            }
            case RELEASE -> release(assignment, move, now, effects);
            case GRANT -> {
                move.called();
                grant(assignment, target.to(), target.fence(), move.handover(), Step.GRANT, now, effects);
            }
            case AWAIT_EXPIRY, DONE -> {}
        }
    }

    /** Renews the grant of keys that have moved, for as long as the store hasn't taken the table that says so. */
    private void renewMoved(Assignment assignment, Move move, long now, List<GrantEffect> effects) {
        TargetGrants target = grantsOf(move.to());
        if (renewAt.getOrDefault(assignment, Long.MIN_VALUE) <= now
                && target.mayTry(now)
                && !reborn(move.to(), move.incarnation())) {
            renewAt.put(assignment, now + settings.renewEvery());
            grant(assignment, move.to(), move.fence(), Optional.empty(), null, now, effects);
        }
    }

    private MoveProgress start(Assignment assignment, long now) {
        if (inherited.contains(assignment)) {
            return resume(assignment, now);
        }
        TargetGrants owner = grantsOf(assignment.owner());
        boolean fenceAnew = now < predecessorUntil || owner.uncertain(now) || owner.busy();
        Step first = fenceAnew ? Step.FENCE_OWNER : Step.RELEASE;
        long expiresAt = Math.max(owner.holdsUntil(), now);
        if (owner.busy()) {
            expiresAt = Math.max(expiresAt, now + settings.callTimeout() + settings.longestHold());
        }
        MoveProgress move = new MoveProgress(first, assignment.fence(), expiresAt);
        move.retryAt(now + SPREAD_MILLIS);
        return move;
    }

    /**
     * Resumes a predecessor's move. The new owner may hold the keys already, so the old one isn't granted them again; the
     * predecessor's last calls have ended after one timeout.
     */
    private MoveProgress resume(Assignment assignment, long now) {
        long ownerFence = assignment.move().orElseThrow().fence() - 1;
        MoveProgress move = new MoveProgress(
                Step.RELEASE, ownerFence, grantsOf(assignment.owner()).holdsUntil());
        move.retryAt(Math.max(now, leadingSince + settings.callTimeout()));
        return move;
    }

    private void release(Assignment assignment, MoveProgress move, long now, List<GrantEffect> effects) {
        move.called();
        long call = ++lastCall;
        calls.put(call, new Call(assignment.owner(), assignment, Step.RELEASE, now));
        effects.add(new GrantEffect.Release(call, assignment.owner(), assignment.range(), move.ownerFence()));
    }

    /** Takes in how a call ended. */
    public List<GrantEffect> ended(long callNumber, GrantResult result, long now) {
        List<GrantEffect> effects = new ArrayList<>();
        Call call = calls.remove(callNumber);
        if (call == null) {
            return effects;
        }
        if (call.step != Step.RELEASE) {
            grantsOf(call.target).ended(result, call.sentAt, now);
        }
        MoveProgress move = moves.get(call.assignment);
        if (call.step == null) {
            if (!(result instanceof GrantResult.Done)) {
                renewAt.remove(call.assignment);
            }
        } else if (move != null && move.step() == call.step) {
            moveCallEnded(call, move, result, now);
        }
        if (leading) {
            if (move != null && call.assignment.move().isPresent()) {
                advance(call.assignment, now, effects);
            }
            persist(now, effects);
        }
        return effects;
    }

    private void moveCallEnded(Call call, MoveProgress move, GrantResult result, long now) {
        switch (call.step) {
            case FENCE_OWNER -> {
                if (result instanceof GrantResult.Done) {
                    long fence = call.assignment.move().orElseThrow().fence() - 1;
                    move.fenced(fence, grantsOf(call.target).holdsUntil());
                } else {
                    move.expiresNotBefore(grantsOf(call.target).holdsUntil());
                    move.next(Step.AWAIT_EXPIRY);
                }
            }
            case RELEASE -> {
                if (result instanceof GrantResult.Done done) {
                    move.handedOver(done.handover());
                } else {
                    move.retryAt(now + RETRY_MILLIS);
                }
            }
            case GRANT -> {
                if (result instanceof GrantResult.Done) {
                    move.next(Step.DONE);
                } else if (grantsOf(call.target).silentFor(now) > SILENT_MILLIS
                        || result instanceof GrantResult.Fenced) {
                    // The new owner may hold the keys: it counts as their owner, and they move on from there.
                    move.next(Step.DONE);
                } else {
                    move.retryAt(now + RETRY_MILLIS);
                }
            }
            case AWAIT_EXPIRY, DONE -> {}
        }
    }

    private void persist(long now, List<GrantEffect> effects) {
        if (now < writingUntil || !confirmed) {
            return;
        }
        ShardTable next = finishMoves(table);
        if (now >= planAt) {
            planAt = now + PLAN_EVERY_MILLIS;
            next = plan(next, now);
        }
        if (!next.equals(table)) {
            writingUntil = now + WRITE_TIMEOUT_MILLIS;
            effects.add(new GrantEffect.Persist(service, next, tableRevision));
        }
    }

    private ShardTable finishMoves(ShardTable before) {
        ShardTable after = before;
        for (Map.Entry<Assignment, MoveProgress> entry : moves.entrySet()) {
            if (entry.getValue().step() == Step.DONE) {
                Assignment moved = entry.getKey();
                Move move = moved.move().orElseThrow();
                after = after.with(
                        new Assignment(moved.range(), move.to(), move.incarnation(), move.fence(), Optional.empty()));
            }
        }
        return after;
    }

    private ShardTable plan(ShardTable before, long now) {
        List<PlanTarget> targets = planTargets(now);
        if (before.assignments().isEmpty()) {
            boolean settled = now - leadingSince >= SETTLE_MILLIS;
            return settled && targets.stream().anyMatch(PlanTarget::usable) ? ShardPlanner.initial(targets) : before;
        }
        ShardTable after = before;
        for (PlannedMove planned : ShardPlanner.plan(before, targets, load.snapshot(now))) {
            Assignment owner = after.assignmentOf(planned.range().first()).orElseThrow();
            long fence = after.lastFence() + FENCES_PER_MOVE;
            after = after.with(new Assignment(
                    planned.range(),
                    owner.owner(),
                    owner.incarnation(),
                    owner.fence(),
                    Optional.of(new Move(planned.to(), incarnationOf(planned.to()), fence))));
        }
        return ShardPlanner.join(after, targets.size());
    }

    private long incarnationOf(TargetId id) {
        return directory.target(id).map(target -> target.entry().incarnation()).orElse(0L);
    }

    private List<PlanTarget> planTargets(long now) {
        double mean = directory.longTermServiceMillis(service);
        List<PlanTarget> result = new ArrayList<>();
        for (TargetState target : directory.of(service)) {
            TargetGrants known = grants.get(target.entry().id());
            boolean silent = known != null && known.silentFor(now) > SILENT_MILLIS;
            result.add(new PlanTarget(
                    target.entry().id(),
                    target.entry().incarnation(),
                    bearable(target, mean, now),
                    directory.acceptsNewWork(target) && !silent));
        }
        return result;
    }

    private double bearable(TargetState target, double mean, long now) {
        double millis = Math.clamp(target.longTermServiceMillis(mean), mean * FASTEST_RATIO, mean * SLOWEST_RATIO);
        double perSecond = target.entry().slots() * MILLIS_PER_SECOND / millis;
        return target.cold(now) ? Math.min(perSecond, spec.coldPerSecond() * COLD_SHARE) : perSecond;
    }

    public ShardTable table() {
        return table;
    }

    public boolean leading() {
        return leading;
    }
}
