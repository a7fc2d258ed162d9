package org.dragonflymux.core.shard;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.dragonflymux.core.name.TargetId;

/**
 * Moves keys away from targets that cannot own them, and small quiet ranges to the owners of adjacent ones, so that they can be
 * merged.
 */
final class Evacuation {

    /** The most moves away from lost targets in progress, if there are fewer targets that can take keys. */
    private static final int MIN_EVACUATION_LIMIT = 64;

    private static final int MAX_CONSOLIDATIONS_PER_PLAN = 8;
    /** A range is small if it has fewer keys than an even share per target divided by this number. */
    private static final int SMALL_RANGE_DIVISOR = 12;
    /** Above this number of assignments per target, small ranges move to the owners of adjacent ranges. */
    private static final int CONSOLIDATE_ABOVE_PER_TARGET = 2;

    private static final double PIECES_PER_TARGET = 3;

    private final PlanningState state;

    Evacuation(PlanningState state) {
        this.state = state;
    }

    void evacuateUnusableTargets() {
        if (state.usableTargets == 0) {
            return;
        }
        double loadPerPiece = state.loads.total() / state.usableTargets / PIECES_PER_TARGET;
        int maxMoves = Math.max(MIN_EVACUATION_LIMIT, state.usableTargets);
        state.table.assignments().stream()
                .filter(assignment -> assignment.move().isEmpty() && !state.ownerUsable(assignment))
                .sorted(Comparator.comparingDouble(assignment -> -state.load(assignment.owner(), assignment.range())))
                .forEach(assignment -> {
                    for (KeyRange piece : pieces(assignment, loadPerPiece)) {
                        if (state.activeMoves + state.moves.size() < maxMoves) {
                            destinationOf(piece, assignment).ifPresent(to -> state.move(piece, assignment.owner(), to));
                        }
                    }
                });
    }

    /** Returns the next owner of a piece; a small piece goes to the owner of an adjacent range to allow a merge. */
    private Optional<TargetId> destinationOf(KeyRange piece, Assignment from) {
        Optional<TargetId> adjacentOwner =
                piece.size() < smallSize() ? adjacentOwnerWithSpareCapacity(piece, from) : Optional.empty();
        return adjacentOwner
                .or(() -> state.leastUtilized(from.owner()).map(PlanTarget::id))
                .or(() -> restartedOwner(from));
    }

    private Optional<TargetId> restartedOwner(Assignment from) {
        return Optional.ofNullable(state.targets.get(from.owner()))
                .filter(PlanTarget::usable)
                .filter(owner -> owner.incarnation() != from.incarnation())
                .map(PlanTarget::id);
    }

    private int smallSize() {
        return KeyRange.ALL.size() / state.targets.size() / SMALL_RANGE_DIVISOR;
    }

    private Optional<TargetId> adjacentOwnerWithSpareCapacity(KeyRange piece, Assignment from) {
        return Stream.of(state.table.assignmentOf(piece.first() - 1), state.table.assignmentOf(piece.last() + 1))
                .flatMap(Optional::stream)
                .map(PlanningState::nextOwner)
                .filter(id -> !id.equals(from.owner()))
                .filter(id ->
                        state.targets.containsKey(id) && state.targets.get(id).usable())
                .filter(id -> state.utilization(id)
                                + state.load(from.owner(), piece) / state.weightedCapacity(state.targets.get(id))
                        < state.maxAdjacentOwnerUtilization)
                .min(Comparator.comparingDouble(state::utilization));
    }

    /** Moves small ranges with little load to the owners of adjacent ranges if there are many assignments. */
    void consolidate() {
        if (state.table.assignments().size() <= state.targets.size() * CONSOLIDATE_ABOVE_PER_TARGET) {
            return;
        }
        Set<Assignment> planned = state.moves.stream()
                .flatMap(move -> state.table.assignmentOf(move.range().first()).stream())
                .collect(Collectors.toSet());
        state.table.assignments().stream()
                .filter(assignment -> assignment.move().isEmpty())
                .filter(assignment -> assignment.range().size() < smallSize())
                .filter(assignment -> !planned.contains(assignment))
                .filter(assignment -> !adjoinsOwnRange(assignment))
                .filter(this::quiet)
                .sorted(Comparator.comparingDouble(
                                (Assignment assignment) -> state.load(assignment.owner(), assignment.range()))
                        .thenComparingInt(assignment -> assignment.range().size()))
                .limit(MAX_CONSOLIDATIONS_PER_PLAN)
                .forEach(assignment -> adjacentOwnerWithSpareCapacity(assignment.range(), assignment)
                        .ifPresent(to -> state.move(assignment.range(), assignment.owner(), to)));
    }

    /** Returns whether a range can be merged with one beside it, so that a move would only exchange their owners. */
    private boolean adjoinsOwnRange(Assignment assignment) {
        return Stream.of(
                        state.table.assignmentOf(assignment.range().first() - 1),
                        state.table.assignmentOf(assignment.range().last() + 1))
                .flatMap(Optional::stream)
                .anyMatch(adjacent -> PlanningState.nextOwner(adjacent).equals(assignment.owner()));
    }

    /** Returns whether the next owner of a range would hardly notice its load; a busy range would soon move away again. */
    private boolean quiet(Assignment assignment) {
        return state.loads.highest(assignment.range()) < PlanningState.QUIET_LOAD_SHARE * state.meanCapacity;
    }

    private List<KeyRange> pieces(Assignment assignment, double loadPerPiece) {
        KeyRange range = assignment.range();
        KeyLoad.Snapshot load = state.loads.window(assignment.owner(), range);
        double inRange = load.requestsPerSecond(range);
        int fairSize = KeyRange.ALL.size() / state.targets.size() + 1;
        int bySize = (range.size() + fairSize - 1) / fairSize;
        int byLoad = loadPerPiece <= 0 ? 1 : (int) Math.ceil(inRange / loadPerPiece);
        int count = Math.clamp(Math.max(bySize, byLoad), 1, Math.min(state.targets.size(), range.size()));
        List<KeyRange> result = new ArrayList<>();
        int first = range.first();
        int begin = load.indexOf(range.first());
        int end = load.indexOf(range.last() + 1);
        for (int i = 1; i <= count && first <= range.last(); i++) {
            int last = i == count ? range.last() : cut(load, range, begin, end, i, count);
            last = Math.clamp(last, first, range.last());
            result.add(new KeyRange(first, last));
            first = last + 1;
        }
        return result;
    }

    private static int cut(KeyLoad.Snapshot load, KeyRange range, int begin, int end, int part, int parts) {
        if (end - begin < parts) {
            return range.first() + (int) ((long) range.size() * part / parts) - 1;
        }
        return load.sortedKeys()[begin + (int) ((long) (end - begin) * part / parts) - 1];
    }
}
