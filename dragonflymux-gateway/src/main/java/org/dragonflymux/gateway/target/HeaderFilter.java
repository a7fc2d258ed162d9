package org.dragonflymux.gateway.target;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.List;
import java.util.Map;

/** Selects the header fields that are forwarded between callers and targets. */
final class HeaderFilter {

    /** Hop-by-hop fields, and fields that the gateway handles itself. */
    private static final List<String> NOT_FORWARDED = List.of(
            "connection",
            "keep-alive",
            "proxy-connection",
            "proxy-authenticate",
            "proxy-authorization",
            "te",
            "trailer",
            "transfer-encoding",
            "upgrade",
            "expect",
            "content-length");

    private HeaderFilter() {}

    /** Returns the fields to forward: all but those that concern a single connection and those given in {@code without}. */
    static HttpHeaders forwarded(HttpHeaders original, List<String> without) {
        HttpHeaders result = new DefaultHttpHeaders();
        for (Map.Entry<String, String> field : original) {
            result.add(field.getKey(), field.getValue());
        }
        for (String connectionOptions : original.getAllAsString("connection")) {
            for (String name : connectionOptions.split(",")) {
                if (!name.isBlank()) {
                    result.remove(name.trim());
                }
            }
        }
        NOT_FORWARDED.forEach(result::remove);
        without.forEach(result::remove);
        return result;
    }
}
