package org.dragonflymux.core.message;

import java.util.List;
import org.dragonflymux.core.name.CustomerName;
import org.dragonflymux.core.name.ServiceName;

/**
 * An admitted request on its way to the dispatcher of its key; it carries no credential.
 *
 * @param service the service
 * @param customer the customer whose credential came with the request
 * @param key the key that decides the owner
 * @param method the HTTP method
 * @param path the path for the target, with the query
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
