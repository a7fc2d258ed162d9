package org.dragonflymux.core.document;

import org.dragonflymux.core.name.FailureDomain;
import org.dragonflymux.core.name.TargetId;

/**
 * A server that holds keys of a service.
 *
 * @param id the target's name within its service
 * @param domain the failure domain that the target runs in
 * @param address an IP address and port, such as {@code 10.0.0.1:8080}
 * @param slots the maximum number of requests that the target runs concurrently
 */
public record TargetDeclaration(TargetId id, FailureDomain domain, String address, int slots) {}
