package org.dragonflymux.gateway.control.simulation;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.dragonflymux.core.desired.ServiceSpec;
import org.dragonflymux.core.name.ServiceName;
import org.dragonflymux.core.shard.GrantSettings;

/** Hosts and targets of one service with shard keys, its traffic, and faults that are drawn from a seed. */
final class SimulatedDeployment {

    /** After this time without a heartbeat, the entry of a target is removed from the store. */
    private static final int ENTRY_LAPSE_MILLIS = 2_600;

    private static final ServiceName SERVICE = ServiceName.of("orders");
    private static final GrantSettings SETTINGS = GrantSettings.forMaxHold(10_000);
    private static final long TRAFFIC_INTERVAL_MILLIS = 100;
    private static final int REQUESTS_PER_INTERVAL = 30;
    private static final long HOT_KEY_MILLIS = 6_000;

    private final SplittableRandom random;
    private final VirtualTime time = new VirtualTime();
    private final SimulatedStore store;
    private final SimulatedTargets targets;
    private final List<SimulatedHost> hosts = new ArrayList<>();
    private boolean faultsEnded;
    private long lastStartAt;

    SimulatedDeployment(long seed, int hostCount, int targetCount) {
        random = new SplittableRandom(seed);
        store = new SimulatedStore(time, random.split());
        targets = new SimulatedTargets(targetCount, SERVICE, time, store, random.split());
        ServiceSpec service = new ServiceSpec(SERVICE, "/health", 100, 3_000, 10, true);
        for (int i = 0; i < hostCount; i++) {
            SimulatedHost host =
                    new SimulatedHost("host-" + i, service, SETTINGS, time, store, targets, random.split());
            hosts.add(host);
            time.after(random.nextInt(300), host::start);
        }
        time.after(1_000, () -> time.every(TRAFFIC_INTERVAL_MILLIS, this::sendRequests));
    }

    private boolean sendRequests() {
        int hotKey = (int) (time.now() / HOT_KEY_MILLIS * 7_919 % 65_536);
        int[] keys = new int[REQUESTS_PER_INTERVAL];
        for (int i = 0; i < keys.length; i++) {
            keys[i] = random.nextBoolean() ? Math.min(hotKey + random.nextInt(300), 65_535) : random.nextInt(65_536);
        }
        hosts.forEach(host -> host.recordKeyRequests(keys));
        return true;
    }

    /** Repeats a fault with a pause of random length before each. */
    void repeat(int minPauseMillis, int maxPauseMillis, Runnable fault) {
        time.after(random.nextInt(minPauseMillis, maxPauseMillis), () -> {
            if (faultsEnded) {
                return;
            }
            fault.run();
            repeat(minPauseMillis, maxPauseMillis, fault);
        });
    }

    /** Crashes a random target, which is back under its id after a while. */
    void restartTarget(int minDownMillis, int maxDownMillis) {
        SimulatedTarget target = targets.all().get(random.nextInt(targets.all().size()));
        if (target.up()) {
            target.crash();
            startLater(random.nextInt(minDownMillis, maxDownMillis), () -> targets.start(target));
        }
    }

    /** Makes the store leave the calls of the grantor unanswered for a while, unless it already does so for a host. */
    void isolateGrantor(int minMillis, int maxMillis) {
        hosts.stream()
                .filter(host -> host.leading() && hosts.stream().allMatch(other -> store.answers(other.name())))
                .findFirst()
                .ifPresent(host -> {
                    store.answers(host.name(), false);
                    time.after(random.nextInt(minMillis, maxMillis), () -> store.answers(host.name(), true));
                });
    }

    /** Cuts a random target off from hosts and store for a while. */
    void cutOffTarget(int minMillis, int maxMillis) {
        SimulatedTarget target = targets.all().get(random.nextInt(targets.all().size()));
        targets.cutOff(target, true);
        time.after(random.nextInt(minMillis, maxMillis), () -> targets.cutOff(target, false));
    }

    /** Cuts a random target off from all hosts but a random one for a while. */
    void cutOffTargetFromMostHosts(int minMillis, int maxMillis) {
        SimulatedHost reaching = hosts.get(random.nextInt(hosts.size()));
        cutOffTargetFromOthers(reaching, random.nextInt(minMillis, maxMillis));
    }

    /** Cuts a random target off from all hosts but the grantor for a while. */
    void cutOffTargetFromAllButGrantor(int millis) {
        hosts.stream()
                .filter(SimulatedHost::leading)
                .findFirst()
                .ifPresent(grantor -> cutOffTargetFromOthers(grantor, millis));
    }

    private void cutOffTargetFromOthers(SimulatedHost reaching, int millis) {
        SimulatedTarget target = targets.all().get(random.nextInt(targets.all().size()));
        hosts.stream().filter(host -> host != reaching).forEach(host -> {
            targets.cutOff(target, host.name(), true);
            time.after(millis, () -> targets.cutOff(target, host.name(), false));
        });
    }

    /** Sets the time of day of the grantor ahead, and back after half a second. */
    void stepTimeOfDay(long millis) {
        hosts.stream().filter(SimulatedHost::leading).forEach(host -> host.stepTimeOfDay(millis, 500));
    }

    /** Kills the grantor, whose calls may still arrive, and starts the host again after a while. */
    void restartGrantor(int minDownMillis, int maxDownMillis) {
        hosts.stream().filter(SimulatedHost::leading).forEach(host -> restart(host, minDownMillis, maxDownMillis));
    }

    /** Kills the grantor if the store answers it, and starts the host again after a while. */
    void restartAnsweredGrantor(int minDownMillis, int maxDownMillis) {
        hosts.stream()
                .filter(host -> host.leading() && store.answers(host.name()))
                .forEach(host -> restart(host, minDownMillis, maxDownMillis));
    }

    /** Kills all hosts at once, and starts each again after a while. */
    void restartAllHosts(int minDownMillis, int maxDownMillis) {
        hosts.stream().filter(SimulatedHost::running).forEach(host -> restart(host, minDownMillis, maxDownMillis));
    }

    /** Stops the process of the grantor for a while. */
    void freezeGrantor(int minMillis, int maxMillis) {
        hosts.stream().filter(SimulatedHost::leading).forEach(host -> {
            long millis = random.nextInt(minMillis, maxMillis);
            host.freeze(millis);
            lastStartAt = Math.max(lastStartAt, time.now() + millis);
        });
    }

    /** Makes updates of the store reach a random host late, for a while. */
    void delayUpdates(int maxDelayMillis, int forMillis) {
        store.keepHistory();
        hosts.get(random.nextInt(hosts.size())).delayUpdates(random.nextInt(maxDelayMillis), forMillis);
    }

    /** Makes the store discard its history, so that all hosts read all items again, each at its own pace. */
    void discardHistory(int maxMillisBetweenPages) {
        store.keepHistory();
        hosts.forEach(host -> host.reread(random.nextInt(maxMillisBetweenPages)));
    }

    /** Takes the store down for a while; it comes back from a copy that is some seconds old. */
    void restoreStore(int maxCopyAgeMillis, int maxDownMillis) {
        store.restoreFromCopy(random.nextInt(maxCopyAgeMillis), random.nextInt(maxDownMillis));
    }

    private void restart(SimulatedHost host, int minDownMillis, int maxDownMillis) {
        host.kill();
        startLater(random.nextInt(minDownMillis, maxDownMillis), host::start);
    }

    /** Starts a process again; the faults have ended only then. */
    private void startLater(long millis, Runnable start) {
        lastStartAt = Math.max(lastStartAt, time.now() + millis);
        time.after(millis, start);
    }

    /** Shuts a random target down: it announces that it leaves, ends after a while, and a new one starts in its place. */
    void replaceTarget(int drainMillis, int downMillis) {
        SimulatedTarget target = targets.all().get(random.nextInt(targets.all().size()));
        targets.announceShutdown(target);
        time.after(drainMillis, () -> {
            target.crash();
            store.removeTarget(target.id());
            startLater(downMillis, () -> targets.start(target));
        });
        lastStartAt = Math.max(lastStartAt, time.now() + drainMillis + downMillis);
    }

    /** Ends a random target; its entry lapses and another process gets its address. It starts again at another address. */
    void loseTarget(int reuseMillis, int downMillis) {
        SimulatedTarget target = targets.all().get(random.nextInt(targets.all().size()));
        target.crash();
        time.after(ENTRY_LAPSE_MILLIS, () -> {
            if (!target.up()) {
                store.removeTarget(target.id());
            }
        });
        time.after(reuseMillis, () -> targets.reuseAddress(target));
        startLater(downMillis, () -> {
            if (!target.up()) {
                targets.start(target);
            }
        });
    }

    /**
     * Ends all faults, waits until the last process is back and the last late call was carried out, and then for a time in
     * which each key must have got an owner.
     */
    void runUntilCalm(long ownerWithinMillis) {
        faultsEnded = true;
        targets.endFaults();
        store.endFaults();
        long lastLateAt = Math.max(store.lastRestoreAt(), Math.max(targets.lastLateGrantAt(), store.lastLateWriteAt()));
        long calmFrom = Math.max(time.now(), Math.max(lastStartAt, lastLateAt));
        time.runUntil(calmFrom + ownerWithinMillis);
        targets.checker().checkAllHeld();
    }

    void runUntil(long end) {
        time.runUntil(end);
    }

    OwnershipChecker checker() {
        return targets.checker();
    }

    SimulatedTargets targets() {
        return targets;
    }

    SimulatedStore store() {
        return store;
    }
}
