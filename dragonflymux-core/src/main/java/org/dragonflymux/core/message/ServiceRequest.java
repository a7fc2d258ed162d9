package org.dragonflymux.core.message;

import java.util.List;
import org.dragonflymux.core.name.CustomerName;
import org.dragonflymux.core.name.ServiceName;

/**
 * An admitted request as sent to the dispatcher of its key. It contains no credential.
 *
 * @param service the requested service
 * @param customer the customer that the request's credential belongs to
 * @param key the key that determines the owning target
 * @param method the HTTP method
 * @param path the path and query string for the target
 * @param headers the headers for the target
 * @param body the body, possibly empty
 * @param idempotencyKey the caller's idempotency key, or null
 */
public record ServiceRequest(
        ServiceName service,
        CustomerName customer,
        String key,
        String method,
        String path,
        List<Header> headers,
        byte[] body,
        String idempotencyKey) {}
