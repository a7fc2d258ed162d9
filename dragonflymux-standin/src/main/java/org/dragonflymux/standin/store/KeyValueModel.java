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

/** The state of the stand-in store; answers the gateway's requests at given instants. */
public final class KeyValueModel {

    private static final int CODE_NOT_FOUND = 5;
    private static final int CODE_UNIMPLEMENTED = 12;
    private static final JsonNodeFactory JSON = JsonNodeFactory.instance;

    private record Stored(String value, long createRevision, long modRevision, long version, long lease) {}

    private record Lease(long ttlSeconds, Instant until) {}

    private final TreeMap<String, Stored> keys = new TreeMap<>();
    private final Map<Long, Lease> leases = new HashMap<>();
    private long revision = 1;
    private long lastLease = 1000;
    private long calls;

    private KeyValueModel() {}

    /** Returns an empty store. */
    public static KeyValueModel empty() {
        return new KeyValueModel();
    }

    /** Answers a request. */
    public synchronized ObjectNode handle(String path, JsonNode body, Instant now) {
        calls++;
        expire(now);
        return switch (path) {
            case EtcdCodec.RANGE -> header(range(body));
            case EtcdCodec.PUT -> put(body);
            case EtcdCodec.TXN -> txn(body);
            case EtcdCodec.LEASE_GRANT -> grant(body.path("TTL").asLong(), now);
            case EtcdCodec.LEASE_KEEPALIVE -> keepAlive(body.path("ID").asLong(), now);
            case EtcdCodec.LEASE_REVOKE -> revoke(body.path("ID").asLong());
            default -> error(CODE_UNIMPLEMENTED, "unknown path " + path);
        };
    }

    /** Returns how many requests were answered. */
    public synchronized long calls() {
        return calls;
    }

    /** Returns the values of all keys with a prefix. */
    public synchronized Map<String, String> values(String prefix) {
        Map<String, String> values = new TreeMap<>();
        keys.subMap(prefix, EtcdCodec.prefixEnd(prefix)).forEach((key, stored) -> values.put(key, stored.value()));
        return values;
    }

    private void expire(Instant now) {
        List<Long> lapsed = leases.entrySet().stream()
                .filter(entry -> !now.isBefore(entry.getValue().until()))
                .map(Map.Entry::getKey)
                .toList();
        lapsed.forEach(this::drop);
    }

    private void drop(long lease) {
        leases.remove(lease);
        boolean held = keys.values().removeIf(stored -> stored.lease() == lease);
        revision += held ? 1 : 0;
    }

    private ObjectNode header(ObjectNode answer) {
        answer.putObject("header").put("revision", Long.toString(revision));
        return answer;
    }

    private static ObjectNode error(int code, String message) {
        return JSON.objectNode().put("code", code).put("message", message);
    }

    private ObjectNode range(JsonNode body) {
        String from = EtcdCodec.decodeBase64(body.path("key"));
        String to = body.has("range_end") ? EtcdCodec.decodeBase64(body.path("range_end")) : from + '\0';
        long least = body.path("min_mod_revision").asLong();
        ObjectNode answer = JSON.objectNode();
        ArrayNode kvs = JSON.arrayNode();
        keys.subMap(from, to).forEach((key, stored) -> {
            if (stored.modRevision() >= least) {
                kvs.add(kv(key, stored, body.path("keys_only").asBoolean()));
            }
        });
        answer.put("count", Integer.toString(kvs.size()));
        if (!body.path("count_only").asBoolean()) {
            answer.set("kvs", kvs);
        }
        return answer;
    }

    private static ObjectNode kv(String key, Stored stored, boolean keysOnly) {
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
        store(body, lease);
        return header(JSON.objectNode());
    }

    private void store(JsonNode body, long lease) {
        String value = EtcdCodec.decodeBase64(body.path("value"));
        keys.compute(
                EtcdCodec.decodeBase64(body.path("key")),
                (key, known) -> known == null
                        ? new Stored(value, revision, revision, 1, lease)
                        : new Stored(value, known.createRevision(), revision, known.version() + 1, lease));
    }

    private ObjectNode txn(JsonNode body) {
        boolean succeeded = true;
        for (JsonNode compare : body.path("compare")) {
            succeeded &= holds(compare);
        }
        JsonNode operations = body.path(succeeded ? "success" : "failure");
        boolean writes = false;
        for (JsonNode operation : operations) {
            writes |= operation.has("request_put");
        }
        revision += writes ? 1 : 0;
        ObjectNode answer = JSON.objectNode().put("succeeded", succeeded);
        ArrayNode responses = answer.putArray("responses");
        for (JsonNode operation : operations) {
            responses.add(run(operation));
        }
        return header(answer);
    }

    private ObjectNode run(JsonNode operation) {
        if (operation.has("request_put")) {
            JsonNode put = operation.path("request_put");
            store(put, put.path("lease").asLong());
            return JSON.objectNode().set("response_put", JSON.objectNode());
        }
        return JSON.objectNode().set("response_range", range(operation.path("request_range")));
    }

    private boolean holds(JsonNode compare) {
        Stored stored = keys.get(EtcdCodec.decodeBase64(compare.path("key")));
        boolean byVersion = "VERSION".equals(compare.path("target").asText());
        long actual = stored == null ? 0 : byVersion ? stored.version() : stored.modRevision();
        long wanted = compare.path(byVersion ? "version" : "mod_revision").asLong();
        return "GREATER".equals(compare.path("result").asText()) ? actual > wanted : actual == wanted;
    }

    private ObjectNode grant(long ttlSeconds, Instant now) {
        long lease = ++lastLease;
        leases.put(lease, new Lease(ttlSeconds, now.plusSeconds(ttlSeconds)));
        return header(JSON.objectNode().put("ID", Long.toString(lease)).put("TTL", Long.toString(ttlSeconds)));
    }

    private ObjectNode keepAlive(long lease, Instant now) {
        Lease known = leases.computeIfPresent(
                lease, (id, old) -> new Lease(old.ttlSeconds(), now.plusSeconds(old.ttlSeconds())));
        ObjectNode result = header(JSON.objectNode().put("ID", Long.toString(lease)));
        if (known != null) {
            result.put("TTL", Long.toString(known.ttlSeconds()));
        }
        return JSON.objectNode().set("result", result);
    }

    private ObjectNode revoke(long lease) {
        if (!leases.containsKey(lease)) {
            return error(CODE_NOT_FOUND, "requested lease not found");
        }
        drop(lease);
        return header(JSON.objectNode());
    }
}
