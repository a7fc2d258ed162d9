package org.dragonflymux.core.message;

import java.time.Instant;
import java.util.List;
import org.dragonflymux.core.name.ServiceName;

/**
 * A request as received from a caller.
 *
 * @param credential the caller's credential, or null; never sent beyond the entry host that received it
 * @param service the requested service
 * @param key the key that determines the owning target
 * @param method the HTTP method
 * @param path the path and query string for the target
 * @param headers the headers for the target
 * @param body the body, possibly empty
 * @param idempotencyKey the caller's idempotency key, or null
 * @param deadline when the caller stops waiting, or null to use the service's default
 */
public record CallerRequest(
        String credential,
        ServiceName service,
        String key,
        String method,
        String path,
        List<Header> headers,
        byte[] body,
        String idempotencyKey,
        Instant deadline) {}
