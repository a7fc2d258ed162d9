package org.dragonflymux.gateway.control;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.Optional;
import org.dragonflymux.core.membership.FleetMember;
import org.dragonflymux.core.name.FailureDomain;
import org.dragonflymux.core.name.HostId;
import org.dragonflymux.core.name.ServiceName;
import org.dragonflymux.core.quota.LenderPartition;
import org.dragonflymux.gateway.store.StoredItem;

/** The system's own records in the store: their keys, and hosts' records as JSON. */
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

    /** The prefix of the seats of customers' lenders, each bound to its holder's lease. */
    public static final String SEATS = PREFIX + "lenders/";

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

    /** Returns the key of a lender's seat. */
    public static String seatKey(int number) {
        return SEATS + number;
    }

    /** Writes a host's record. */
    public static byte[] encode(FleetMember member) {
        return bytes(node(member));
    }

    private static ObjectNode node(FleetMember member) {
        return JSON.createObjectNode()
                .put("host", member.host().value())
                .put("incarnation", member.incarnation())
                .put("domain", member.domain().value())
                .put("peer", member.peerAddress());
    }

    /** Writes who takes a seat, and the lease that it is bound to. */
    public static byte[] encodeSeat(FleetMember holder, long lease) {
        return bytes(node(holder).put("lease", lease));
    }

    /** Reads a seat; empty where the item isn't one. */
    public static Optional<LenderPartition> seat(StoredItem item) {
        try {
            int number = Integer.parseInt(item.key().substring(SEATS.length()));
            long lease = JSON.readTree(item.value()).path("lease").asLong();
            return member(item.value()).map(holder -> new LenderPartition(number, holder, lease, item.revision()));
        } catch (IOException | NumberFormatException unreadable) {
            return Optional.empty();
        }
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

    private static byte[] bytes(JsonNode node) {
        try {
            return JSON.writeValueAsBytes(node);
        } catch (JsonProcessingException impossible) {
            throw new UnwritableRecordException(impossible);
        }
    }
}
