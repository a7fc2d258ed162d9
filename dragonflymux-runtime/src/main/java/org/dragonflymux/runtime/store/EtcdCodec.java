package org.dragonflymux.runtime.store;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.dragonflymux.core.configuration.StoredEntry;
import org.dragonflymux.core.document.DocumentCodec;
import org.dragonflymux.core.document.DocumentKey;
import org.dragonflymux.core.message.StoreCall;
import org.dragonflymux.core.message.StoreReply;

/** Writes store calls as requests of the etcd v3 JSON gateway, and reads its answers. */
public final class EtcdCodec {

    /** The path of transactions. */
    public static final String TXN = "/v3/kv/txn";

    /** The path of reads. */
    public static final String RANGE = "/v3/kv/range";

    /** The path of writes. */
    public static final String PUT = "/v3/kv/put";

    /** The path of new leases. */
    public static final String LEASE_GRANT = "/v3/lease/grant";

    /** The path of lease renewals. */
    public static final String LEASE_KEEPALIVE = "/v3/lease/keepalive";

    /** The path of lease revocations. */
    public static final String LEASE_REVOKE = "/v3/lease/revoke";

    private static final JsonNodeFactory JSON = JsonNodeFactory.instance;

    private EtcdCodec() {}

    /** Returns a text as the gateway writes bytes. */
    public static String encodeBase64(String text) {
        return Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.UTF_8));
    }

    /** Returns the text that the gateway's bytes stand for. */
    public static String decodeBase64(JsonNode base64) {
        return new String(Base64.getDecoder().decode(base64.asText("")), StandardCharsets.UTF_8);
    }

    /** Returns the end of the range of keys with a prefix. */
    public static String prefixEnd(String prefix) {
        int last = prefix.length() - 1;
        return prefix.substring(0, last) + (char) (prefix.charAt(last) + 1);
    }

    /** Writes a call. */
    public static EtcdRequest encode(StoreCall call) {
        return switch (call) {
            case StoreCall.GrantLease grant ->
                request(LEASE_GRANT, body -> body.put("TTL", grant.ttl().toSeconds()));
            case StoreCall.RenewLease renew ->
                request(LEASE_KEEPALIVE, body -> body.put("ID", Long.toString(renew.lease())));
            case StoreCall.RevokeLease revoke ->
                request(LEASE_REVOKE, body -> body.put("ID", Long.toString(revoke.lease())));
            case StoreCall.PutSession put ->
                request(
                        PUT,
                        body -> put(body, put.record().key(), DocumentCodec.toJson(put.record()))
                                .put("lease", Long.toString(put.lease())));
            case StoreCall.Poll poll -> poll(poll.sinceRevision());
            case StoreCall.ListSessions _ ->
                request(RANGE, body -> prefix(body, DocumentKey.SESSION_PREFIX).put("keys_only", true));
            case StoreCall.WriteTable write -> writeTable(write);
        };
    }

    private static EtcdRequest request(String path, java.util.function.Consumer<ObjectNode> fill) {
        ObjectNode body = JSON.objectNode();
        fill.accept(body);
        return new EtcdRequest(path, body);
    }

    private static ObjectNode put(ObjectNode body, DocumentKey key, String json) {
        return body.put("key", encodeBase64(key.path())).put("value", encodeBase64(json));
    }

    private static ObjectNode prefix(ObjectNode body, String prefix) {
        return body.put("key", encodeBase64(prefix)).put("range_end", encodeBase64(prefixEnd(prefix)));
    }

    private static EtcdRequest poll(long since) {
        return request(TXN, body -> {
            ArrayNode success = body.putArray("success");
            prefix(success.addObject().putObject("request_range"), DocumentKey.PREFIX)
                    .put("min_mod_revision", Long.toString(since + 1));
            prefix(success.addObject().putObject("request_range"), DocumentKey.SESSION_PREFIX)
                    .put("count_only", true);
        });
    }

    private static EtcdRequest writeTable(StoreCall.WriteTable write) {
        return request(TXN, body -> {
            ArrayNode compare = body.putArray("compare");
            compareRevision(compare, write.key(), write.expectedRevision());
            compareVersion(compare, DocumentKey.session(write.writer()), "GREATER");
            write.absent().forEach(host -> compareVersion(compare, DocumentKey.session(host), "EQUAL"));
            put(body.putArray("success").addObject().putObject("request_put"), write.key(), write.json());
        });
    }

    /** Writes a conditional write of a document; revision 0 stands for a key that is not there. */
    public static EtcdRequest compareAndSwap(DocumentKey key, long expectedRevision, String json) {
        return request(TXN, body -> {
            compareRevision(body.putArray("compare"), key, expectedRevision);
            put(body.putArray("success").addObject().putObject("request_put"), key, json);
        });
    }

    private static void compareRevision(ArrayNode compare, DocumentKey key, long revision) {
        compare.addObject()
                .put("key", encodeBase64(key.path()))
                .put("target", "MOD")
                .put("result", "EQUAL")
                .put("mod_revision", Long.toString(revision));
    }

    private static void compareVersion(ArrayNode compare, DocumentKey key, String result) {
        compare.addObject()
                .put("key", encodeBase64(key.path()))
                .put("target", "VERSION")
                .put("result", result)
                .put("version", "0");
    }

    /** Reads the gateway's answer to a call. */
    public static StoreReply decode(StoreCall call, JsonNode answer) {
        return switch (call) {
            case StoreCall.GrantLease _ ->
                new StoreReply.LeaseGranted(answer.path("ID").asLong());
            case StoreCall.RenewLease _ ->
                new StoreReply.LeaseRenewed(answer.path("result").path("TTL").asLong() > 0);
            case StoreCall.RevokeLease _ -> new StoreReply.LeaseRevoked();
            case StoreCall.PutSession _ -> new StoreReply.Written(revision(answer));
            case StoreCall.Poll _ -> polled(answer);
            case StoreCall.ListSessions _ -> sessions(answer);
            case StoreCall.WriteTable _ -> decodeCompareAndSwap(answer);
        };
    }

    /** Reads the answer to a conditional write. */
    public static StoreReply decodeCompareAndSwap(JsonNode answer) {
        boolean succeeded = answer.path("succeeded").asBoolean();
        return succeeded ? new StoreReply.Written(revision(answer)) : new StoreReply.Conflict();
    }

    private static long revision(JsonNode answer) {
        return answer.path("header").path("revision").asLong();
    }

    private static StoreReply polled(JsonNode answer) {
        JsonNode responses = answer.path("responses");
        JsonNode changed = responses.path(0).path("response_range");
        long sessions = responses.path(1).path("response_range").path("count").asLong();
        return new StoreReply.Polled(decodeRange(changed), sessions, revision(answer));
    }

    /** Reads the entries of a range. */
    public static List<StoredEntry> decodeRange(JsonNode range) {
        List<StoredEntry> entries = new ArrayList<>();
        range.path("kvs")
                .forEach(kv -> entries.add(new StoredEntry(
                        new DocumentKey(decodeBase64(kv.path("key"))),
                        kv.path("mod_revision").asLong(),
                        decodeBase64(kv.path("value")))));
        return entries;
    }

    private static StoreReply sessions(JsonNode answer) {
        Set<DocumentKey> keys = new HashSet<>();
        answer.path("kvs").forEach(kv -> keys.add(new DocumentKey(decodeBase64(kv.path("key")))));
        return new StoreReply.Sessions(keys, revision(answer));
    }
}
