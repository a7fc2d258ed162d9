package org.dragonflymux.standin.store;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.dragonflymux.runtime.store.EtcdCodec;

/**
 * The state of the stand-in store: keys, leases and a revision counter with the semantics of etcd.
 *
 * <p>Leases expire by the instants that are passed in. This class is thread-safe.
 */
public final class KeyValueModel {

    private static final int CODE_NOT_FOUND = 5;
    private static final int CODE_UNIMPLEMENTED = 12;
    private static final JsonNodeFactory JSON = JsonNodeFactory.instance;

    private record StoredValue(String value, long createRevision, long modRevision, long version, long lease) {}

    private record Lease(long ttlSeconds, Instant expiresAt) {}

    private final TreeMap<String, StoredValue> keys = new TreeMap<>();
    private final Map<Long, Lease> leases = new HashMap<>();
    private long revision = 1;
    private long lastLease = 1000;
    private long calls;

    private KeyValueModel() {}

    /** Returns an empty store. */
    public static KeyValueModel empty() {
        return new KeyValueModel();
    }

    /** Applies a request and returns the response; a response with a code is an error. */
    public synchronized ObjectNode handle(String path, JsonNode body, Instant now) {
        calls++;
        expireLeases(now);
        return switch (path) {
            case EtcdCodec.RANGE -> withHeader(range(body));
            case EtcdCodec.PUT -> put(body);
            case EtcdCodec.TXN -> txn(body);
            case EtcdCodec.LEASE_GRANT -> grant(body.path("TTL").asLong(), now);
            case EtcdCodec.LEASE_KEEPALIVE -> keepAlive(body.path("ID").asLong(), now);
            case EtcdCodec.LEASE_REVOKE -> revoke(body.path("ID").asLong());
            default -> error(CODE_UNIMPLEMENTED, "unknown path " + path);
        };
    }

    /** Returns the number of requests handled so far. */
    public synchronized long calls() {
        return calls;
    }

    /** Returns the values of all keys with a prefix, by key. */
    public synchronized Map<String, String> values(String prefix) {
        Map<String, String> values = new TreeMap<>();
        keys.subMap(prefix, EtcdCodec.prefixEnd(prefix)).forEach((key, stored) -> values.put(key, stored.value()));
        return values;
    }

    private void expireLeases(Instant now) {
        List<Long> expired = leases.entrySet().stream()
                .filter(entry -> !now.isBefore(entry.getValue().expiresAt()))
                .map(Map.Entry::getKey)
                .toList();
        expired.forEach(this::deleteLease);
    }

    private void deleteLease(long lease) {
        leases.remove(lease);
        boolean deletedKeys = keys.values().removeIf(stored -> stored.lease() == lease);
        revision += deletedKeys ? 1 : 0;
    }

    private ObjectNode withHeader(ObjectNode response) {
        response.putObject("header").put("revision", Long.toString(revision));
        return response;
    }

    private static ObjectNode error(int code, String message) {
        return JSON.objectNode().put("code", code).put("message", message);
    }

    private ObjectNode range(JsonNode body) {
        String from = EtcdCodec.decodeBase64(body.path("key"));
        String to = body.has("range_end") ? EtcdCodec.decodeBase64(body.path("range_end")) : from + '\0';
        long minModRevision = body.path("min_mod_revision").asLong();
        ObjectNode response = JSON.objectNode();
        ArrayNode kvs = JSON.arrayNode();
        keys.subMap(from, to).forEach((key, stored) -> {
            if (stored.modRevision() >= minModRevision) {
                kvs.add(kv(key, stored, body.path("keys_only").asBoolean()));
            }
        });
        response.put("count", Integer.toString(kvs.size()));
        if (!body.path("count_only").asBoolean()) {
            response.set("kvs", kvs);
        }
        return response;
    }

    private static ObjectNode kv(String key, StoredValue stored, boolean keysOnly) {
        ObjectNode kv = JSON.objectNode()
                .put("key", EtcdCodec.encodeBase64(key))
                .put("create_revision", Long.toString(stored.createRevision()))
                .put("mod_revision", Long.toString(stored.modRevision()))
                .put("version", Long.toString(stored.version()));
        return keysOnly ? kv : kv.put("value", EtcdCodec.encodeBase64(stored.value()));
    }

    private ObjectNode put(JsonNode body) {
        long lease = body.path("lease").asLong();
        if (lease != 0 && !leases.containsKey(lease)) {
            return error(CODE_NOT_FOUND, "requested lease not found");
        }
        revision++;
        putValue(body, lease);
        return withHeader(JSON.objectNode());
    }

    private void putValue(JsonNode body, long lease) {
        String value = EtcdCodec.decodeBase64(body.path("value"));
        keys.compute(
                EtcdCodec.decodeBase64(body.path("key")),
                (key, previous) -> previous == null
                        ? new StoredValue(value, revision, revision, 1, lease)
                        : new StoredValue(value, previous.createRevision(), revision, previous.version() + 1, lease));
    }

    private ObjectNode txn(JsonNode body) {
        boolean succeeded = true;
        for (JsonNode compare : body.path("compare")) {
            succeeded &= isSatisfied(compare);
        }
        JsonNode operations = body.path(succeeded ? "success" : "failure");
        boolean writes = false;
        for (JsonNode operation : operations) {
            writes |= operation.has("request_put");
        }
        revision += writes ? 1 : 0;
        ObjectNode response = JSON.objectNode().put("succeeded", succeeded);
        ArrayNode responses = response.putArray("responses");
        for (JsonNode operation : operations) {
            responses.add(execute(operation));
        }
        return withHeader(response);
    }

    private ObjectNode execute(JsonNode operation) {
        if (operation.has("request_put")) {
            JsonNode put = operation.path("request_put");
            putValue(put, put.path("lease").asLong());
            return JSON.objectNode().set("response_put", JSON.objectNode());
        }
        return JSON.objectNode().set("response_range", range(operation.path("request_range")));
    }

    private boolean isSatisfied(JsonNode compare) {
        StoredValue stored = keys.get(EtcdCodec.decodeBase64(compare.path("key")));
        boolean byVersion = "VERSION".equals(compare.path("target").asText());
        long actual = stored == null ? 0 : byVersion ? stored.version() : stored.modRevision();
        long expected = compare.path(byVersion ? "version" : "mod_revision").asLong();
        return "GREATER".equals(compare.path("result").asText()) ? actual > expected : actual == expected;
    }

    private ObjectNode grant(long ttlSeconds, Instant now) {
        long lease = ++lastLease;
        leases.put(lease, new Lease(ttlSeconds, now.plusSeconds(ttlSeconds)));
        return withHeader(JSON.objectNode().put("ID", Long.toString(lease)).put("TTL", Long.toString(ttlSeconds)));
    }

    private ObjectNode keepAlive(long lease, Instant now) {
        Lease renewed = leases.computeIfPresent(
                lease, (id, current) -> new Lease(current.ttlSeconds(), now.plusSeconds(current.ttlSeconds())));
        ObjectNode result = withHeader(JSON.objectNode().put("ID", Long.toString(lease)));
        if (renewed != null) {
            result.put("TTL", Long.toString(renewed.ttlSeconds()));
        }
        return JSON.objectNode().set("result", result);
    }

    private ObjectNode revoke(long lease) {
        if (!leases.containsKey(lease)) {
            return error(CODE_NOT_FOUND, "requested lease not found");
        }
        deleteLease(lease);
        return withHeader(JSON.objectNode());
    }
}
