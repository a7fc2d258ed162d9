package org.dragonflymux.scenarios;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.dragonflymux.core.document.Fencing;
import org.dragonflymux.core.document.RateReserve;
import org.dragonflymux.core.document.ServiceDocument;
import org.dragonflymux.core.document.TargetDeclaration;
import org.dragonflymux.core.name.FailureDomain;
import org.dragonflymux.core.name.ServiceName;
import org.dragonflymux.core.name.TargetId;
import org.dragonflymux.scenarios.simulation.CallerLoad;
import org.dragonflymux.scenarios.simulation.Fleet;

/** The state that the step definitions of one scenario share. */
public final class World {

    static final int REQUESTS_PER_SECOND = 200;
    static final int KEYS = 50;
    private static final int DEADLINE_MILLIS = 5000;
    private static final int PARTITIONS = 32;

    Fleet fleet;
    CallerLoad load;
    /** The start of the period that assertions consider: the start of the load, or the last fault or change. */
    Instant observedFrom;

    ServiceDocument document;
    Fleet.Call lastCall;
    final List<Fleet.Call> calls = new ArrayList<>();

    private int credentialTrustMillis = 10_000;
    private int continuityMillis = 60_000;
    private FailureDomain home;

    void setCredentialTrust(Duration duration) {
        credentialTrustMillis = (int) duration.toMillis();
    }

    void setContinuity(Duration duration) {
        continuityMillis = (int) duration.toMillis();
    }

    void setHome(String domain) {
        home = FailureDomain.of(domain);
    }

    /** Starts a fleet with failure domains a, b, c…, each with hosts (a1, a2…) and targets (ta1, ta2…). */
    void start(long seed, int domains, int hostsEach, int targetsEach, Fencing fencing) {
        fleet = Fleet.seeded(seed);
        List<TargetDeclaration> declarations = new ArrayList<>();
        for (int d = 0; d < domains; d++) {
            String domain = String.valueOf((char) ('a' + d));
            if (home == null || home.value().equals(domain)) {
                declare(declarations, domain, targetsEach, fencing);
            }
        }
        document = new ServiceDocument(
                ServiceName.of("svc"),
                PARTITIONS,
                fencing,
                home,
                DEADLINE_MILLIS,
                credentialTrustMillis,
                continuityMillis,
                1 << 20,
                Set.of("GET"),
                declarations);
        fleet.writeDocument(document);
        Map<FailureDomain, RateReserve> reserves = home == null ? Map.of() : Map.of(home, new RateReserve(400, 100));
        fleet.writeCustomer("acme", 1000, 500, 1, reserves);
        for (int d = 0; d < domains; d++) {
            for (int h = 1; h <= hostsEach; h++) {
                String domain = String.valueOf((char) ('a' + d));
                fleet.startHost(domain + h, domain);
            }
        }
        fleet.advance(Duration.ofSeconds(5));
        load = CallerLoad.of(fleet, "acme", KEYS, fleet.hostNames());
        observedFrom = fleet.now();
    }

    private void declare(List<TargetDeclaration> declarations, String domain, int count, Fencing fencing) {
        for (int t = 1; t <= count; t++) {
            String name = "t" + domain + t;
            String address = fleet.startTarget(name, domain, fencing, 3);
            declarations.add(new TargetDeclaration(TargetId.of(name), FailureDomain.of(domain), address, 3));
        }
    }
}
