package org.dragonflymux.core.shard;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.dragonflymux.core.balance.TargetDirectory;
import org.dragonflymux.core.balance.TargetEntry;
import org.dragonflymux.core.balance.TargetState;
import org.dragonflymux.core.desired.ServiceSpec;
import org.dragonflymux.core.membership.FormerGrantors;
import org.dragonflymux.core.name.ServiceName;
import org.dragonflymux.core.name.TargetId;
import org.dragonflymux.core.shard.MoveProgress.Step;
import org.dragonflymux.core.shard.ShardPlanner.PlannedMove;

/**
 * Grants the keys of a service while this host is the grantor: plans the table, writes it to the store before acting
 * on it, renews grants, and moves keys by a release, a handover and a grant under a higher fencing token.
 *
 * <p>An owner that cannot be reached keeps its keys until every grant that it may have received has expired, including
 * grants that earlier grantors without access to the store may still renew.
 */
public final class GrantStateMachine {

    private static final long PLAN_INTERVAL_MILLIS = 200;
    private static final long REGISTRATION_WAIT_MILLIS = 1_500;
    private static final long UNRESPONSIVE_AFTER_MILLIS = 900;
    private static final long RETRY_DELAY_MILLIS = 150;
    private static final long OWNER_RETRY_DELAY_MILLIS = 1_000;
    /**
     * Renewals wait while a target has this many unanswered calls, since a host that has just started cannot send the
     * renewals of all assignments at once.
     */
    private static final int MAX_OUTSTANDING_CALLS_PER_TARGET = 3;
    /** Other hosts receive a planned move slightly later than the grantor, and send to the old owner until then. */
    private static final long PROPAGATION_DELAY_MILLIS = 20;

    private static final long WRITE_TIMEOUT_MILLIS = 3_000;
    private static final double COLD_CAPACITY_SHARE = 0.6;
    private static final double MILLIS_PER_SECOND = 1000;
    private static final double MAX_LATENCY_RATIO = 3;
    private static final double MIN_LATENCY_RATIO = 0.4;

    private final ServiceName service;
    private final GrantSettings settings;
    private final TargetDirectory directory;
    private final Map<TargetId, TargetGrants> grants = new HashMap<>();
    private final Map<Assignment, MoveProgress> moves = new HashMap<>();
    private final Map<Assignment, Long> nextRenewalAt = new HashMap<>();
    private final Map<Long, Call> calls = new HashMap<>();
    private final List<EndedMove> endedMoves = new ArrayList<>();
    private KeyLoad load = KeyLoad.empty();
    private Optional<PlacementPlan> latestPlan = Optional.empty();
    private ShardTable table = ShardTable.EMPTY;
    private long tableRevision;
    private boolean leading;
    private boolean leaseValid;
    private Set<Assignment> inheritedAssignments = Set.of();
    private long leadingSince;
    private long othersRenewUntil;
    /** All tokens of the present term are above this one. */
    private long fenceFloor;
    /** Until when others may hold keys by grants of an earlier epoch of the store. */
    private long earlierHoldsEndAt;

    private boolean renewsEarlierEpoch;
    private long nextPlanAt;
    private long writeOutstandingUntil = Long.MIN_VALUE;
    private long lastCallNumber;
    private ServiceSpec spec;

    /**
     * A call without a result yet.
     *
     * @param progress the move that the call belongs to, empty if it renews a grant
     * @param step the step of the move in which the call was sent
     * @param calledIncarnation the incarnation whose address the call was sent to
     */
    private record Call(
            TargetId target,
            Assignment assignment,
            Optional<MoveProgress> progress,
            Step step,
            long sentAt,
            long calledIncarnation) {}

    private GrantStateMachine(ServiceSpec spec, GrantSettings settings, TargetDirectory directory) {
        this.service = spec.name();
        this.spec = spec;
        this.settings = settings;
        this.directory = directory;
    }

    /** Returns the state machine of a service whose table is not known yet. */
    public static GrantStateMachine of(ServiceSpec spec, GrantSettings settings, TargetDirectory directory) {
        return new GrantStateMachine(spec, settings, directory);
    }

    /** Replaces the specification of the service. */
    public void updateSpec(ServiceSpec newSpec) {
        spec = newSpec;
    }

    /** Records that a request for a key arrived at any host. */
    public void recordRequest(int key, long now) {
        if (leading) {
            load.recordRequest(key, now);
        }
    }

    /**
     * Starts granting: this host has become the grantor of a store that never came back from a copy.
     *
     * @param formerGrantors the earlier grantors that may still renew grants
     * @param termKnownSince since when this host has known the record that names them
     */
    public void startLeading(FormerGrantors formerGrantors, long termKnownSince, long now) {
        startLeading(formerGrantors, termKnownSince, 0, false, now);
    }

    /**
     * Starts granting: this host has become the grantor.
     *
     * @param formerGrantors the earlier grantors that may still renew grants
     * @param termKnownSince since when this host has known the record that names them
     * @param floor all fencing tokens of the term are above it; by a table with lower ones nothing is granted
     * @param soleGrantorBefore whether no other host was the grantor before the store came back from a copy, so that the table
     *     that this host knows names all owners
     */
    public void startLeading(
            FormerGrantors formerGrantors, long termKnownSince, long floor, boolean soleGrantorBefore, long now) {
        if (leading) {
            return;
        }
        fenceFloor = floor;
        leading = true;
        leadingSince = now;
        // Requests that arrived while another host was the grantor are unknown.
        load = KeyLoad.empty();
        othersRenewUntil = termKnownSince + formerGrantors.renewForMillis();
        earlierHoldsEndAt = soleGrantorBefore
                ? Long.MIN_VALUE
                : othersRenewUntil + settings.callTimeoutMillis() + settings.worstCaseHoldMillis();
        inheritedAssignments = new HashSet<>(table.assignments());
        grants.clear();
        moves.clear();
        nextRenewalAt.clear();
        calls.clear();
        writeOutstandingUntil = Long.MIN_VALUE;
    }

    /** Stops granting: this host is no longer the grantor. */
    public void stopLeading() {
        leading = false;
        calls.clear();
    }

    /** Records the stored table and its revision. */
    public void tableStored(ShardTable newTable, long revision) {
        if (revision < tableRevision) {
            return;
        }
        if (revision > tableRevision) {
            writeOutstandingUntil = Long.MIN_VALUE;
        }
        if (leading && isOfEarlierEpoch(table) && !isOfEarlierEpoch(newTable)) {
            // Moves that the earlier epoch left unfinished are resumed under new tokens.
            inheritedAssignments = new HashSet<>(newTable.assignments());
        }
        table = newTable;
        tableRevision = revision;
        moves.keySet().retainAll(newTable.assignments());
        nextRenewalAt.keySet().retainAll(newTable.assignments());
    }

    /** Records that a write failed or was refused because the stored table is newer. */
    public void writeFailed() {
        writeOutstandingUntil = Long.MIN_VALUE;
    }

    /** Records whether the lease is known to be valid in the store; otherwise grants are only renewed. */
    public void leaseConfirmed(boolean confirmed) {
        leaseValid = confirmed;
    }

    /** Records whether this host may still renew what it granted itself in an earlier epoch of the store. */
    public void renewsEarlierEpoch(boolean renewing) {
        renewsEarlierEpoch = renewing;
    }

    /**
     * Returns whether the known table is one that the last term of this host could grant by. Otherwise that term still waited for
     * the holds of an earlier epoch of the store, and its table says nothing of who has the keys.
     */
    public boolean tableIsOfLastTerm() {
        return !isOfEarlierEpoch(table);
    }

    /** Returns whether nothing may be granted by a table, as the store came back from a copy since it was written. */
    private boolean isOfEarlierEpoch(ShardTable any) {
        return any.lastFence() < fenceFloor;
    }

    /**
     * Returns the effects that are due.
     *
     * @param leaseConfirmed whether the lease is known to be valid in the store; otherwise grants are only renewed
     */
    public List<GrantEffect> tick(boolean leaseConfirmed, long now) {
        List<GrantEffect> effects = new ArrayList<>();
        leaseValid = leaseConfirmed;
        if (!leading) {
            return effects;
        }
        if (isOfEarlierEpoch(table)) {
            renewEarlierGrants(now, effects);
            writeTableAnew(now, effects);
            return effects;
        }
        for (Assignment assignment : table.assignments()) {
            if (assignment.move().isPresent()) {
                advanceMove(assignment, now, effects);
            } else {
                renewGrant(assignment, now, effects);
            }
        }
        updateTable(now, effects);
        return effects;
    }

    /** Goes on with the renewals of this host's last term in the earlier epoch, for the time for which any other term waits. */
    private void renewEarlierGrants(long now, List<GrantEffect> effects) {
        if (!renewsEarlierEpoch) {
            return;
        }
        boolean valid = leaseValid;
        leaseValid = false;
        table.assignments().stream()
                .filter(assignment -> assignment.move().isEmpty())
                .forEach(assignment -> renewGrant(assignment, now, effects));
        leaseValid = valid;
    }

    /** Writes the table of an earlier epoch under new fencing tokens, once no other target can hold keys of it. */
    private void writeTableAnew(long now, List<GrantEffect> effects) {
        if (now < earlierHoldsEndAt || now < writeOutstandingUntil || !leaseValid) {
            return;
        }
        ShardTable next = table.assignments().isEmpty() ? plan(table, now) : table;
        if (!next.assignments().isEmpty()) {
            writeOutstandingUntil = now + WRITE_TIMEOUT_MILLIS;
            effects.add(new GrantEffect.Persist(service, next.renumberedAbove(fenceFloor), tableRevision));
        }
    }

    private TargetGrants grantsOf(TargetId target) {
        return grants.computeIfAbsent(
                target,
                _ -> new TargetGrants(
                        settings,
                        othersRenewUntil + settings.callTimeoutMillis() + settings.worstCaseHoldMillis(),
                        incarnationOf(target)));
    }

    private boolean hasNewerIncarnation(TargetId id, long incarnation) {
        return directory
                .target(id)
                .filter(target -> target.entry().incarnation() > incarnation)
                .isPresent();
    }

    private void renewGrant(Assignment assignment, long now, List<GrantEffect> effects) {
        TargetGrants target = grantsOf(assignment.owner());
        if (nextRenewalAt.getOrDefault(assignment, Long.MIN_VALUE) > now
                || target.outstandingCalls() >= MAX_OUTSTANDING_CALLS_PER_TARGET
                || !target.mayCall(now)
                || hasNewerIncarnation(assignment.owner(), assignment.incarnation())
                || target.unresponsiveMillis(now) > UNRESPONSIVE_AFTER_MILLIS && now < target.heldUntil()) {
            return;
        }
        sendRenewal(assignment, assignment.owner(), assignment.fence(), now, effects);
    }

    /**
     * Renews a grant. Without a valid lease, the next grantor may have moved the keys already; their earlier owner refuses this
     * grant then, but a later incarnation of it, which this host may not know of, would take it.
     */
    private void sendRenewal(Assignment assignment, TargetId to, long fence, long now, List<GrantEffect> effects) {
        nextRenewalAt.put(assignment, now + settings.renewalIntervalMillis());
        long call = recordCall(new Call(to, assignment, Optional.empty(), Step.DONE, now, lastIncarnation(to)));
        grantsOf(to).callSent();
        GrantEffect.Connection connection = leaseValid ? GrantEffect.Connection.ANY : GrantEffect.Connection.PROVEN;
        effects.add(new GrantEffect.Grant(
                call, to, assignment.range(), fence, settings.holdMillis(), Optional.empty(), connection));
    }

    private void sendGrant(
            Assignment assignment,
            MoveProgress progress,
            TargetId to,
            long fence,
            Optional<String> handover,
            long now,
            List<GrantEffect> effects) {
        progress.callSent();
        long call =
                recordCall(new Call(to, assignment, Optional.of(progress), progress.step(), now, lastIncarnation(to)));
        grantsOf(to).callSent();
        effects.add(new GrantEffect.Grant(
                call, to, assignment.range(), fence, settings.holdMillis(), handover, GrantEffect.Connection.ANY));
    }

    private long recordCall(Call call) {
        calls.put(++lastCallNumber, call);
        return lastCallNumber;
    }

    private void advanceMove(Assignment assignment, long now, List<GrantEffect> effects) {
        MoveProgress progress = moves.computeIfAbsent(assignment, a -> startMove(a, now));
        progress.measure(now);
        Move move = assignment.move().orElseThrow();
        if (progress.step() == Step.DONE) {
            renewMovedGrant(assignment, move, now, effects);
            return;
        }
        if (!leaseValid) {
            return;
        }
        if (progress.step() == Step.GRANT && hasNewerIncarnation(move.to(), move.incarnation())) {
            progress.advanceTo(Step.DONE);
            return;
        }
        if (progress.waitsForOwner()) {
            progress = checkOwner(assignment, progress, now);
        }
        if (progress.mayCall(now)) {
            sendCall(assignment, progress, now, effects);
        }
    }

    /**
     * Ends the wait for the old owner if it can't hold the keys any longer. An incarnation that started since then may hold
     * them as well, by a renewal that reached it before its entry was read, so it is asked like the earlier one.
     */
    private MoveProgress checkOwner(Assignment assignment, MoveProgress progress, long now) {
        TargetId owner = assignment.owner();
        boolean expired = now >= progress.expiresAt() && !grantsOf(owner).hasOutstandingCalls();
        boolean staysAtTarget = assignment.move().orElseThrow().to().equals(owner);
        if (expired || staysAtTarget) {
            progress.advanceTo(Step.GRANT);
        } else if (hasNewerIncarnation(owner, progress.ownerIncarnation())) {
            MoveProgress restarted = startMove(assignment, now);
            moves.put(assignment, restarted);
            return restarted;
        }
        return progress;
    }

    private void sendCall(Assignment assignment, MoveProgress progress, long now, List<GrantEffect> effects) {
        Move move = assignment.move().orElseThrow();
        switch (progress.step()) {
            case FENCE_OWNER ->
                sendGrant(assignment, progress, assignment.owner(), move.ownerFence(), Optional.empty(), now, effects);
            case RELEASE -> sendRelease(assignment, progress, now, effects);
            case AWAIT_EXPIRY -> {
                if (mayAskOwnerAgain(progress, now)) {
                    progress.advanceTo(Step.FENCE_OWNER);
                    sendCall(assignment, progress, now, effects);
                }
            }
            case GRANT -> sendGrant(assignment, progress, move.to(), move.fence(), progress.handover(), now, effects);
            case DONE -> {}
        }
    }

    /** Returns whether a call to the owner that gets no answer would not lengthen the wait for the end of its hold. */
    private boolean mayAskOwnerAgain(MoveProgress progress, long now) {
        return now + settings.callTimeoutMillis() + settings.worstCaseHoldMillis() < progress.expiresAt();
    }

    /** Renews the grant of the new owner until the table with the completed move is stored. */
    private void renewMovedGrant(Assignment assignment, Move move, long now, List<GrantEffect> effects) {
        TargetGrants target = grantsOf(move.to());
        if (nextRenewalAt.getOrDefault(assignment, Long.MIN_VALUE) <= now
                && target.mayCall(now)
                && !hasNewerIncarnation(move.to(), move.incarnation())) {
            sendRenewal(assignment, move.to(), move.fence(), now, effects);
        }
    }

    private MoveProgress startMove(Assignment assignment, long now) {
        if (inheritedAssignments.contains(assignment)) {
            return resumeMove(assignment, now);
        }
        TargetGrants owner = grantsOf(assignment.owner());
        boolean mustFenceOwner =
                now < othersRenewUntil || owner.hasUnconfirmedGrant(now) || owner.hasOutstandingCalls();
        Step first = mustFenceOwner ? Step.FENCE_OWNER : Step.RELEASE;
        long expiresAt = Math.max(owner.heldUntil(), now);
        if (owner.hasOutstandingCalls()) {
            expiresAt = Math.max(expiresAt, now + settings.callTimeoutMillis() + settings.worstCaseHoldMillis());
        }
        MoveProgress progress = new MoveProgress(first, knownIncarnation(assignment), expiresAt, now);
        progress.retryAt(now + PROPAGATION_DELAY_MILLIS);
        return progress;
    }

    /**
     * Resumes a move of the previous grantor. The new owner may already hold the keys, so they are not granted to the
     * old owner again. The first call waits until the previous grantor's last calls have ended, which takes one call
     * timeout.
     */
    private MoveProgress resumeMove(Assignment assignment, long now) {
        MoveProgress progress = new MoveProgress(
                Step.RELEASE,
                knownIncarnation(assignment),
                grantsOf(assignment.owner()).heldUntil(),
                now);
        progress.retryAt(Math.max(now, leadingSince + settings.callTimeoutMillis()));
        return progress;
    }

    /** Returns the incarnation of the owner that calls are sent to now. */
    private long knownIncarnation(Assignment assignment) {
        return Math.max(assignment.incarnation(), incarnationOf(assignment.owner()));
    }

    private void sendRelease(Assignment assignment, MoveProgress progress, long now, List<GrantEffect> effects) {
        progress.callSent();
        long call = recordCall(new Call(
                assignment.owner(),
                assignment,
                Optional.of(progress),
                Step.RELEASE,
                now,
                lastIncarnation(assignment.owner())));
        long fence = assignment.move().orElseThrow().releaseFence();
        effects.add(new GrantEffect.Release(call, assignment.owner(), assignment.range(), fence));
    }

    /** Handles the result of a call. */
    public List<GrantEffect> callEnded(long callNumber, GrantResult result, long now) {
        List<GrantEffect> effects = new ArrayList<>();
        Call call = calls.remove(callNumber);
        if (call == null) {
            return effects;
        }
        if (call.step != Step.RELEASE) {
            grantsOf(call.target).callEnded(result, call.sentAt, now);
        }
        Optional<MoveProgress> current = Optional.ofNullable(moves.get(call.assignment));
        if (call.progress.isEmpty()) {
            if (!(result instanceof GrantResult.Done done) || done.proofLost()) {
                nextRenewalAt.remove(call.assignment);
            }
        } else if (call.progress.equals(current) && call.progress.get().step() == call.step) {
            moveCallEnded(call, call.progress.get(), result, now);
        }
        if (leading && !isOfEarlierEpoch(table)) {
            if (current.isPresent() && call.assignment.move().isPresent()) {
                advanceMove(call.assignment, now, effects);
            }
            updateTable(now, effects);
        }
        return effects;
    }

    private void moveCallEnded(Call call, MoveProgress progress, GrantResult result, long now) {
        progress.measure(now);
        switch (call.step) {
            case FENCE_OWNER -> {
                if (result instanceof GrantResult.Done) {
                    progress.ownerFenced(grantsOf(call.target).heldUntil());
                } else if (ownerEnded(call, progress, result)) {
                    progress.advanceTo(Step.GRANT);
                } else {
                    progress.expiresNotBefore(grantsOf(call.target).heldUntil());
                    progress.advanceTo(Step.AWAIT_EXPIRY);
                    progress.retryAt(now + OWNER_RETRY_DELAY_MILLIS);
                }
            }
            case RELEASE -> {
                if (result instanceof GrantResult.Done done) {
                    progress.released(done.handover());
                } else if (ownerEnded(call, progress, result)) {
                    progress.advanceTo(Step.GRANT);
                } else {
                    boolean registered = directory.target(call.target).isPresent();
                    progress.retryAt(now + (registered ? RETRY_DELAY_MILLIS : OWNER_RETRY_DELAY_MILLIS));
                }
            }
            case GRANT -> {
                if (result instanceof GrantResult.Done) {
                    progress.advanceTo(Step.DONE);
                } else if (grantsOf(call.target).unresponsiveMillis(now) > UNRESPONSIVE_AFTER_MILLIS
                        || result instanceof GrantResult.Fenced
                        || result instanceof GrantResult.TargetEnded) {
                    // The new owner may hold the keys, so it counts as the owner; they can move on from there.
                    progress.advanceTo(Step.DONE);
                } else {
                    progress.retryAt(now + RETRY_DELAY_MILLIS);
                }
            }
            case AWAIT_EXPIRY, DONE -> {}
        }
    }

    /**
     * Returns whether the process that owned the keys of a move has ended. The call must have gone to the owner's latest incarnation
     * by the table and by the directory, since a later one may hold the keys at another address, and the owner must no longer be
     * registered.
     */
    private boolean ownerEnded(Call call, MoveProgress progress, GrantResult result) {
        return result instanceof GrantResult.TargetEnded
                && call.calledIncarnation() == progress.ownerIncarnation()
                && lastIncarnation(call.target()) == progress.ownerIncarnation()
                && directory.target(call.target()).isEmpty();
    }

    /** Returns the latest incarnation of a target that was ever registered, as far as this host knows; 0 if there is none. */
    private long lastIncarnation(TargetId target) {
        return directory.lastEntry(target).map(TargetEntry::incarnation).orElse(0L);
    }

    private void updateTable(long now, List<GrantEffect> effects) {
        if (now < writeOutstandingUntil || !leaseValid) {
            return;
        }
        ShardTable next = applyCompletedMoves(table);
        if (now >= nextPlanAt) {
            nextPlanAt = now + PLAN_INTERVAL_MILLIS;
            next = plan(next, now);
        }
        if (!next.equals(table)) {
            writeOutstandingUntil = now + WRITE_TIMEOUT_MILLIS;
            effects.add(new GrantEffect.Persist(service, next, tableRevision));
        }
    }

    private ShardTable applyCompletedMoves(ShardTable before) {
        ShardTable after = before;
        for (Map.Entry<Assignment, MoveProgress> entry : moves.entrySet()) {
            if (entry.getValue().step() == Step.DONE) {
                Assignment moved = entry.getKey();
                Move move = moved.move().orElseThrow();
                if (entry.getValue().takeEnd()) {
                    endedMoves.add(endedMove(moved, entry.getValue()));
                }
                after = after.with(
                        new Assignment(moved.range(), move.to(), move.incarnation(), move.fence(), Optional.empty()));
            }
        }
        return after;
    }

    private static EndedMove endedMove(Assignment moved, MoveProgress progress) {
        return new EndedMove(
                moved.range(),
                moved.owner(),
                moved.move().orElseThrow().to(),
                progress.millisIn(Step.FENCE_OWNER),
                progress.millisIn(Step.RELEASE),
                progress.millisIn(Step.AWAIT_EXPIRY),
                progress.millisIn(Step.GRANT),
                progress.handover().isPresent());
    }

    private ShardTable plan(ShardTable before, long now) {
        List<PlanTarget> targets = planTargets(now);
        if (before.assignments().isEmpty()) {
            boolean targetsRegistered = now - leadingSince >= REGISTRATION_WAIT_MILLIS;
            return targetsRegistered && targets.stream().anyMatch(PlanTarget::usable)
                    ? ShardPlanner.initial(targets)
                    : before;
        }
        ShardTable after = before;
        PlacementPlan plan = ShardPlanner.plan(before, targets, load.windows(now));
        if (!plan.moves().isEmpty()) {
            latestPlan = Optional.of(plan);
        }
        for (PlannedMove planned : plan.moves()) {
            Assignment owner = after.assignmentOf(planned.range().first()).orElseThrow();
            long fence = after.lastFence() + Move.FENCES;
            after = after.with(new Assignment(
                    planned.range(),
                    owner.owner(),
                    owner.incarnation(),
                    owner.fence(),
                    Optional.of(new Move(planned.to(), incarnationOf(planned.to()), fence))));
        }
        return ShardPlanner.mergeAdjacentRanges(after, targets.size());
    }

    private long incarnationOf(TargetId id) {
        return directory.target(id).map(target -> target.entry().incarnation()).orElse(0L);
    }

    private List<PlanTarget> planTargets(long now) {
        double mean = directory.longTermServiceMillis(service);
        List<PlanTarget> result = new ArrayList<>();
        for (TargetState target : directory.forService(service)) {
            boolean unresponsive = isUnresponsive(target.entry(), now);
            result.add(new PlanTarget(
                    target.entry().id(),
                    target.entry().incarnation(),
                    capacityPerSecond(target, target.plannedServiceMillis(mean), mean, now),
                    capacityPerSecond(target, target.nominalServiceMillis(mean), mean, now),
                    directory.acceptsNewWork(target) && !unresponsive));
        }
        return result;
    }

    private boolean isUnresponsive(TargetEntry target, long now) {
        TargetGrants targetGrants = grants.get(target.id());
        if (targetGrants == null) {
            return false;
        }
        targetGrants.registeredAs(target.incarnation());
        return targetGrants.unresponsiveMillis(now) > UNRESPONSIVE_AFTER_MILLIS;
    }

    private double capacityPerSecond(TargetState target, double serviceMillis, double mean, long now) {
        double millis = Math.clamp(serviceMillis, mean * MIN_LATENCY_RATIO, mean * MAX_LATENCY_RATIO);
        double requestsPerSecond = target.entry().slots() * MILLIS_PER_SECOND / millis;
        return target.cold(now)
                ? Math.min(requestsPerSecond, spec.coldPerSecond() * COLD_CAPACITY_SHARE)
                : requestsPerSecond;
    }

    /** Returns the service whose keys are granted. */
    public ServiceName service() {
        return service;
    }

    /** Returns the latest plan with moves, once. */
    public Optional<PlacementPlan> takePlan() {
        Optional<PlacementPlan> taken = latestPlan;
        latestPlan = Optional.empty();
        return taken;
    }

    /** Returns the moves that ended since the last call. */
    public List<EndedMove> takeEndedMoves() {
        List<EndedMove> taken = List.copyOf(endedMoves);
        endedMoves.clear();
        return taken;
    }

    public ShardTable table() {
        return table;
    }

    public boolean leading() {
        return leading;
    }
}
