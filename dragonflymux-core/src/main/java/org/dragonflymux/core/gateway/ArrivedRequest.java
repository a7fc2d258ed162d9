package org.dragonflymux.core.gateway;

import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;

/**
 * The properties of an incoming request that the gateway's decisions depend on.
 *
 * @param exchange the number that this host assigned to it
 * @param requestId the caller's identifier of it, for logs
 * @param hostName the host name without a port
 * @param path the path without a query
 * @param credential the caller's credential
 * @param shardKey the shard key, if the request has one
 * @param waitMillis how long the caller waits for the answer, counted from the request's arrival
 */
public record ArrivedRequest(
        long exchange,
        String requestId,
        String hostName,
        String path,
        Optional<String> credential,
        OptionalInt shardKey,
        OptionalLong waitMillis) {}
