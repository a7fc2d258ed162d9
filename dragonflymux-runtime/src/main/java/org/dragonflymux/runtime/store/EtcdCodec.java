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

/** Encodes store calls as requests to the etcd v3 JSON gateway, and decodes its responses. */
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

    /** Returns a text in Base64, in which the gateway represents byte strings. */
    public static String encodeBase64(String text) {
        return Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.UTF_8));
    }

    /** Returns the text that a Base64 value of the gateway represents. */
    public static String decodeBase64(JsonNode base64) {
        return new String(Base64.getDecoder().decode(base64.asText("")), StandardCharsets.UTF_8);
    }

    /** Returns the exclusive end of the range of all keys with a prefix. */
    public static String prefixEnd(String prefix) {
        int last = prefix.length() - 1;
        return prefix.substring(0, last) + (char) (prefix.charAt(last) + 1);
    }

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
                        body -> putKeyValue(body, put.record().key(), DocumentCodec.toJson(put.record()))
                                .put("lease", Long.toString(put.lease())));
            case StoreCall.Poll poll -> encodePoll(poll.sinceRevision());
            case StoreCall.ListSessions _ ->
                request(
                        RANGE,
                        body -> putPrefixRange(body, DocumentKey.SESSION_PREFIX).put("keys_only", true));
            case StoreCall.WriteTable write -> encodeWriteTable(write);
        };
    }

    private static EtcdRequest request(String path, java.util.function.Consumer<ObjectNode> bodyWriter) {
        ObjectNode body = JSON.objectNode();
        bodyWriter.accept(body);
        return new EtcdRequest(path, body);
    }

    private static ObjectNode putKeyValue(ObjectNode body, DocumentKey key, String json) {
        return body.put("key", encodeBase64(key.path())).put("value", encodeBase64(json));
    }

    private static ObjectNode putPrefixRange(ObjectNode body, String prefix) {
        return body.put("key", encodeBase64(prefix)).put("range_end", encodeBase64(prefixEnd(prefix)));
    }

    private static EtcdRequest encodePoll(long sinceRevision) {
        return request(TXN, body -> {
            ArrayNode success = body.putArray("success");
            putPrefixRange(success.addObject().putObject("request_range"), DocumentKey.PREFIX)
                    .put("min_mod_revision", Long.toString(sinceRevision + 1));
            putPrefixRange(success.addObject().putObject("request_range"), DocumentKey.SESSION_PREFIX)
                    .put("count_only", true);
        });
    }

    private static EtcdRequest encodeWriteTable(StoreCall.WriteTable write) {
        return request(TXN, body -> {
            ArrayNode compare = body.putArray("compare");
            compareRevision(compare, write.key(), write.expectedRevision());
            compareVersion(compare, DocumentKey.session(write.writer()), "GREATER");
            write.absent().forEach(host -> compareVersion(compare, DocumentKey.session(host), "EQUAL"));
            putKeyValue(body.putArray("success").addObject().putObject("request_put"), write.key(), write.json());
        });
    }

    /** Returns a request that writes a document if its revision is as expected; 0 means that it must not exist. */
    public static EtcdRequest compareAndSwap(DocumentKey key, long expectedRevision, String json) {
        return request(TXN, body -> {
            compareRevision(body.putArray("compare"), key, expectedRevision);
            putKeyValue(body.putArray("success").addObject().putObject("request_put"), key, json);
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

    /** Decodes the gateway's response to a call. */
    public static StoreReply decode(StoreCall call, JsonNode response) {
        return switch (call) {
            case StoreCall.GrantLease _ ->
                new StoreReply.LeaseGranted(response.path("ID").asLong());
            case StoreCall.RenewLease _ ->
                new StoreReply.LeaseRenewed(response.path("result").path("TTL").asLong() > 0);
            case StoreCall.RevokeLease _ -> new StoreReply.LeaseRevoked();
            case StoreCall.PutSession _ -> new StoreReply.Written(revision(response));
            case StoreCall.Poll _ -> decodePoll(response);
            case StoreCall.ListSessions _ -> decodeSessions(response);
            case StoreCall.WriteTable _ -> decodeCompareAndSwap(response);
        };
    }

    /** Decodes the response to a conditional write. */
    public static StoreReply decodeCompareAndSwap(JsonNode response) {
        boolean succeeded = response.path("succeeded").asBoolean();
        return succeeded ? new StoreReply.Written(revision(response)) : new StoreReply.Conflict();
    }

    private static long revision(JsonNode response) {
        return response.path("header").path("revision").asLong();
    }

    private static StoreReply decodePoll(JsonNode response) {
        JsonNode responses = response.path("responses");
        JsonNode changedRange = responses.path(0).path("response_range");
        long sessionCount =
                responses.path(1).path("response_range").path("count").asLong();
        return new StoreReply.Polled(decodeRange(changedRange), sessionCount, revision(response));
    }

    /** Decodes the entries of a range response. */
    public static List<StoredEntry> decodeRange(JsonNode range) {
        List<StoredEntry> entries = new ArrayList<>();
        range.path("kvs")
                .forEach(kv -> entries.add(new StoredEntry(
                        new DocumentKey(decodeBase64(kv.path("key"))),
                        kv.path("mod_revision").asLong(),
                        decodeBase64(kv.path("value")))));
        return entries;
    }

    private static StoreReply decodeSessions(JsonNode response) {
        Set<DocumentKey> keys = new HashSet<>();
        response.path("kvs").forEach(kv -> keys.add(new DocumentKey(decodeBase64(kv.path("key")))));
        return new StoreReply.Sessions(keys, revision(response));
    }
}
