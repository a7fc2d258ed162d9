package org.dragonflymux.entry.caller;

import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.dragonflymux.core.name.ServiceName;

/**
 * A caller's path: {@code /service/key/rest?query}.
 *
 * @param service the service
 * @param key the decoded key
 * @param targetPath what the target sees: all after the service, with the query
 */
record CallerPath(ServiceName service, String key, String targetPath) {

    /** Reads a raw request URI; empty when it names no service or no key. */
    static Optional<CallerPath> parse(String rawUri) {
        int queryAt = rawUri.indexOf('?');
        String path = queryAt < 0 ? rawUri : rawUri.substring(0, queryAt);
        String[] segments = path.split("/", 4);
        boolean named = segments.length >= 3 && segments[0].isEmpty() && !segments[2].isEmpty();
        if (!named) {
            return Optional.empty();
        }
        try {
            ServiceName service = ServiceName.of(segments[1]);
            String key = URLDecoder.decode(segments[2].replace("+", "%2B"), StandardCharsets.UTF_8);
            return Optional.of(new CallerPath(service, key, rawUri.substring(segments[1].length() + 1)));
        } catch (IllegalArgumentException e) {
            return Optional.empty();
        }
    }
}
