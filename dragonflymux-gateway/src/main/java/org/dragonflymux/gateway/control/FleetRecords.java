package org.dragonflymux.gateway.control;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.Optional;
import org.dragonflymux.core.membership.FleetMember;
import org.dragonflymux.core.membership.GrantorTerm;
import org.dragonflymux.core.name.FailureDomain;
import org.dragonflymux.core.name.HostId;
import org.dragonflymux.core.name.InvalidNameException;
import org.dragonflymux.core.name.ServiceName;
import org.dragonflymux.core.quota.LenderPartition;
import org.dragonflymux.gateway.SocketAddresses;
import org.dragonflymux.gateway.store.StoredItem;

/** The gateway's own records in the store: their keys, and the JSON encoding of hosts and lender partitions. */
public final class FleetRecords {

    /** The prefix of the keys of all own records. */
    public static final String PREFIX = "dragonfly/";

    /** The key of the current grantor, bound to the lease of that host. */
    public static final String GRANTOR_KEY = PREFIX + "grantor";

    /** The key of the host that last claimed the grantor role, not bound to a lease. */
    public static final String LAST_GRANTOR_KEY = PREFIX + "last-grantor";

    /** The prefix of the keys of host records. */
    public static final String HOST_PREFIX = PREFIX + "hosts/";

    /** The prefix of the keys of shard tables. */
    public static final String TABLE_PREFIX = PREFIX + "tables/";

    /** The prefix of the keys of lender partitions, each bound to the lease of its holder. */
    public static final String LENDER_PARTITION_PREFIX = PREFIX + "lenders/";

    private static final ObjectMapper JSON = new ObjectMapper();

    private FleetRecords() {}

    public static String hostKey(HostId host) {
        return HOST_PREFIX + host;
    }

    public static String tableKey(ServiceName service) {
        return TABLE_PREFIX + service;
    }

    /** Returns the service of a shard table's key; empty if the key names none. */
    public static Optional<ServiceName> serviceOfTable(String key) {
        try {
            return Optional.of(ServiceName.of(key.substring(TABLE_PREFIX.length())));
        } catch (InvalidNameException unknown) {
            return Optional.empty();
        }
    }

    public static String lenderPartitionKey(int number) {
        return LENDER_PARTITION_PREFIX + number;
    }

    public static byte[] encode(FleetMember member) {
        return serialize(toJson(member));
    }

    private static ObjectNode toJson(FleetMember member) {
        return JSON.createObjectNode()
                .put("host", member.host().value())
                .put("incarnation", member.incarnation())
                .put("domain", member.domain().value())
                .put("peer", member.peerAddress());
    }

    /** Encodes the holder of a role and the lease that the record is bound to. */
    public static byte[] encodeHolder(FleetMember holder, long lease) {
        return serialize(toJson(holder).put("lease", lease));
    }

    /** Decodes the record of a lender partition; empty if the item is not a valid one. */
    public static Optional<LenderPartition> lenderPartition(StoredItem item) {
        try {
            int number = Integer.parseInt(item.key().substring(LENDER_PARTITION_PREFIX.length()));
            long lease = lease(item.value());
            return member(item.value()).map(holder -> new LenderPartition(number, holder, lease, item.revision()));
        } catch (IOException | NumberFormatException unreadable) {
            return Optional.empty();
        }
    }

    /** Decodes the grantor's record; empty if the item is not a valid one. */
    public static Optional<GrantorTerm> grantorTerm(StoredItem item) {
        try {
            long lease = lease(item.value());
            return member(item.value()).map(holder -> new GrantorTerm(holder, lease, item.revision()));
        } catch (IOException unreadable) {
            return Optional.empty();
        }
    }

    private static long lease(byte[] record) throws IOException {
        return JSON.readTree(record).path("lease").asLong();
    }

    /** Decodes the record of a host; empty if the bytes are not a valid one. */
    public static Optional<FleetMember> member(byte[] bytes) {
        try {
            JsonNode node = JSON.readTree(bytes);
            String peerAddress = node.path("peer").asText();
            // A record with an unusable address must not reach the code that sends to it.
            SocketAddresses.parse(peerAddress);
            return Optional.of(new FleetMember(
                    HostId.of(node.path("host").asText()),
                    node.path("incarnation").asLong(),
                    FailureDomain.of(node.path("domain").asText()),
                    peerAddress));
        } catch (IOException | IllegalArgumentException unreadable) {
            return Optional.empty();
        }
    }

    private static byte[] serialize(JsonNode node) {
        try {
            return JSON.writeValueAsBytes(node);
        } catch (JsonProcessingException impossible) {
            throw new UnwritableRecordException(impossible);
        }
    }
}
