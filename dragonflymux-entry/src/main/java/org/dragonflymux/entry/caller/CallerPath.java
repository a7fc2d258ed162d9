package org.dragonflymux.entry.caller;

import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.dragonflymux.core.name.ServiceName;

/**
 * The path of a caller's request: {@code /service/key/rest?query}.
 *
 * @param service the service
 * @param key the decoded key
 * @param targetPath the path and query sent to the target: all that follows the service
 */
record CallerPath(ServiceName service, String key, String targetPath) {

    /** Parses a raw request URI; returns empty if it lacks a valid service name or a key. */
    static Optional<CallerPath> parse(String rawUri) {
        int queryAt = rawUri.indexOf('?');
        String path = queryAt < 0 ? rawUri : rawUri.substring(0, queryAt);
        String[] segments = path.split("/", 4);
        boolean complete = segments.length >= 3 && segments[0].isEmpty() && !segments[2].isEmpty();
        if (!complete) {
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
