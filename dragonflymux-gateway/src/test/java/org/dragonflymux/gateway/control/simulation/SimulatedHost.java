package org.dragonflymux.gateway.control.simulation;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.LongSupplier;
import org.dragonflymux.core.balance.TargetDirectory;
import org.dragonflymux.core.desired.DesiredState;
import org.dragonflymux.core.desired.RequestLimits;
import org.dragonflymux.core.desired.ServiceSpec;
import org.dragonflymux.core.membership.FleetMember;
import org.dragonflymux.core.membership.MembershipStateMachine;
import org.dragonflymux.core.name.FailureDomain;
import org.dragonflymux.core.name.HostId;
import org.dragonflymux.core.name.ServiceName;
import org.dragonflymux.core.quota.LenderPartition;
import org.dragonflymux.core.shard.GrantSettings;
import org.dragonflymux.core.shard.ShardTable;
import org.dragonflymux.gateway.clock.HostClock;
import org.dragonflymux.gateway.control.ControlLoop;
import org.dragonflymux.gateway.control.simulation.SimulatedStore.Snapshot;

/** A host with a real control loop, whose calls and updates take their way through the simulation. */
final class SimulatedHost {

    private static final long TICK_MILLIS = 50;
    private static final long UPDATE_MILLIS = 20;
    private static final long TARGET_UPDATE_MILLIS = 220;
    /** The longest time that a host takes to read the store again after calls of it were unanswered. */
    private static final int MAX_RESYNC_MILLIS = 3_000;

    private final VirtualTime time;
    private final SimulatedStore store;
    private final SimulatedTargets targets;
    private final SplittableRandom random;
    private final GrantSettings settings;
    private final ServiceSpec service;
    private final String name;
    private final HostClock clock;
    private Process process;
    private long timeOfDayOffset;
    private long resyncAt;
    private boolean wasAnswered = true;
    private long updateDelayMillis;

    /** One incarnation of the host. */
    private final class Process implements ControlLoop.Listener {

        private final TargetDirectory directory = TargetDirectory.empty();
        private final ControlLoop control;
        private long seenRevision;
        private final List<Runnable> heldUp = new ArrayList<>();
        private long rereadPauseMillis = -1;
        private boolean running = true;
        private boolean frozen;

        private Process() {
            FleetMember self =
                    new FleetMember(HostId.of(name), time.now() + 1, FailureDomain.of("a"), "127.0.0.1:7100");
            control = ControlLoop.of(
                    store.clientOf(name, this::deliver),
                    new SimulatedGrantClient(name, targets, this::deliver),
                    MembershipStateMachine.of(self, settings.renewalGraceMillis()),
                    settings,
                    directory,
                    clock.leaseClock(),
                    clock.holdClock(),
                    this);
            control.desiredStateChanged(new DesiredState(
                    1, Map.of(), Map.of(service.name(), service), Map.of(), false, new RequestLimits(1, 1, 1, 1)));
            time.every(TICK_MILLIS, this::tick);
            time.every(UPDATE_MILLIS, this::update);
        }

        /** Runs what handles an answer; while the process stands still it waits, and it is lost when the process has ended. */
        private void deliver(Runnable handler) {
            if (frozen) {
                heldUp.add(handler);
            } else if (running) {
                handler.run();
            }
        }

        /** Goes on with the answers that arrived meanwhile, before or after the timers that are due. */
        private void thaw(boolean timersFirst) {
            frozen = false;
            if (timersFirst) {
                tick();
            }
            heldUp.forEach(this::deliver);
            heldUp.clear();
        }

        private boolean tick() {
            if (running && !frozen) {
                control.tick();
            }
            return running;
        }

        private boolean update() {
            if (!running || frozen) {
                return running;
            }
            boolean answered = store.answers(name);
            if (answered && !wasAnswered) {
                resyncAt = time.now() + random.nextInt(MAX_RESYNC_MILLIS);
            }
            wasAnswered = answered;
            if (answered && time.now() >= resyncAt && rereadPauseMillis >= 0) {
                Snapshot read = store.pagedRead(rereadPauseMillis);
                rereadPauseMillis = -1;
                if (read.revision() >= seenRevision) {
                    apply(read);
                }
            } else if (answered && time.now() >= resyncAt && store.revision() > seenRevision) {
                Snapshot update = store.snapshotOf(updateDelayMillis);
                if (update.revision() > seenRevision) {
                    apply(update);
                }
            }
            return true;
        }

        private void apply(Snapshot snapshot) {
            seenRevision = snapshot.revision();
            control.recordsChanged(snapshot.items());
            time.after(TARGET_UPDATE_MILLIS, () -> deliver(() -> directory.replace(snapshot.targets(), time.now())));
        }

        @Override
        public void tableChanged(ServiceName changed, ShardTable table) {}

        @Override
        public void hostsChanged(Map<HostId, FleetMember> members) {}

        @Override
        public void lenderPartitionsChanged(Collection<LenderPartition> lenderPartitions) {}

        @Override
        public void leaseUpdated(long lease, long until) {}
    }

    SimulatedHost(
            String name,
            ServiceSpec service,
            GrantSettings settings,
            VirtualTime time,
            SimulatedStore store,
            SimulatedTargets targets,
            SplittableRandom random) {
        this.name = name;
        this.service = service;
        this.settings = settings;
        this.time = time;
        this.store = store;
        this.targets = targets;
        this.random = random;
        LongSupplier monotonicNanos = () -> time.now() * 1_000_000;
        clock = HostClock.withTimeOfDay(monotonicNanos, () -> time.now() + timeOfDayOffset);
    }

    void start() {
        process = new Process();
    }

    boolean running() {
        return process.running;
    }

    void kill() {
        process.running = false;
    }

    /** Stops the process for a while. What it sent before still arrives, and what it is sent waits. */
    void freeze(long millis) {
        Process stopped = process;
        if (stopped.frozen) {
            return;
        }
        stopped.frozen = true;
        time.after(millis, () -> {
            stopped.thaw(random.nextBoolean());
        });
    }

    /** Makes updates arrive late for a while, in order: buffers of a relay, or a watch that the store leaves unanswered. */
    void delayUpdates(long delayMillis, long forMillis) {
        updateDelayMillis = delayMillis;
        time.after(forMillis, () -> updateDelayMillis = 0);
    }

    /** Makes the process read all items again in pages, as it does once the store has discarded its history. */
    void reread(long millisBetweenPages) {
        process.rereadPauseMillis = millisBetweenPages;
    }

    /** Sets the time of day ahead, and back after a while. */
    void stepTimeOfDay(long millis, long forMillis) {
        timeOfDayOffset += millis;
        time.after(forMillis, () -> timeOfDayOffset -= millis);
    }

    boolean leading() {
        return process.running && process.control.leading();
    }

    String name() {
        return name;
    }

    void recordKeyRequests(int[] keys) {
        if (process.running) {
            process.control.recordKeyRequests(new HashMap<>(Map.of(service.name(), keys)));
        }
    }
}
