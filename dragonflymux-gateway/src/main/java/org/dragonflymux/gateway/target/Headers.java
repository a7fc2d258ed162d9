package org.dragonflymux.gateway.target;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.List;
import java.util.Map;

/** Header fields on their way through. */
final class Headers {

    private static final List<String> ONE_CONNECTION_ONLY = List.of(
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

    private Headers() {}

    /** Returns the fields that go on, without those that concern one connection and the given ones. */
    static HttpHeaders forwarded(HttpHeaders original, List<String> without) {
        HttpHeaders result = new DefaultHttpHeaders();
        for (Map.Entry<String, String> field : original) {
            result.add(field.getKey(), field.getValue());
        }
        for (String named : original.getAllAsString("connection")) {
            for (String name : named.split(",")) {
                if (!name.isBlank()) {
                    result.remove(name.trim());
                }
            }
        }
        ONE_CONNECTION_ONLY.forEach(result::remove);
        without.forEach(result::remove);
        return result;
    }
}
