package org.dragonflymux.scenarios.bench;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/** What is broken now. */
final class Faults {

    boolean storeDown;
    boolean storeLosesAnswers;
    Duration storeDelay = Duration.ofMillis(2);
    final Set<String> cutFromStore = new HashSet<>();
    final Set<String> cutFromPeers = new HashSet<>();
    final Set<String> pausedHosts = new HashSet<>();
    final Set<String> frozenTargets = new HashSet<>();
    final Set<String> lostTargets = new HashSet<>();
    final Set<String> silentTargets = new HashSet<>();
    final Map<String, Integer> slowTargets = new HashMap<>();
    String crashingPath = "";

    boolean separated(String fromDomain, String toDomain) {
        return !fromDomain.equals(toDomain) && (cutFromPeers.contains(fromDomain) || cutFromPeers.contains(toDomain));
    }
}
