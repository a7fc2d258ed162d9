package org.dragonflymux.scenarios.simulation;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/** The faults that are currently injected into the simulation. */
final class Faults {

    boolean storeDown;
    boolean storeLosesAnswers;
    Duration storeDelay = Duration.ofMillis(2);
    final Set<String> isolatedFromStore = new HashSet<>();
    final Set<String> isolatedFromPeers = new HashSet<>();
    final Set<String> pausedHosts = new HashSet<>();
    final Set<String> frozenTargets = new HashSet<>();
    final Set<String> stoppedTargets = new HashSet<>();
    final Set<String> silentConnections = new HashSet<>();
    final Map<String, Integer> slowTargets = new HashMap<>();
    String crashOnPath = "";

    /** Returns whether two failure domains are isolated from each other. */
    boolean isolated(String domain, String otherDomain) {
        return !domain.equals(otherDomain)
                && (isolatedFromPeers.contains(domain) || isolatedFromPeers.contains(otherDomain));
    }
}
