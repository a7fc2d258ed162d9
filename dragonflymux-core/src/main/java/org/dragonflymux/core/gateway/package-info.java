/**
 * The handling of a request in a host that sends directly to targets: admission, queueing, attempts, retries and the final
 * answer, as one state machine. Times are milliseconds of the monotonic clock unless stated otherwise.
 */
package org.dragonflymux.core.gateway;
