package org.dragonflymux.core.gateway;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.dragonflymux.core.balance.TargetDirectory;
import org.dragonflymux.core.balance.TargetState;
import org.dragonflymux.core.name.HostId;

/** The latest reports of the other hosts. */
final class FleetView {

    private static final long MIN_SILENCE_MILLIS = 1_000;

    private final HostId self;
    private final TargetDirectory directory;
    private final Map<HostId, PeerState> peers = new HashMap<>();
    private Set<HostId> registered = Set.of();

    private static final class PeerState {
        private PeerReport report;
        private long receivedAt;
        private boolean silent;
    }

    FleetView(HostId self, TargetDirectory directory) {
        this.self = self;
        this.directory = directory;
    }

    /** Replaces the registered hosts. */
    void replaceMembers(Set<HostId> hosts) {
        registered = Set.copyOf(hosts);
    }

    /** Returns how many hosts may be sending requests, including this one. */
    int hostCount() {
        Set<HostId> all = new HashSet<>(registered);
        all.addAll(peers.keySet());
        all.add(self);
        return all.size();
    }

    /** Returns how many requests of a priority class and of more urgent classes wait for their service at other hosts. */
    int waitingAtPeers(WaitingClass limit) {
        int total = 0;
        for (PeerState peer : peers.values()) {
            total += peer.silent ? 0 : peer.report.waitingUpTo(limit);
        }
        return total;
    }

    /** Applies a report. An aggregate that includes this host covers all other hosts and replaces their reports. */
    void reportReceived(PeerReport report, long now) {
        if (report.included().containsKey(self)) {
            peers.keySet().stream().filter(host -> !host.equals(report.from())).forEach(directory::forgetPeer);
            peers.keySet().retainAll(Set.of(report.from()));
        }
        PeerState peer = peers.computeIfAbsent(report.from(), _ -> new PeerState());
        forgetUnreportedTargets(peer.report, report);
        for (PeerReport.TargetUse use : report.targets()) {
            directory.withNameHash(use.target()).ifPresent(state -> applyTargetUse(state, use, report.from(), now));
        }
        peer.report = report;
        peer.receivedAt = now;
        peer.silent = false;
    }

    private void forgetUnreportedTargets(PeerReport previous, PeerReport latest) {
        if (previous == null) {
            return;
        }
        Set<Integer> reportedTargets = new HashSet<>();
        latest.targets().forEach(use -> reportedTargets.add(use.target()));
        for (PeerReport.TargetUse use : previous.targets()) {
            if (!reportedTargets.contains(use.target())) {
                directory.withNameHash(use.target()).ifPresent(state -> state.forgetPeer(latest.from()));
            }
        }
    }

    private static void applyTargetUse(TargetState state, PeerReport.TargetUse use, HostId from, long now) {
        state.updatePeerUse(from, use.inFlight(), use.waiting());
        if (use.completions() > 0) {
            state.recordServiceTimes(use.meanMillis(), use.completions(), now);
        }
        if (use.slowdownAgeMillis() >= 0) {
            state.slowdownReported(use.slowdownPercent(), now - use.slowdownAgeMillis());
        }
    }

    /**
     * Ignores the reports of hosts that have become silent, and removes such hosts if they are no longer registered.
     *
     * @param staleAfterMillis the age at which a report is stale
     */
    void tick(long staleAfterMillis, long now) {
        long silentMillis = Math.max(MIN_SILENCE_MILLIS, staleAfterMillis);
        peers.entrySet().removeIf(entry -> {
            PeerState peer = entry.getValue();
            if (now - peer.receivedAt < silentMillis) {
                return false;
            }
            if (!peer.silent) {
                peer.silent = true;
                directory.forgetPeer(entry.getKey());
            }
            return !registered.contains(entry.getKey());
        });
    }
}
