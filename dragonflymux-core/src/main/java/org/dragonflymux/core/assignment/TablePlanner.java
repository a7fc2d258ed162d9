package org.dragonflymux.core.assignment;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.dragonflymux.core.document.AssignmentTable;
import org.dragonflymux.core.document.HostRecord;
import org.dragonflymux.core.document.Lane;
import org.dragonflymux.core.document.LaneState;
import org.dragonflymux.core.document.TargetDeclaration;
import org.dragonflymux.core.document.UnitMove;
import org.dragonflymux.core.name.FailureDomain;
import org.dragonflymux.core.name.HostId;
import org.dragonflymux.core.name.TargetId;

/**
 * Computes the next assignment table of a service.
 *
 * <p>A unit changes its owner in only two cases: the dispatcher of the current owner closed the unit's move, or
 * reported the target lost with the lane's current fencing token. A lane changes its dispatcher only if the dispatcher
 * closed it or the dispatcher's session is gone.
 */
public final class TablePlanner {

    private static final int MAX_EVACUATING_UNITS = 64;
    private static final int MAX_BALANCING_UNITS = 4;
    private static final double HOT_LANE_RATIO = 1.3;
    private static final double HOT_LANE_MIN_RATE = 20.0;

    private final PlanInput input;
    private final TableDraft draft;
    private final Map<TargetId, TargetDeclaration> declarations = new HashMap<>();

    private TablePlanner(PlanInput input, TableDraft draft) {
        this.input = input;
        this.draft = draft;
        input.service().targets().forEach(target -> declarations.put(target.id(), target));
    }

    private Optional<TargetDeclaration> declaration(TargetId target) {
        return Optional.ofNullable(declarations.get(target));
    }

    /** Returns the first table of a service. */
    public static AssignmentTable create(PlanInput input) {
        TableDraft draft =
                TableDraft.create(input.service().name(), input.service().partitions());
        draft.assigner = input.self();
        draft.term = 1;
        return new TablePlanner(input, draft).plan();
    }

    /** Returns the table that follows a table, equal to it if nothing needs to change. */
    public static AssignmentTable next(PlanInput input, AssignmentTable table) {
        TableDraft draft = TableDraft.of(table);
        if (!input.self().equals(draft.assigner)) {
            draft.assigner = input.self();
            draft.term++;
        }
        return new TablePlanner(input, draft).plan();
    }

    private AssignmentTable plan() {
        draft.continuityMillis = input.service().continuityMillis();
        chooseStandby();
        addLanes();
        repairDispatchers();
        applyReports();
        commitMoves();
        assignUnownedUnits();
        applyPins();
        evacuate();
        balanceCounts();
        balanceLoad();
        balanceDispatchers();
        removeLanes();
        return draft.build();
    }

    /** Returns the table in which the standby replaces an assigner that gives up its role. */
    public static AssignmentTable handOver(AssignmentTable table) {
        TableDraft draft = TableDraft.of(table);
        draft.assigner = table.standby();
        draft.standby = null;
        draft.term++;
        return draft.build();
    }

    private void chooseStandby() {
        FailureDomain assignerDomain = domainOf(input.self());
        Optional<HostRecord> best = input.liveHosts().values().stream()
                .filter(host -> !host.leaving() && !host.host().equals(draft.assigner))
                .min(Comparator.comparing((HostRecord host) -> standbyRank(host, assignerDomain))
                        .thenComparing(HostRecord::host));
        boolean usable = draft.standby != null && !draft.standby.equals(draft.assigner) && isRemaining(draft.standby);
        boolean asGood = usable
                && standbyRank(input.liveHosts().get(draft.standby), assignerDomain)
                        <= standbyRank(best.orElseThrow(), assignerDomain);
        if (!asGood) {
            draft.standby = best.map(HostRecord::host).orElse(null);
        }
    }

    // With a home domain, assigner and standby are both placed there, so that it keeps working while it is cut off.
    // Without one, they are placed in different domains.
    private int standbyRank(HostRecord host, FailureDomain assignerDomain) {
        FailureDomain home = input.service().home();
        if (home != null) {
            return host.domain().equals(home) ? 0 : 1;
        }
        return host.domain().equals(assignerDomain) ? 1 : 0;
    }

    private FailureDomain domainOf(HostId host) {
        HostRecord live = input.liveHosts().get(host);
        return live == null ? null : live.domain();
    }

    private boolean isRemaining(HostId host) {
        HostRecord live = input.liveHosts().get(host);
        return live != null && !live.leaving();
    }

    private void addLanes() {
        for (TargetDeclaration target : input.service().targets()) {
            draft.lanes.computeIfAbsent(target.id(), id -> new Lane(id, null, 0, LaneState.LOST));
        }
    }

    private void repairDispatchers() {
        for (Lane lane : List.copyOf(draft.lanes.values())) {
            repairDispatcher(lane);
        }
    }

    private void repairDispatcher(Lane lane) {
        boolean gone = lane.dispatcher() == null || !input.liveHosts().containsKey(lane.dispatcher());
        boolean closed = lane.state() == LaneState.CLOSING
                && report(lane).filter(LaneReport::closed).isPresent();
        if (gone || closed) {
            LaneState state = lane.state() == LaneState.LOST ? LaneState.LOST : LaneState.OPEN;
            chooseDispatcher(lane.target(), lanesByHost()).ifPresent(host -> draft.open(lane.target(), host, state));
        } else if (!isRemaining(lane.dispatcher()) && lane.state() != LaneState.CLOSING && anyRemaining()) {
            draft.lanes.put(lane.target(), lane.withState(LaneState.CLOSING));
        }
    }

    private boolean anyRemaining() {
        return input.liveHosts().values().stream().anyMatch(host -> !host.leaving());
    }

    private Optional<HostId> chooseDispatcher(TargetId target, Map<HostId, Long> lanesByHost) {
        return input.liveHosts().values().stream()
                .filter(host -> !host.leaving())
                .min(Comparator.comparing((HostRecord host) -> inTargetDomain(target, host) ? 0 : 1)
                        .thenComparing(host -> lanesByHost.getOrDefault(host.host(), 0L))
                        .thenComparing(HostRecord::host))
                .map(HostRecord::host);
    }

    private boolean inTargetDomain(TargetId target, HostRecord host) {
        return declaration(target)
                .map(TargetDeclaration::domain)
                .filter(host.domain()::equals)
                .isPresent();
    }

    private Map<HostId, Long> lanesByHost() {
        Map<HostId, Long> lanesByHost = new HashMap<>();
        draft.lanes.values().stream()
                .filter(lane -> lane.dispatcher() != null)
                .forEach(lane -> lanesByHost.merge(lane.dispatcher(), 1L, Long::sum));
        return lanesByHost;
    }

    /**
     * Closes one lane at a time to move it to its target's failure domain, or from a host with many lanes to one with
     * few.
     */
    private void balanceDispatchers() {
        boolean settled = draft.moves.isEmpty()
                && draft.lanes.values().stream().noneMatch(lane -> lane.state() == LaneState.CLOSING);
        if (settled) {
            Map<HostId, Long> lanesByHost = lanesByHost();
            draft.lanes.values().stream()
                    .filter(lane -> lane.state() == LaneState.OPEN)
                    .filter(lane -> hasBetterHost(lane, lanesByHost))
                    .findFirst()
                    .ifPresent(lane -> draft.lanes.put(lane.target(), lane.withState(LaneState.CLOSING)));
        }
    }

    private boolean hasBetterHost(Lane lane, Map<HostId, Long> lanesByHost) {
        HostRecord current = input.liveHosts().get(lane.dispatcher());
        HostRecord best = chooseDispatcher(lane.target(), lanesByHost)
                .map(input.liveHosts()::get)
                .orElse(null);
        if (current == null || best == null) {
            return false;
        }
        boolean currentInTargetDomain = inTargetDomain(lane.target(), current);
        boolean bestInTargetDomain = inTargetDomain(lane.target(), best);
        long currentLanes = lanesByHost.getOrDefault(current.host(), 0L);
        long bestLanes = lanesByHost.getOrDefault(best.host(), 0L);
        return currentInTargetDomain == bestInTargetDomain ? currentLanes > 2 * bestLanes + 2 : bestInTargetDomain;
    }

    /** Returns the report on a lane, if it carries the lane's current fencing token. */
    private Optional<LaneReport> report(Lane lane) {
        return Optional.ofNullable(input.reports().get(lane.target())).filter(found -> found.fence() == lane.fence());
    }

    private void applyReports() {
        for (Lane lane : List.copyOf(draft.lanes.values())) {
            TargetHealth health = report(lane).map(LaneReport::health).orElse(TargetHealth.UNCERTAIN);
            if (health == TargetHealth.LOST && lane.state() != LaneState.LOST) {
                markLost(lane);
            } else if (health == TargetHealth.READY && lane.state() == LaneState.LOST) {
                draft.open(lane.target(), lane.dispatcher(), LaneState.OPEN);
            }
        }
    }

    private void markLost(Lane lane) {
        draft.open(lane.target(), lane.dispatcher(), LaneState.LOST);
        draft.moves.values().removeIf(move -> move.to().equals(lane.target()));
        for (int unit = 0; unit < draft.owners.size(); unit++) {
            if (lane.target().equals(draft.owners.get(unit))) {
                UnitMove move = draft.moves.remove(unit);
                draft.owners.set(unit, move == null ? null : move.to());
            }
        }
    }

    private void commitMoves() {
        for (UnitMove move : List.copyOf(draft.moves.values())) {
            Lane from = draft.lanes.get(draft.owners.get(move.unit()));
            if (report(from)
                    .filter(found -> found.closedMoves().contains(move.ticket()))
                    .isPresent()) {
                draft.owners.set(move.unit(), move.to());
                draft.moves.remove(move.unit());
            }
        }
    }

    /** Returns whether keys may be assigned to a target. */
    private boolean eligible(TargetId target) {
        Lane lane = draft.lanes.get(target);
        Optional<TargetDeclaration> declaration = declaration(target);
        return lane != null
                && lane.state() == LaneState.OPEN
                && declaration.isPresent()
                && !input.domainsOut().contains(declaration.get().domain())
                && !input.drained().contains(target)
                && report(lane).map(LaneReport::health).orElse(TargetHealth.UNCERTAIN) != TargetHealth.LEAVING;
    }

    private List<TargetId> eligibleTargets() {
        return draft.lanes.keySet().stream().filter(this::eligible).toList();
    }

    private double unitsPerSlot(TargetId target, Map<TargetId, Integer> units) {
        int slots = declaration(target).map(TargetDeclaration::slots).orElse(1);
        return (double) units.get(target) / slots;
    }

    private Optional<TargetId> leastFilled(List<TargetId> targets, Map<TargetId, Integer> units) {
        return targets.stream()
                .min(Comparator.comparingDouble((TargetId target) -> unitsPerSlot(target, units))
                        .thenComparing(target -> target));
    }

    private void assignUnownedUnits() {
        List<TargetId> targets = eligibleTargets();
        Map<TargetId, Integer> units = draft.unitCounts();
        for (int unit = 0; unit < draft.owners.size(); unit++) {
            if (draft.owners.get(unit) == null) {
                Optional<TargetId> owner = leastFilled(targets, units);
                int unowned = unit;
                owner.ifPresent(target -> {
                    draft.owners.set(unowned, target);
                    units.merge(target, 1, Integer::sum);
                });
            }
        }
    }

    private void applyPins() {
        input.pins().forEach((keyHash, pin) -> {
            int unit = pinUnit(keyHash);
            boolean mustMove =
                    unit >= 0 && !draft.moves.containsKey(unit) && !pin.target().equals(draft.owners.get(unit));
            if (mustMove && eligible(pin.target())) {
                draft.startMove(unit, pin.target());
            }
        });
    }

    /** Returns the unit of a pinned key, split off its partition if necessary, or -1 while the partition is moving. */
    private int pinUnit(String keyHash) {
        int index = draft.pins.indexOf(keyHash);
        if (index >= 0) {
            return draft.partitions() + index;
        }
        int partition = KeyHash.partition(Long.parseUnsignedLong(keyHash, 16), draft.partitions());
        if (draft.moves.containsKey(partition)) {
            return -1;
        }
        draft.pins.add(keyHash);
        draft.owners.add(draft.owners.get(partition));
        return draft.owners.size() - 1;
    }

    private void evacuate() {
        List<TargetId> targets = eligibleTargets();
        Map<TargetId, Integer> units = draft.unitCounts();
        for (int unit = 0; unit < draft.owners.size() && draft.moves.size() < MAX_EVACUATING_UNITS; unit++) {
            TargetId owner = draft.owners.get(unit);
            boolean mustMove =
                    owner != null && !eligible(owner) && draft.lanes.get(owner).state() != LaneState.CLOSING;
            if (mustMove && !draft.moves.containsKey(unit) && !targets.isEmpty()) {
                startMove(unit, leastFilled(targets, units).orElseThrow(), units);
            }
        }
    }

    private void startMove(int unit, TargetId to, Map<TargetId, Integer> units) {
        units.merge(draft.owners.get(unit), -1, Integer::sum);
        units.merge(to, 1, Integer::sum);
        draft.startMove(unit, to);
    }

    private void balanceCounts() {
        List<TargetId> targets = eligibleTargets();
        Map<TargetId, Integer> units = draft.unitCounts();
        while (targets.size() > 1 && draft.moves.size() < MAX_BALANCING_UNITS) {
            TargetId to = leastFilled(targets, units).orElseThrow();
            TargetId from = targets.stream()
                    .max(Comparator.comparingDouble((TargetId target) -> unitsPerSlot(target, units))
                            .thenComparing(target -> target))
                    .orElseThrow();
            // A difference of at least two units, so that a move never triggers the opposite move.
            boolean uneven = units.get(from) - units.get(to) >= 2
                    && unitsPerSlot(from, units) > 1.1 * unitsPerSlot(to, units) + 1;
            Optional<Integer> unit = uneven ? movablePartition(from) : Optional.empty();
            if (unit.isEmpty()) {
                return;
            }
            startMove(unit.get(), to, units);
        }
    }

    private Optional<Integer> movablePartition(TargetId owner) {
        for (int unit = 0; unit < draft.partitions(); unit++) {
            if (owner.equals(draft.owners.get(unit)) && !draft.moves.containsKey(unit)) {
                return Optional.of(unit);
            }
        }
        return Optional.empty();
    }

    private void balanceLoad() {
        List<TargetId> targets = eligibleTargets();
        if (targets.size() < 2 || !draft.moves.isEmpty()) {
            return;
        }
        Map<Integer, Double> unitRates = unitRates();
        Map<TargetId, Double> rates = new HashMap<>();
        targets.forEach(target -> rates.put(target, rateOf(target, unitRates)));
        TargetId mostLoaded =
                targets.stream().max(Comparator.comparingDouble(rates::get)).orElseThrow();
        TargetId leastLoaded =
                targets.stream().min(Comparator.comparingDouble(rates::get)).orElseThrow();
        double mean = rates.values().stream()
                .mapToDouble(Double::doubleValue)
                .average()
                .orElse(0);
        if (rates.get(mostLoaded) < HOT_LANE_MIN_RATE || rates.get(mostLoaded) < HOT_LANE_RATIO * mean) {
            return;
        }
        double surplus = (rates.get(mostLoaded) - rates.get(leastLoaded)) / 2;
        relievingUnit(mostLoaded, surplus, unitRates).ifPresent(unit -> draft.startMove(unit, leastLoaded));
    }

    /** Returns the reported rates by unit, so that a unit's load counts for its new owner immediately. */
    private Map<Integer, Double> unitRates() {
        Map<Integer, Double> rates = new HashMap<>();
        input.reports()
                .values()
                .forEach(found ->
                        found.hottest().forEach(load -> rates.merge(load.unit(), load.requestsPerSecond(), Math::max)));
        return rates;
    }

    private double rateOf(TargetId target, Map<Integer, Double> unitRates) {
        return unitRates.entrySet().stream()
                .filter(entry -> entry.getKey() < draft.owners.size())
                .filter(entry -> target.equals(draft.owners.get(entry.getKey())))
                .mapToDouble(Map.Entry::getValue)
                .sum();
    }

    /**
     * Returns the partition with the highest rate whose move leaves its new owner with no more load than the old one.
     */
    private Optional<Integer> relievingUnit(TargetId from, double surplus, Map<Integer, Double> unitRates) {
        return unitRates.entrySet().stream()
                .filter(entry -> entry.getValue() <= surplus)
                .filter(entry -> entry.getKey() < draft.partitions() && from.equals(draft.owners.get(entry.getKey())))
                .max(Map.Entry.comparingByValue())
                .map(Map.Entry::getKey);
    }

    private void removeLanes() {
        draft.lanes.values().removeIf(lane -> declaration(lane.target()).isEmpty() && !draft.ownsAny(lane.target()));
    }
}
