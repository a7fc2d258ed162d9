package org.dragonflymux.core.dispatch;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.dragonflymux.core.assignment.Routes;
import org.dragonflymux.core.configuration.ConfigurationReplica;
import org.dragonflymux.core.document.AssignmentTable;
import org.dragonflymux.core.document.DocumentKey;
import org.dragonflymux.core.name.ServiceName;

/** The routes of each service, rebuilt when its table changes. */
public final class RouteCache {

    private final ConfigurationReplica replica;
    private final Map<ServiceName, Routes> routes = new HashMap<>();

    private RouteCache(ConfigurationReplica replica) {
        this.replica = replica;
    }

    /** Returns an empty cache over a replica. */
    public static RouteCache over(ConfigurationReplica replica) {
        return new RouteCache(replica);
    }

    /** Returns the routes of a service, if it has a table. */
    public Optional<Routes> routes(ServiceName service) {
        DocumentKey key = DocumentKey.assignment(service);
        long revision = replica.revisionOf(key);
        Routes known = routes.get(service);
        if (known != null && known.revision() == revision) {
            return Optional.of(known);
        }
        Optional<Routes> built = replica.find(key, AssignmentTable.class).map(table -> Routes.of(table, revision));
        built.ifPresent(fresh -> routes.put(service, fresh));
        return built;
    }
}
