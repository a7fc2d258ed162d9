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
import org.dragonflymux.core.membership.FormerGrantor;
import org.dragonflymux.core.membership.FormerGrantors;
import org.dragonflymux.core.membership.GrantorTerm;
import org.dragonflymux.core.membership.StoreEpoch;
import org.dragonflymux.core.name.FailureDomain;
import org.dragonflymux.core.name.HostId;
import org.dragonflymux.core.name.InvalidNameException;
import org.dragonflymux.core.name.ServiceName;
import org.dragonflymux.core.quota.LenderPartition;
import org.dragonflymux.core.shard.GrantSettings;
import org.dragonflymux.gateway.SocketAddresses;
import org.dragonflymux.gateway.store.EpochGuard;
import org.dragonflymux.gateway.store.StoredItem;

/** The gateway's own records in the store: their keys, and the JSON encoding of hosts and lender partitions. */
public final class FleetRecords {

    /** The prefix of the keys of all own records. */
    public static final String PREFIX = "dragonfly/";

    /**
     * The key of the current grantor, bound to the lease of that host. Both grantors' keys sort before the tables: a copy that is read
     * in pages, which are no snapshot, then holds tables that are no older than the grantor's record.
     */
    public static final String GRANTOR_KEY = PREFIX + "grantor";

    /** The key of the host that last claimed the grantor role, not bound to a lease. */
    public static final String LAST_GRANTOR_KEY = PREFIX + "last-grantor";

    /** The prefix of the keys of host records. */
    public static final String HOST_PREFIX = PREFIX + "hosts/";

    /** The prefix of the keys of shard tables. */
    public static final String TABLE_PREFIX = PREFIX + "tables/";

    /** The prefix of the keys of lender partitions, each bound to the lease of its holder. */
    public static final String LENDER_PARTITION_PREFIX = PREFIX + "lenders/";

    /** The longest grace period that a host of any version may have; an odd record can't hold keys back for longer. */
    private static final long MAX_RENEWAL_MILLIS = 60_000;

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

    /** Returns the key that shows that a host has become the grantor in an epoch of the store or a later one. */
    public static String epochKey(long epoch) {
        return EpochGuard.EPOCH_PREFIX + epoch;
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

    /** Encodes the holder of a lender partition and the lease that the record is bound to. */
    public static byte[] encodeLender(FleetMember holder, long lease) {
        return serialize(toJson(holder).put("lease", lease));
    }

    /** Encodes a term of a grantor in epoch 0 of the store; its revision is that of the write. */
    public static byte[] encodeTerm(FleetMember holder, long lease, FormerGrantors formerGrantors) {
        return encodeTerm(holder, lease, formerGrantors, 0, false);
    }

    /**
     * Encodes a term of a grantor; its revision is that of the write.
     *
     * @param epoch the epoch of the store in which the term begins
     * @param followsRestore whether the store came back from a copy before, in this epoch or an earlier one
     */
    public static byte[] encodeTerm(
            FleetMember holder, long lease, FormerGrantors formerGrantors, long epoch, boolean followsRestore) {
        ObjectNode record = toJson(holder).put("lease", lease).put("unnamedMillis", formerGrantors.unnamedMillis());
        ArrayNode named = record.putArray("formerGrantors");
        for (FormerGrantor former : formerGrantors.named()) {
            named.addObject()
                    .put("host", former.host().value())
                    .put("incarnation", former.incarnation())
                    .put("renewsForMillis", former.renewsForMillis());
        }
        if (epoch > 0) {
            record.put("epoch", epoch).put("followsRestore", followsRestore);
        }
        return serialize(record);
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
            JsonNode node = JSON.readTree(item.value());
            FormerGrantors formerGrantors = formerGrantors(node);
            long lease = node.path("lease").asLong();
            long epoch = StoreEpoch.of(item.revision());
            boolean restored = node.path("epoch").asLong() < epoch;
            long fenceFloor = node.path("followsRestore").asBoolean() ? StoreEpoch.fenceFloor(epoch) : 0;
            return member(item.value())
                    .map(holder ->
                            new GrantorTerm(holder, lease, item.revision(), formerGrantors, fenceFloor, restored));
        } catch (IOException | InvalidNameException unreadable) {
            return Optional.empty();
        }
    }

    /** Reads the former grantors of a term. A host of an earlier version writes none, so that any host may be one. */
    private static FormerGrantors formerGrantors(JsonNode term) {
        if (!term.path("formerGrantors").isArray()
                || !term.path("unnamedMillis").canConvertToLong()) {
            return FormerGrantors.unnamed(GrantSettings.RENEWAL_GRACE_MILLIS);
        }
        List<FormerGrantor> named = new ArrayList<>();
        for (JsonNode former : term.path("formerGrantors")) {
            named.add(new FormerGrantor(
                    HostId.of(former.path("host").asText()),
                    former.path("incarnation").asLong(),
                    renewalMillis(former.path("renewsForMillis"))));
        }
        return new FormerGrantors(named, renewalMillis(term.path("unnamedMillis")));
    }

    private static long renewalMillis(JsonNode millis) {
        boolean valid = millis.canConvertToLong() && millis.isIntegralNumber() && millis.asLong() >= 0;
        return valid ? Math.min(millis.asLong(), MAX_RENEWAL_MILLIS) : GrantSettings.RENEWAL_GRACE_MILLIS;
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
