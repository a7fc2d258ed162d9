package org.dragonflymux.entry.caller;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.dragonflymux.core.message.CallerRequest;
import org.dragonflymux.core.message.Header;
import org.dragonflymux.runtime.http.TargetProtocol;
import ratpack.http.Headers;
import ratpack.http.Request;

/** Converts callers' HTTP requests to {@link CallerRequest}s. */
final class RequestReader {

    private static final String BEARER_PREFIX = "Bearer ";
    private static final String RESERVED_HEADER_PREFIX = "dragonfly-";
    private static final Pattern WAIT_PREFERENCE = Pattern.compile("(?:^|[,;\\s])wait=(\\d{1,4})(?:$|[,;\\s])");

    /** Headers that apply to a single connection, or must not be forwarded to targets. */
    private static final Set<String> OMITTED_HEADERS = Set.of(
            "authorization",
            "proxy-authorization",
            "connection",
            "keep-alive",
            "proxy-connection",
            "te",
            "trailer",
            "transfer-encoding",
            "upgrade",
            "host",
            "content-length",
            "expect");

    private RequestReader() {}

    static CallerRequest read(Request request, CallerPath path, byte[] body, Instant now) {
        Headers headers = request.getHeaders();
        return new CallerRequest(
                credential(headers).orElse(null),
                path.service(),
                path.key(),
                request.getMethod().getName(),
                path.targetPath(),
                forwardedHeaders(headers),
                body,
                headers.get(TargetProtocol.IDEMPOTENCY_HEADER),
                deadline(headers, now).orElse(null));
    }

    private static Optional<String> credential(Headers headers) {
        return Optional.ofNullable(headers.get("Authorization"))
                .filter(value -> value.regionMatches(true, 0, BEARER_PREFIX, 0, BEARER_PREFIX.length()))
                .map(value -> value.substring(BEARER_PREFIX.length()).trim())
                .filter(value -> !value.isEmpty());
    }

    private static List<Header> forwardedHeaders(Headers headers) {
        List<Header> kept = new ArrayList<>();
        for (String name : headers.getNames()) {
            String lower = name.toLowerCase(Locale.ROOT);
            if (!OMITTED_HEADERS.contains(lower) && !lower.startsWith(RESERVED_HEADER_PREFIX)) {
                headers.getAll(name).forEach(value -> kept.add(new Header(name, value)));
            }
        }
        return kept;
    }

    // RFC 7240: the preference "wait" is the time for which the caller is willing to wait, in seconds.
    private static Optional<Instant> deadline(Headers headers, Instant now) {
        for (String preference : headers.getAll("Prefer")) {
            Matcher matcher = WAIT_PREFERENCE.matcher(preference);
            if (matcher.find()) {
                return Optional.of(now.plusSeconds(Long.parseLong(matcher.group(1))));
            }
        }
        return Optional.empty();
    }
}
