package org.dragonflymux.core.shard;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.dragonflymux.core.name.TargetId;

/**
 * Plans which keys move: away from targets that can't own any, and from crowded targets to those with room. Of crowded
 * targets the narrowest busy ranges move first, since a move costs by the number of its keys.
 */
public final class ShardPlanner {

    private static final int MAX_BALANCING_MOVES = 4;
    private static final int MAX_BALANCING_AT_ONCE = 24;
    private static final int MAX_MOVES_AT_ONCE = 64;
    private static final double CROWDED = 0.4;
    private static final double IMBALANCE = 1.35;
    private static final double MIN_GAIN = 0.12;
    private static final int MAX_JOINS = 16;
    private static final int MAX_CONSOLIDATIONS = 8;
    /** A range of less than this part of a target's even share is small. */
    private static final int SMALL_PART = 12;
    /** More assignments than this for each target are joined where neighbours have the same owner. */
    private static final int ASSIGNMENTS_PER_TARGET = 2;
    /** Above this many, small ranges move to their neighbours' owners. */
    private static final int FEW_ASSIGNMENTS_PER_TARGET = 5;

    private static final double PIECES_PER_TARGET = 3;
    /** What any move costs, in keys. */
    private static final double MOVE_KEYS = 8;
    /** What an assignment more costs, in keys, where there is one for each target. */
    private static final double ASSIGNMENT_KEYS = 8;
    /** How much more than by their speed faster targets get while there is room: there each request takes less time. */
    private static final double SPEED_PREFERENCE = 0.8;

    private ShardPlanner() {}

    /**
     * A range that is to move.
     *
     * @param range part of one assignment
     * @param to the next owner
     */
    public record PlannedMove(KeyRange range, TargetId to) {}

    /** Returns the first table: keys in equal parts by what targets bear. */
    public static ShardTable initial(List<PlanTarget> targets) {
        List<PlanTarget> usable = targets.stream()
                .filter(PlanTarget::usable)
                .sorted(Comparator.comparing(PlanTarget::id))
                .toList();
        double total = usable.stream().mapToDouble(PlanTarget::perSecond).sum();
        ShardTable table = ShardTable.EMPTY;
        double before = 0;
        int first = KeyRange.MIN_KEY;
        for (int i = 0; i < usable.size(); i++) {
            before += usable.get(i).perSecond();
            int last = i == usable.size() - 1
                    ? KeyRange.MAX_KEY
                    : (int) Math.round(before / total * KeyRange.ALL.size()) - 1;
            if (last >= first) {
                PlanTarget target = usable.get(i);
                table = table.with(new Assignment(
                        new KeyRange(first, last), target.id(), target.incarnation(), i + 1L, Optional.empty()));
                first = last + 1;
            }
        }
        return table;
    }

    /** Returns what is to move now. */
    public static List<PlannedMove> plan(ShardTable table, List<PlanTarget> targets, KeyLoad.Snapshot load) {
        return new Planning(table, targets, load).plan();
    }

    /**
     * Returns the table with neighbouring ranges of the same owner joined under one new fencing token, if there are many
     * assignments: each of them has to be renewed by a call of its own.
     */
    public static ShardTable join(ShardTable table, int targets) {
        ShardTable joined = table;
        for (int i = 0; i < MAX_JOINS && joined.assignments().size() > targets * ASSIGNMENTS_PER_TARGET; i++) {
            Optional<ShardTable> next = joinOnce(joined);
            if (next.isEmpty()) {
                return joined;
            }
            joined = next.get();
        }
        return joined;
    }

    private static Optional<ShardTable> joinOnce(ShardTable table) {
        List<Assignment> rows = table.assignments();
        for (int i = 0; i + 1 < rows.size(); i++) {
            Assignment left = rows.get(i);
            Assignment right = rows.get(i + 1);
            boolean joinable = left.owner().equals(right.owner())
                    && left.incarnation() == right.incarnation()
                    && left.move().isEmpty()
                    && right.move().isEmpty()
                    && left.range().last() + 1 == right.range().first();
            if (joinable) {
                KeyRange range =
                        new KeyRange(left.range().first(), right.range().last());
                return Optional.of(table.with(new Assignment(
                        range, left.owner(), left.incarnation(), table.lastFence() + 1, Optional.empty())));
            }
        }
        return Optional.empty();
    }

    /** One run of the planner. */
    private static final class Planning {

        private final ShardTable table;
        private final KeyLoad.Snapshot load;
        private final Map<TargetId, PlanTarget> targets = new HashMap<>();
        private final Map<TargetId, Double> perSecond = new HashMap<>();
        private final Map<TargetId, Integer> keys = new HashMap<>();
        private final List<PlannedMove> moves = new ArrayList<>();
        private final Map<TargetId, List<Assignment>> settled = new HashMap<>();
        private final double meanPerSecond;
        private final double preference;
        private final double roomy;
        private int moving;
        private int balancing;

        Planning(ShardTable table, List<PlanTarget> targets, KeyLoad.Snapshot load) {
            this.table = table;
            this.load = load;
            for (PlanTarget target : targets) {
                this.targets.put(target.id(), target);
                perSecond.put(target.id(), 0.0);
                keys.put(target.id(), 0);
            }
            this.meanPerSecond = targets.stream()
                    .mapToDouble(PlanTarget::perSecond)
                    .average()
                    .orElse(1);
            double all = load.perSecond(KeyRange.ALL);
            double room = Math.max(0, 1 - all / Math.max(1, meanPerSecond * targets.size()));
            this.preference = SPEED_PREFERENCE * room;
            this.roomy = Math.max(CROWDED, 1 - room);
        }

        /** Returns the load that a target should carry at most, which favours fast targets while there is room. */
        private double share(PlanTarget target) {
            return target.perSecond() * Math.pow(target.perSecond() / meanPerSecond, preference);
        }

        List<PlannedMove> plan() {
            countLoads();
            evacuateUnusable();
            balance();
            consolidate();
            return moves;
        }

        private void countLoads() {
            for (Assignment assignment : table.assignments()) {
                TargetId holder = assignment.move().map(Move::to).orElse(assignment.owner());
                perSecond.merge(holder, load.perSecond(assignment.range()), Double::sum);
                keys.merge(holder, assignment.range().size(), Integer::sum);
                if (assignment.move().isPresent()) {
                    moving++;
                    balancing += ownerUsable(assignment) ? 1 : 0;
                } else {
                    settled.computeIfAbsent(assignment.owner(), _ -> new ArrayList<>())
                            .add(assignment);
                }
            }
        }

        private boolean ownerUsable(Assignment assignment) {
            PlanTarget owner = targets.get(assignment.owner());
            return owner != null && owner.usable() && owner.incarnation() == assignment.incarnation();
        }

        private void evacuateUnusable() {
            double total =
                    perSecond.values().stream().mapToDouble(Double::doubleValue).sum();
            long usable = targets.values().stream().filter(PlanTarget::usable).count();
            if (usable == 0) {
                return;
            }
            double quantum = total / usable / PIECES_PER_TARGET;
            for (Assignment assignment : table.assignments()) {
                if (assignment.move().isEmpty() && !ownerUsable(assignment)) {
                    for (KeyRange piece : pieces(assignment.range(), quantum)) {
                        if (moving + moves.size() < MAX_MOVES_AT_ONCE) {
                            destination(piece, assignment).ifPresent(to -> move(piece, assignment.owner(), to));
                        }
                    }
                }
            }
        }

        /** Returns where a piece goes: to a neighbour's owner if it is small, so that the two can be joined. */
        private Optional<TargetId> destination(KeyRange piece, Assignment from) {
            Optional<TargetId> neighbour = piece.size() < smallSize() ? roomyNeighbour(piece, from) : Optional.empty();
            return neighbour.or(() -> leastUsed(from.owner()).map(PlanTarget::id));
        }

        private int smallSize() {
            return KeyRange.ALL.size() / targets.size() / SMALL_PART;
        }

        private Optional<TargetId> roomyNeighbour(KeyRange piece, Assignment from) {
            return Stream.of(table.assignmentOf(piece.first() - 1), table.assignmentOf(piece.last() + 1))
                    .flatMap(Optional::stream)
                    .map(assignment -> assignment.move().map(Move::to).orElse(assignment.owner()))
                    .filter(id -> !id.equals(from.owner()))
                    .filter(id -> targets.containsKey(id) && targets.get(id).usable())
                    .filter(id -> use(id) + load.perSecond(piece) / share(targets.get(id)) < roomy)
                    .min(Comparator.comparingDouble(this::use));
        }

        /** Moves small ranges with little load to their neighbours' owners where there are many assignments. */
        private void consolidate() {
            if (table.assignments().size() <= targets.size() * FEW_ASSIGNMENTS_PER_TARGET) {
                return;
            }
            Set<Assignment> planned = moves.stream()
                    .flatMap(move -> table.assignmentOf(move.range().first()).stream())
                    .collect(Collectors.toSet());
            table.assignments().stream()
                    .filter(assignment -> assignment.move().isEmpty())
                    .filter(assignment -> assignment.range().size() < smallSize())
                    .filter(assignment -> !planned.contains(assignment))
                    .sorted(Comparator.comparingDouble((Assignment assignment) -> load.perSecond(assignment.range()))
                            .thenComparingInt(assignment -> assignment.range().size()))
                    .limit(MAX_CONSOLIDATIONS)
                    .forEach(assignment -> roomyNeighbour(assignment.range(), assignment)
                            .ifPresent(to -> move(assignment.range(), assignment.owner(), to)));
        }

        private List<KeyRange> pieces(KeyRange range, double quantum) {
            double inRange = load.perSecond(range);
            int fairSize = KeyRange.ALL.size() / targets.size() + 1;
            int bySize = (range.size() + fairSize - 1) / fairSize;
            int byLoad = quantum <= 0 ? 1 : (int) Math.ceil(inRange / quantum);
            int count = Math.clamp(Math.max(bySize, byLoad), 1, Math.min(targets.size(), range.size()));
            List<KeyRange> result = new ArrayList<>();
            int first = range.first();
            int begin = load.indexOf(range.first());
            int end = load.indexOf(range.last() + 1);
            for (int i = 1; i <= count && first <= range.last(); i++) {
                int last = i == count ? range.last() : cut(range, begin, end, i, count);
                last = Math.clamp(last, first, range.last());
                result.add(new KeyRange(first, last));
                first = last + 1;
            }
            return result;
        }

        private int cut(KeyRange range, int begin, int end, int part, int parts) {
            if (end - begin < parts) {
                return range.first() + (int) ((long) range.size() * part / parts) - 1;
            }
            return load.sortedKeys()[begin + (int) ((long) (end - begin) * part / parts) - 1];
        }

        private double use(TargetId id) {
            PlanTarget target = targets.get(id);
            return target == null ? 0 : perSecond.get(id) / Math.max(0.1, share(target));
        }

        private Optional<PlanTarget> leastUsed(TargetId except) {
            return targets.values().stream()
                    .filter(PlanTarget::usable)
                    .filter(target -> !target.id().equals(except))
                    .min(Comparator.comparingDouble((PlanTarget target) -> use(target.id()))
                            .thenComparing(target -> keys.get(target.id()))
                            .thenComparing(PlanTarget::id));
        }

        private void move(KeyRange range, TargetId from, TargetId to) {
            moves.add(new PlannedMove(range, to));
            double moved = load.perSecond(range);
            perSecond.merge(from, -moved, Double::sum);
            perSecond.merge(to, moved, Double::sum);
            keys.merge(from, -range.size(), Integer::sum);
            keys.merge(to, range.size(), Integer::sum);
        }

        private void balance() {
            if (targets.values().stream().filter(PlanTarget::usable).count() < 2) {
                return;
            }
            // Moves away from lost targets may wait for a long time; those between others go on beside them.
            for (int i = 0; i < MAX_BALANCING_MOVES && balancing + i < MAX_BALANCING_AT_ONCE; i++) {
                if (!balanceOnce()) {
                    return;
                }
            }
        }

        private boolean balanceOnce() {
            TargetId hottest = targets.values().stream()
                    .filter(target -> settled.containsKey(target.id()))
                    .map(PlanTarget::id)
                    .max(Comparator.comparingDouble(this::use).thenComparing(Comparator.naturalOrder()))
                    .orElse(null);
            if (hottest == null) {
                return false;
            }
            PlanTarget coolest = leastUsed(hottest).orElse(null);
            if (coolest == null || !worthwhile(hottest, coolest.id())) {
                return false;
            }
            double excess = perSecond.get(hottest)
                    - (perSecond.get(hottest) + perSecond.get(coolest.id()))
                            * share(targets.get(hottest))
                            / (share(targets.get(hottest)) + share(coolest));
            Optional<KeyRange> range = cheapest(hottest, excess);
            if (range.isEmpty()) {
                return false;
            }
            double after = (perSecond.get(coolest.id()) + load.perSecond(range.get())) / share(coolest);
            if (use(hottest) - after < MIN_GAIN) {
                settled.remove(hottest);
                return true;
            }
            settled.remove(hottest);
            move(range.get(), hottest, coolest.id());
            return true;
        }

        private boolean worthwhile(TargetId hottest, TargetId coolest) {
            double most = use(hottest);
            double gain = most - use(coolest);
            return most > CROWDED
                            && most > IMBALANCE * use(coolest)
                            && gain > Math.max(MIN_GAIN, chance(hottest) + chance(coolest))
                    || keys.get(coolest) == 0 && most > 0;
        }

        /** Returns by how much the use of a target may be off, since the load is a sample. */
        private double chance(TargetId id) {
            return Math.sqrt(perSecond.get(id) * load.perSecond()) / Math.max(0.1, share(targets.get(id))) / 2;
        }

        /** Returns the cheapest range that carries at most the given load, but nearly that much. */
        private Optional<KeyRange> cheapest(TargetId from, double wantedPerSecond) {
            int wanted = (int) (wantedPerSecond / load.perSecond());
            KeyRange best = null;
            double bestValue = 0;
            for (Assignment assignment : settled.get(from)) {
                int begin = load.indexOf(assignment.range().first());
                int end = load.indexOf(assignment.range().last() + 1);
                int count = Math.min(wanted, end - begin);
                for (int i = begin; count > 0 && i + count <= end; i++) {
                    KeyRange busy = new KeyRange(load.sortedKeys()[i], load.sortedKeys()[i + count - 1]);
                    // Quiet keys at an end of the assignment go along, so that it isn't cut twice.
                    KeyRange wide = new KeyRange(
                            i == begin ? assignment.range().first() : busy.first(),
                            i + count == end ? assignment.range().last() : busy.last());
                    for (KeyRange candidate : List.of(busy, wide)) {
                        double value = load.perSecond(candidate) / cost(candidate, assignment.range());
                        if (value > bestValue) {
                            best = candidate;
                            bestValue = value;
                        }
                    }
                }
            }
            return Optional.ofNullable(best);
        }

        /** Returns what moving a range costs, in keys: those that move, and the assignments that are added. */
        private double cost(KeyRange part, KeyRange whole) {
            int added = (part.first() > whole.first() ? 1 : 0) + (part.last() < whole.last() ? 1 : 0);
            double perTarget = (double) table.assignments().size() / targets.size();
            return part.size() + MOVE_KEYS + added * ASSIGNMENT_KEYS * perTarget * perTarget;
        }
    }
}
