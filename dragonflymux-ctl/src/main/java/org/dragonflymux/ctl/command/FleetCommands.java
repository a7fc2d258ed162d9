package org.dragonflymux.ctl.command;

import io.vavr.control.Either;
import java.util.List;
import java.util.Optional;
import org.dragonflymux.core.assignment.KeyHash;
import org.dragonflymux.core.assignment.Routes;
import org.dragonflymux.core.document.AssignmentTable;
import org.dragonflymux.core.document.Document;
import org.dragonflymux.core.document.DocumentKey;
import org.dragonflymux.core.document.DomainIntent;
import org.dragonflymux.core.document.HostRecord;
import org.dragonflymux.core.document.KeyPin;
import org.dragonflymux.core.document.Lane;
import org.dragonflymux.core.document.ReleaseOrder;
import org.dragonflymux.core.document.ServiceDocument;
import org.dragonflymux.core.document.TargetIntent;
import org.dragonflymux.core.name.FailureDomain;
import org.dragonflymux.core.name.ServiceName;
import org.dragonflymux.core.name.TargetId;
import org.dragonflymux.ctl.CtlError;
import org.dragonflymux.ctl.output.Report;
import org.dragonflymux.ctl.store.DocumentStore;
import org.dragonflymux.ctl.store.VersionedDocument;

/** Commands that show or change hosts, failure domains, targets and the assignment of keys. */
final class FleetCommands {

    private static final String NO_VALUE = "-";

    private FleetCommands() {}

    static List<Command> all() {
        return List.of(
                SimpleCommand.of("hosts", List.of(), "list the live entry hosts", (arguments, store) -> hosts(store)),
                SimpleCommand.of("services", List.of(), "list the services", (arguments, store) -> services(store)),
                SimpleCommand.of(
                        "assignments",
                        List.of("SERVICE"),
                        "list a service's targets with their dispatchers and numbers of owned units",
                        (arguments, store) ->
                                findRoutes(arguments.getFirst(), store).map(FleetCommands::laneReport)),
                SimpleCommand.of(
                        "owner",
                        List.of("SERVICE", "KEY"),
                        "show which target owns a key, and whether by partition or pin",
                        (arguments, store) -> findRoutes(arguments.getFirst(), store)
                                .map(routes -> ownerReport(routes, arguments.get(1)))),
                SimpleCommand.of(
                        "move",
                        List.of("SERVICE", "KEY", "TARGET"),
                        "pin a single key to a target",
                        (arguments, store) -> move(arguments, store)),
                SimpleCommand.of(
                        "domain out",
                        List.of("DOMAIN"),
                        "take a failure domain out of service: its targets get no new requests",
                        (arguments, store) ->
                                replace(new DomainIntent(FailureDomain.of(arguments.getFirst()), true), store)),
                SimpleCommand.of(
                        "domain in",
                        List.of("DOMAIN"),
                        "return a failure domain to service",
                        (arguments, store) ->
                                replace(new DomainIntent(FailureDomain.of(arguments.getFirst()), false), store)),
                SimpleCommand.of(
                        "target drain",
                        List.of("SERVICE", "TARGET"),
                        "drain a target: it gets no new requests",
                        (arguments, store) -> replaceTargetIntent(arguments, true, store)),
                SimpleCommand.of(
                        "target use",
                        List.of("SERVICE", "TARGET"),
                        "return a drained target to service",
                        (arguments, store) -> replaceTargetIntent(arguments, false, store)),
                SimpleCommand.of(
                        "release",
                        List.of("SERVICE"),
                        "confirm that the hosts which were assigners of a service have stopped permanently",
                        (arguments, store) -> findRoutes(arguments.getFirst(), store)
                                .flatMap(routes -> replace(
                                        new ReleaseOrder(
                                                routes.table().service(),
                                                routes.table().term()),
                                        store))));
    }

    private static Either<CtlError, Report> replace(Document document, DocumentStore store) {
        return store.replace(document).map(revision -> DocumentCommands.revisionReport(document.key(), revision));
    }

    private static Either<CtlError, Report> replaceTargetIntent(
            List<String> arguments, boolean drain, DocumentStore store) {
        ServiceName service = ServiceName.of(arguments.getFirst());
        return replace(new TargetIntent(service, TargetId.of(arguments.get(1)), drain), store);
    }

    private static Either<CtlError, Report> hosts(DocumentStore store) {
        return store.list(DocumentKey.SESSION_PREFIX).map(found -> {
            Report report = Report.of("host", "domain", "peer", "state");
            for (VersionedDocument entry : found) {
                HostRecord host = (HostRecord) entry.document();
                report = report.with(
                        host.host(), host.domain(), host.peerAddress(), host.leaving() ? "leaving" : "live");
            }
            return report;
        });
    }

    private static Either<CtlError, Report> services(DocumentStore store) {
        return store.list(DocumentKey.PREFIX + "service/").map(found -> {
            Report report = Report.of("service", "partitions", "targets", "revision");
            for (VersionedDocument entry : found) {
                ServiceDocument service = (ServiceDocument) entry.document();
                report = report.with(
                        service.name(), service.partitions(), service.targets().size(), entry.revision());
            }
            return report;
        });
    }

    private static Either<CtlError, Routes> findRoutes(String service, DocumentStore store) {
        DocumentKey key = DocumentKey.assignment(ServiceName.of(service));
        return store.find(key)
                .flatMap(found -> found.isPresent() && found.get().document() instanceof AssignmentTable table
                        ? Either.right(Routes.of(table, found.get().revision()))
                        : Either.left(new CtlError.NotFound(key)));
    }

    private static Report laneReport(Routes routes) {
        AssignmentTable table = routes.table();
        Report report = Report.of("target", "state", "dispatcher", "fence", "units", "moving-out");
        for (int index = 0; index < table.lanes().size(); index++) {
            Lane lane = table.lanes().get(index);
            int laneIndex = index;
            long units =
                    table.owners().stream().filter(owner -> owner == laneIndex).count();
            report = report.with(
                    lane.target(),
                    lane.state(),
                    lane.dispatcher() == null ? NO_VALUE : lane.dispatcher(),
                    lane.fence(),
                    units,
                    routes.movesFrom(lane.target()).size());
        }
        return report;
    }

    private static Report ownerReport(Routes routes, String key) {
        long hash = KeyHash.of(key);
        int unit = routes.unit(hash);
        Optional<Lane> lane = routes.owner(unit);
        boolean pinned = unit >= routes.table().partitions();
        String reason = pinned
                ? "pinned key"
                : "partition " + unit + " of " + routes.table().partitions();
        return Report.of("key", "hash", "target", "dispatcher", "why", "moving", "table-revision")
                .with(
                        key,
                        KeyHash.hex(hash),
                        lane.map(ownerLane -> ownerLane.target().value()).orElse(NO_VALUE),
                        lane.map(ownerLane -> String.valueOf(ownerLane.dispatcher()))
                                .orElse(NO_VALUE),
                        reason,
                        routes.moving(unit),
                        routes.revision());
    }

    private static Either<CtlError, Report> move(List<String> arguments, DocumentStore store) {
        ServiceName name = ServiceName.of(arguments.getFirst());
        TargetId target = TargetId.of(arguments.get(2));
        DocumentKey key = DocumentKey.service(name);
        return store.find(key).flatMap(found -> {
            boolean declared = found.isPresent()
                    && found.get().document() instanceof ServiceDocument service
                    && service.target(target).isPresent();
            if (!declared) {
                return Either.left(new CtlError.NotFound(new DocumentKey(key.path() + "/targets/" + target)));
            }
            return replace(new KeyPin(name, KeyHash.hex(KeyHash.of(arguments.get(1))), target), store);
        });
    }
}
