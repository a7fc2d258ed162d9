package org.dragonflymux.core.gateway;

import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;

/**
 * What decides about a request.
 *
 * @param exchange the host's own number for it
 * @param requestId the caller's name for it, for logs
 * @param hostName the host name without a port
 * @param path the path without a query
 * @param credential the caller's credential
 * @param shardKey the key it is for
 * @param waitMillis how long the caller waits, from its arrival
 */
public record ArrivedRequest(
        long exchange,
        String requestId,
        String hostName,
        String path,
        Optional<String> credential,
        OptionalInt shardKey,
        OptionalLong waitMillis) {}
