package org.dragonflymux.core.shard;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * The assignment of the shard keys of a service to targets.
 *
 * @param lastFence the highest fencing token issued so far
 * @param assignments the assignments, ordered by key and without overlap
 */
public record ShardTable(long lastFence, List<Assignment> assignments) {

    /** A table in which no key has an owner. */
    public static final ShardTable EMPTY = new ShardTable(0, List.of());

    /** Creates an immutable table; adjacent ranges with the same ownership are merged. */
    public ShardTable {
        assignments = merged(assignments);
    }

    private static List<Assignment> merged(List<Assignment> assignments) {
        List<Assignment> sorted = new ArrayList<>(assignments);
        sorted.sort(Comparator.comparing(Assignment::range));
        List<Assignment> result = new ArrayList<>();
        for (Assignment next : sorted) {
            Assignment last = result.isEmpty() ? null : result.getLast();
            if (last != null && last.range().last() + 1 == next.range().first() && last.sameOwnership(next)) {
                result.set(
                        result.size() - 1,
                        last.withRange(
                                new KeyRange(last.range().first(), next.range().last())));
            } else {
                result.add(next);
            }
        }
        return List.copyOf(result);
    }

    /** Returns the assignment that contains a key, if any. */
    public Optional<Assignment> assignmentOf(int key) {
        int low = 0;
        int high = assignments.size() - 1;
        while (low <= high) {
            int middle = (low + high) >>> 1;
            Assignment candidate = assignments.get(middle);
            if (key < candidate.range().first()) {
                high = middle - 1;
            } else if (key > candidate.range().last()) {
                low = middle + 1;
            } else {
                return Optional.of(candidate);
            }
        }
        return Optional.empty();
    }

    /** Returns the same owners and moves under new fencing tokens, which are above the given one and all of this table. */
    public ShardTable renumberedAbove(long floor) {
        long last = Math.max(floor, lastFence);
        List<Assignment> result = new ArrayList<>();
        for (Assignment assignment : assignments) {
            long fence = ++last;
            Optional<Move> move = Optional.empty();
            if (assignment.move().isPresent()) {
                last += Move.FENCES;
                Move moving = assignment.move().get();
                move = Optional.of(new Move(moving.to(), moving.incarnation(), last));
            }
            result.add(new Assignment(assignment.range(), assignment.owner(), assignment.incarnation(), fence, move));
        }
        return new ShardTable(last, result);
    }

    /** Returns the table with the given assignment, which replaces the previous assignments of its keys. */
    public ShardTable with(Assignment change) {
        List<Assignment> result = new ArrayList<>();
        for (Assignment assignment : assignments) {
            KeyRange range = assignment.range();
            KeyRange changed = change.range();
            if (range.last() < changed.first() || range.first() > changed.last()) {
                result.add(assignment);
                continue;
            }
            if (range.first() < changed.first()) {
                result.add(assignment.withRange(new KeyRange(range.first(), changed.first() - 1)));
            }
            if (range.last() > changed.last()) {
                result.add(assignment.withRange(new KeyRange(changed.last() + 1, range.last())));
            }
        }
        result.add(change);
        return new ShardTable(
                Math.max(
                        lastFence,
                        Math.max(change.fence(), change.move().map(Move::fence).orElse(0L))),
                result);
    }
}
