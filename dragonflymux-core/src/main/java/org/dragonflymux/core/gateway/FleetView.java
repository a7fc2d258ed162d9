package org.dragonflymux.core.gateway;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.dragonflymux.core.balance.TargetDirectory;
import org.dragonflymux.core.balance.TargetState;
import org.dragonflymux.core.name.HostId;
import org.dragonflymux.core.name.ServiceName;

/** What the other hosts said last. */
final class FleetView {

    private static final long LEAST_SILENT_MILLIS = 1_000;

    private final HostId self;
    private final TargetDirectory directory;
    private final Map<HostId, Heard> heard = new HashMap<>();
    private Set<HostId> registered = Set.of();

    private static final class Heard {
        private PeerReport report;
        private long at;
        private boolean silent;
    }

    FleetView(HostId self, TargetDirectory directory) {
        this.self = self;
        this.directory = directory;
    }

    /** Replaces the hosts that are registered. */
    void registered(Set<HostId> hosts) {
        registered = Set.copyOf(hosts);
    }

    /** Returns how many hosts may be sending, this one included. */
    int hosts() {
        Set<HostId> all = new HashSet<>(registered);
        all.addAll(heard.keySet());
        all.add(self);
        return all.size();
    }

    /** Returns how many other hosts' requests wait for a service. */
    int waiting(ServiceName service) {
        int sum = 0;
        for (Heard peer : heard.values()) {
            sum += peer.silent ? 0 : peer.report.waiting().getOrDefault(service, 0);
        }
        return sum;
    }

    /** Takes in a report; one that sums up all others replaces theirs. */
    void reported(PeerReport report, long now) {
        if (report.included().containsKey(self)) {
            heard.keySet().stream().filter(host -> !host.equals(report.from())).forEach(directory::forgetPeer);
            heard.keySet().retainAll(Set.of(report.from()));
        }
        Heard peer = heard.computeIfAbsent(report.from(), _ -> new Heard());
        forgetAbsent(peer.report, report);
        for (PeerReport.TargetUse use : report.targets()) {
            directory.withNameHash(use.target()).ifPresent(state -> learn(state, use, report.from(), now));
        }
        peer.report = report;
        peer.at = now;
        peer.silent = false;
    }

    private void forgetAbsent(PeerReport before, PeerReport after) {
        if (before == null) {
            return;
        }
        Set<Integer> present = new HashSet<>();
        after.targets().forEach(use -> present.add(use.target()));
        for (PeerReport.TargetUse use : before.targets()) {
            if (!present.contains(use.target())) {
                directory.withNameHash(use.target()).ifPresent(state -> state.forgetPeer(after.from()));
            }
        }
    }

    private static void learn(TargetState state, PeerReport.TargetUse use, HostId from, long now) {
        state.updatePeerUse(from, use.inFlight(), use.waiting());
        if (use.completions() > 0) {
            state.recordServiceTimes(use.meanMillis(), use.completions(), now);
        }
        if (use.slowdownAgeMillis() >= 0) {
            state.slowdownReported(use.slowdownPercent(), now - use.slowdownAgeMillis());
        }
    }

    /**
     * Lets go of hosts that say nothing any more.
     *
     * @param oldMillis after what time a report is old
     */
    void tick(long oldMillis, long now) {
        long silentMillis = Math.max(LEAST_SILENT_MILLIS, oldMillis);
        heard.entrySet().removeIf(entry -> {
            Heard peer = entry.getValue();
            if (now - peer.at < silentMillis) {
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
