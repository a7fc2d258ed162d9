package org.dragonflymux.core.shard;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.random.RandomGenerator;
import java.util.stream.IntStream;
import org.dragonflymux.core.name.TargetId;
import org.dragonflymux.core.shard.ShardPlanner.PlannedMove;

/**
 * Owners of keys with slots and queues under a random load, and the moves that the planner makes there. A request that would
 * wait at its owner for longer than its objective allows is refused.
 */
final class PlacementModel {

    private static final long PLAN_INTERVAL_MILLIS = 200;
    /** Requests become known to the grantor by the reports of the hosts. */
    private static final long REPORT_DELAY_MILLIS = 200;
    /** The writes to the store and the calls of one move. The release also waits for running work. */
    private static final long MOVE_CALLS_MILLIS = 80;

    private static final double MILLIS_PER_SECOND = 1000;
    private static final double COLD_CAPACITY_SHARE = 0.6;

    private final Service service;
    private final RandomGenerator random;
    private final KeyLoad load = KeyLoad.empty();
    private final double[][] slotFreeAt;
    private final double[] speeds;
    private final boolean[] usable;
    private final boolean[] cold;
    private final Map<Assignment, Long> moveEnds = new HashMap<>();
    private final Map<Assignment, List<Request>> held = new HashMap<>();
    private final List<Request> unreported = new ArrayList<>();
    private final TargetId[] previousOwners = new TargetId[KeyRange.ALL.size()];
    private ShardTable table;
    private double now;
    private long nextPlanAt;
    private Optional<int[]> fixedOwners = Optional.empty();

    /** A partitioned service: its targets, their slots, its load, how long a request takes and may wait, and a seed. */
    record Service(
            int targets, int slots, double requestsPerSecond, double workMillis, double objectiveMillis, long seed) {

        double capacityPerSecond() {
            return slots * MILLIS_PER_SECOND / workMillis;
        }
    }

    /**
     * What happened in a period.
     *
     * @param returnedKeys how often a key moved back to the owner before the present one, within the period
     * @param lastMoveMillis when the last move was planned, from the start of the period
     */
    record Outcome(
            int requests,
            int refused,
            int delayedByMoves,
            int moves,
            long movedKeys,
            long returnedKeys,
            int mostAssignments,
            double lastMoveMillis) {

        double refusedShare() {
            return (double) refused / requests;
        }
    }

    private record Request(double arrivedAt, int key) {}

    private PlacementModel(Service service, double[] speeds) {
        this.service = service;
        this.random = new SplittableRandom(service.seed());
        this.speeds = IntStream.range(0, service.targets())
                .mapToDouble(i -> speeds[i % speeds.length])
                .toArray();
        this.slotFreeAt = new double[service.targets()][service.slots()];
        this.usable = new boolean[service.targets()];
        Arrays.fill(usable, true);
        this.cold = new boolean[service.targets()];
        // The first table is made before any speed was measured.
        this.table = ShardPlanner.initial(IntStream.range(0, service.targets())
                .mapToObj(i -> new PlanTarget(id(i), 1, service.capacityPerSecond(), true))
                .toList());
    }

    static PlacementModel of(Service service, double... speeds) {
        return new PlacementModel(service, speeds);
    }

    private static TargetId id(int target) {
        return TargetId.of("t%04d".formatted(target));
    }

    private static int index(TargetId id) {
        return Integer.parseInt(id.value().substring(1));
    }

    /** Stops placing keys for a target, which still serves those that it has. */
    void leave(int target) {
        usable[target] = false;
    }

    /** Marks a target as cold, during which it takes a tenth of its usual requests, or as warm again. */
    void setCold(int target, boolean isCold) {
        cold[target] = isCold;
    }

    int ownedKeys(int target) {
        return table.assignments().stream()
                .filter(row -> row.owner().equals(id(target)))
                .mapToInt(row -> row.range().size())
                .sum();
    }

    int assignments() {
        return table.assignments().size();
    }

    /** Returns the owner of a key, or its next owner during a move. */
    int ownerOf(int key) {
        Assignment assignment = table.assignmentOf(key).orElseThrow();
        return index(assignment.move().map(Move::to).orElse(assignment.owner()));
    }

    /** Returns the load that a target gets by the placement, in requests per second. */
    double loadOf(int target, double[] weights) {
        double owned = IntStream.range(0, weights.length)
                .filter(key -> ownerOf(key) == target)
                .mapToDouble(key -> weights[key])
                .sum();
        return owned / Arrays.stream(weights).sum() * service.requestsPerSecond();
    }

    /** Returns the speed of a target, which is paced while it is cold. */
    private double speed(int target) {
        return cold[target] ? speeds[target] / 10 : speeds[target];
    }

    /** Returns the capacity that the grantor plans with, which leaves a part of a cold target's rate unused. */
    private double plannedCapacity(int target) {
        return service.capacityPerSecond() * speed(target) * (cold[target] ? COLD_CAPACITY_SHARE : 1);
    }

    private List<PlanTarget> planTargets() {
        return IntStream.range(0, speeds.length)
                .mapToObj(i -> new PlanTarget(id(i), 1, plannedCapacity(i), usable[i]))
                .toList();
    }

    /** Places each key by the true load, at once and without cost, as a planner with complete knowledge would. */
    void placeWithCompleteKnowledge(double[] weights) {
        double total = Arrays.stream(weights).sum();
        int[] owners = new int[weights.length];
        double[] assigned = new double[speeds.length];
        PriorityQueue<Integer> byLoad = new PriorityQueue<>(Comparator.comparingDouble(i -> assigned[i] / speed(i)));
        IntStream.range(0, speeds.length).filter(i -> usable[i]).boxed().forEach(byLoad::add);
        List<Integer> keys = IntStream.range(0, weights.length)
                .boxed()
                .sorted(Comparator.comparingDouble(key -> -weights[key]))
                .toList();
        for (int key : keys) {
            double weight = weights[key] / total;
            // A heavy key goes where it causes the least utilization, a light one to the least utilized target.
            int best = weight * speeds.length < 0.1
                    ? byLoad.peek()
                    : IntStream.range(0, speeds.length)
                            .filter(i -> usable[i])
                            .boxed()
                            .min(Comparator.comparingDouble(i -> (assigned[i] + weight) / speed(i)))
                            .orElseThrow();
            byLoad.remove(best);
            assigned[best] += weight;
            owners[key] = best;
            byLoad.add(best);
        }
        fixedOwners = Optional.of(owners);
    }

    /** Runs the load for a time; the weights tell how the requests are spread over the keys. */
    Outcome run(double[] weights, double millis) {
        double[] cumulative = weights.clone();
        Arrays.parallelPrefix(cumulative, Double::sum);
        double start = now;
        Arrays.fill(previousOwners, null);
        Count count = new Count();
        double mean = MILLIS_PER_SECOND / service.requestsPerSecond();
        while (now < start + millis) {
            double next = now - Math.log(1 - random.nextDouble()) * mean;
            while (nextPlanAt <= next) {
                endMoves(nextPlanAt, count);
                plan(nextPlanAt, count, start);
                nextPlanAt += PLAN_INTERVAL_MILLIS;
            }
            now = next;
            endMoves(now, count);
            double drawn = random.nextDouble() * cumulative[cumulative.length - 1];
            int found = Arrays.binarySearch(cumulative, drawn);
            arrive(new Request(now, Math.min(found < 0 ? -found - 1 : found + 1, KeyRange.MAX_KEY)), count);
        }
        return new Outcome(
                count.requests,
                count.refused,
                count.delayed,
                count.moves,
                count.movedKeys,
                count.returnedKeys,
                count.mostAssignments,
                count.lastMoveMillis);
    }

    private static final class Count {
        private int requests;
        private int refused;
        private int delayed;
        private int moves;
        private long movedKeys;
        private long returnedKeys;
        private int mostAssignments;
        private double lastMoveMillis;
    }

    private void arrive(Request request, Count count) {
        count.requests++;
        unreported.add(request);
        if (fixedOwners.isPresent()) {
            serve(request, fixedOwners.get()[request.key()], now, count);
            return;
        }
        Assignment assignment = table.assignmentOf(request.key()).orElseThrow();
        if (assignment.move().isPresent()) {
            count.delayed++;
            held.computeIfAbsent(assignment, _ -> new ArrayList<>()).add(request);
        } else {
            serve(request, index(assignment.owner()), now, count);
        }
    }

    private void serve(Request request, int target, double at, Count count) {
        double[] slots = slotFreeAt[target];
        int first = IntStream.range(0, slots.length)
                .boxed()
                .min(Comparator.comparingDouble(i -> slots[i]))
                .orElseThrow();
        double begin = Math.max(at, slots[first]);
        double work = service.workMillis() / speeds[target];
        if (begin + work - request.arrivedAt() > service.objectiveMillis()) {
            count.refused++;
        } else {
            slots[first] = begin + service.workMillis() / speed(target);
        }
    }

    private void endMoves(double at, Count count) {
        for (Assignment moving : List.copyOf(moveEnds.keySet())) {
            long end = moveEnds.get(moving);
            if (end <= at) {
                moveEnds.remove(moving);
                Move move = moving.move().orElseThrow();
                table = table.with(new Assignment(moving.range(), move.to(), 1, move.fence(), Optional.empty()));
                Optional.ofNullable(held.remove(moving))
                        .ifPresent(requests -> requests.forEach(r -> serve(r, index(move.to()), end, count)));
            }
        }
    }

    private void plan(long at, Count count, double start) {
        while (!unreported.isEmpty() && unreported.getFirst().arrivedAt() <= at - REPORT_DELAY_MILLIS) {
            load.recordRequest(unreported.removeFirst().key(), at);
        }
        if (fixedOwners.isPresent()) {
            return;
        }
        List<PlanTarget> targets = planTargets();
        for (PlannedMove planned :
                ShardPlanner.plan(table, targets, load.windows(at)).moves()) {
            Assignment owner = table.assignmentOf(planned.range().first()).orElseThrow();
            long fence = table.lastFence() + Move.FENCES;
            Assignment moving = new Assignment(
                    planned.range(), owner.owner(), 1, owner.fence(), Optional.of(new Move(planned.to(), 1, fence)));
            table = table.with(moving);
            double work = service.workMillis() / speeds[index(owner.owner())];
            moveEnds.put(moving, at + MOVE_CALLS_MILLIS + Math.round(work));
            count.moves++;
            count.movedKeys += planned.range().size();
            count.lastMoveMillis = at - start;
            for (int key = planned.range().first(); key <= planned.range().last(); key++) {
                count.returnedKeys += planned.to().equals(previousOwners[key]) ? 1 : 0;
                previousOwners[key] = owner.owner();
            }
        }
        table = ShardPlanner.mergeAdjacentRanges(table, targets.size());
        count.mostAssignments = Math.max(count.mostAssignments, assignments());
    }
}
