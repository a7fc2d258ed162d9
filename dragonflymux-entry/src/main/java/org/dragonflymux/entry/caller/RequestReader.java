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

/** Reads callers' requests. */
final class RequestReader {

    private static final String BEARER = "Bearer ";
    private static final String OWN_PREFIX = "dragonfly-";
    private static final Pattern WAIT = Pattern.compile("(?:^|[,;\\s])wait=(\\d{1,4})(?:$|[,;\\s])");

    /** Headers that belong to one connection, or that no target may see. */
    private static final Set<String> DROPPED = Set.of(
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
                forTarget(headers),
                body,
                headers.get(TargetProtocol.IDEMPOTENCY_HEADER),
                deadline(headers, now).orElse(null));
    }

    private static Optional<String> credential(Headers headers) {
        return Optional.ofNullable(headers.get("Authorization"))
                .filter(value -> value.regionMatches(true, 0, BEARER, 0, BEARER.length()))
                .map(value -> value.substring(BEARER.length()).trim())
                .filter(value -> !value.isEmpty());
    }

    private static List<Header> forTarget(Headers headers) {
        List<Header> kept = new ArrayList<>();
        for (String name : headers.getNames()) {
            String lower = name.toLowerCase(Locale.ROOT);
            if (!DROPPED.contains(lower) && !lower.startsWith(OWN_PREFIX)) {
                headers.getAll(name).forEach(value -> kept.add(new Header(name, value)));
            }
        }
        return kept;
    }

    // RFC 7240: the caller states for how long it is willing to wait, in seconds.
    private static Optional<Instant> deadline(Headers headers, Instant now) {
        for (String preference : headers.getAll("Prefer")) {
            Matcher matcher = WAIT.matcher(preference);
            if (matcher.find()) {
                return Optional.of(now.plusSeconds(Long.parseLong(matcher.group(1))));
            }
        }
        return Optional.empty();
    }
}
