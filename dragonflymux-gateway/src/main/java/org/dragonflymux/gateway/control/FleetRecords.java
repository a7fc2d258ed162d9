package org.dragonflymux.gateway.control;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.dragonflymux.core.membership.FleetMember;
import org.dragonflymux.core.name.FailureDomain;
import org.dragonflymux.core.name.HostId;
import org.dragonflymux.core.name.ServiceName;
import org.dragonflymux.core.name.TargetId;
import org.dragonflymux.core.shard.Assignment;
import org.dragonflymux.core.shard.KeyRange;
import org.dragonflymux.core.shard.Move;
import org.dragonflymux.core.shard.ShardTable;

/** The system's own records in the store: keys and JSON. */
public final class FleetRecords {

    /** The prefix of all own records. */
    public static final String PREFIX = "dragonfly/";

    /** The key of the grantor, bound to its lease. */
    public static final String GRANTOR = PREFIX + "grantor";

    /** The key of the host that claimed the grants last, bound to no lease. */
    public static final String LAST_GRANTOR = PREFIX + "last-grantor";

    /** The prefix of hosts' records. */
    public static final String HOSTS = PREFIX + "hosts/";

    /** The prefix of tables of shard keys. */
    public static final String TABLES = PREFIX + "tables/";

    private static final ObjectMapper JSON = new ObjectMapper();

    private FleetRecords() {}

    /** Returns the key of a host's record. */
    public static String hostKey(HostId host) {
        return HOSTS + host;
    }

    /** Returns the key of a service's table. */
    public static String tableKey(ServiceName service) {
        return TABLES + service;
    }

    /** Writes a host's record. */
    public static byte[] encode(FleetMember member) {
        return bytes(JSON.createObjectNode()
                .put("host", member.host().value())
                .put("incarnation", member.incarnation())
                .put("domain", member.domain().value())
                .put("peer", member.peerAddress()));
    }

    /** Reads a host's record; empty where the bytes aren't one. */
    public static Optional<FleetMember> member(byte[] bytes) {
        try {
            JsonNode node = JSON.readTree(bytes);
            return Optional.of(new FleetMember(
                    HostId.of(node.path("host").asText()),
                    node.path("incarnation").asLong(),
                    FailureDomain.of(node.path("domain").asText()),
                    node.path("peer").asText()));
        } catch (IOException | IllegalArgumentException unreadable) {
            return Optional.empty();
        }
    }

    /** Writes a table. */
    public static byte[] encode(ShardTable table) {
        ObjectNode root = JSON.createObjectNode().put("lastFence", table.lastFence());
        ArrayNode rows = root.putArray("assignments");
        for (Assignment assignment : table.assignments()) {
            ObjectNode row = rows.addObject()
                    .put("first", assignment.range().first())
                    .put("last", assignment.range().last())
                    .put("owner", assignment.owner().value())
                    .put("incarnation", assignment.incarnation())
                    .put("fence", assignment.fence());
            assignment.move().ifPresent(move -> row.putObject("move")
                    .put("to", move.to().value())
                    .put("incarnation", move.incarnation())
                    .put("fence", move.fence()));
        }
        return bytes(root);
    }

    /** Reads a table; empty where the bytes aren't one. */
    public static Optional<ShardTable> table(byte[] bytes) {
        try {
            JsonNode root = JSON.readTree(bytes);
            List<Assignment> rows = new ArrayList<>();
            for (JsonNode row : root.path("assignments")) {
                rows.add(assignment(row));
            }
            return Optional.of(new ShardTable(root.path("lastFence").asLong(), rows));
        } catch (IOException | IllegalArgumentException unreadable) {
            return Optional.empty();
        }
    }

    private static Assignment assignment(JsonNode row) {
        JsonNode move = row.path("move");
        return new Assignment(
                new KeyRange(row.path("first").asInt(), row.path("last").asInt()),
                TargetId.of(row.path("owner").asText()),
                row.path("incarnation").asLong(),
                row.path("fence").asLong(),
                move.isMissingNode()
                        ? Optional.empty()
                        : Optional.of(new Move(
                                TargetId.of(move.path("to").asText()),
                                move.path("incarnation").asLong(),
                                move.path("fence").asLong())));
    }

    private static byte[] bytes(JsonNode node) {
        try {
            return JSON.writeValueAsBytes(node);
        } catch (JsonProcessingException impossible) {
            throw new UnwritableRecordException(impossible);
        }
    }
}
